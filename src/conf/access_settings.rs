use {
    super::{
        ConfFault, FaultList, Result, parse_settings,
        settings_rules::check_remote,
        text_decoder::decode_text,
        text_reader::{conclude, read_file},
        value_rules::FaultCollector,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, path::Path},
};

wire_type! {
    /// What an operator's shell needs to reach the platform and the processes.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct AccessSettings {
        /// Address of the platform's services.
        pub platform: SocketAddr,
        /// Peer ports of some processes; the others are learned from them.
        #[serde(default)]
        pub peers: Vec<SocketAddr>,
        /// Hexadecimal 32-byte key of the exchange between processes.
        #[serde(default)]
        pub exchange_key: String,
        /// Failure domain that calls to the platform carry.
        #[serde(default = "operator_domain")]
        pub failure_domain: String,
    }
}

fn operator_domain() -> String {
    "operator".to_owned()
}

/// Reads access settings, or takes them from the settings of a process.
///
/// # Errors
/// All faults found.
pub fn read_access(path: &Path) -> Result<AccessSettings> {
    let text = read_file(path)?;
    let document: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
    if document.get("peer_listen").is_none() {
        return parse_access(&text);
    }
    let settings = parse_settings(&text)?;
    let mut peers = vec![settings.peer_listen];
    peers.extend(settings.peers);
    Ok(AccessSettings {
        platform: settings.platform,
        peers,
        exchange_key: settings.exchange_key,
        failure_domain: settings.failure_domain,
    })
}

/// Decodes and checks access settings.
///
/// # Errors
/// All faults found.
pub fn parse_access(text: &str) -> Result<AccessSettings> {
    let sample = json!({
        "platform": "192.0.2.1:1", "peers": ["192.0.2.1:2"],
        "exchange_key": "0".repeat(64), "failure_domain": "sample"
    });
    let decoded = decode_text::<AccessSettings>(text, &sample);
    let mut rules = FaultCollector::default();
    if let Some(access) = &decoded.value {
        rules.check_name("failure_domain", &access.failure_domain);
        check_remote(&mut rules, "platform", access.platform);
        for (index, peer) in access.peers.iter().enumerate() {
            check_remote(&mut rules, &format!("peers[{index}]"), *peer);
        }
        if !access.peers.is_empty() {
            rules.check_hex_digest("exchange_key", &access.exchange_key);
        }
    }
    conclude(decoded, rules)
}

/// Kind of a configuration file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextKind {
    /// Operator text.
    Operator,
    /// Settings of a gateway or controller.
    Process,
    /// Access settings of an operator's shell.
    Access,
}

/// Checks a file of any kind; the kind is recognized by its fields.
///
/// # Errors
/// All faults found.
pub fn check_file(path: &Path) -> Result<TextKind> {
    let text = read_file(path)?;
    let document: Value = serde_json::from_str(&text).map_err(|error| {
        let place = format!("line {} column {}", error.line(), error.column());
        let fault = ConfFault::new(place, "text", format!("must be JSON: {error}"));
        FaultList(vec![fault])
    })?;
    let has = |field: &str| document.get(field).is_some();
    if has("peer_listen") || has("listen") {
        return parse_settings(&text).map(|_| TextKind::Process);
    }
    if has("platform") {
        return parse_access(&text).map(|_| TextKind::Access);
    }
    super::parse_operator_text(&text).map(|_| TextKind::Operator)
}
