use {
    super::{
        ConfigFault, FaultList, Result, parse_settings,
        settings_rules::check_remote,
        text_decoder::decode_text,
        text_reader::{combine_faults, read_file},
        value_rules::FaultCollector,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, path::Path},
};

wire_type! {
    /// Settings with which `toucanctl` reaches the platform and the processes.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct AccessSettings {
        /// Address of the platform's services.
        pub platform: SocketAddr,
        /// Peer addresses of some processes, which tell the addresses of the others. Without any,
        /// commands that ask processes fail.
        #[serde(default)]
        pub peers: Vec<SocketAddr>,
        /// Key that authenticates the exchange between processes: 32 bytes in hexadecimal. Only
        /// checked if `peers` has elements.
        #[serde(default)]
        pub exchange_key: String,
        /// Failure domain stated in calls to the platform; `operator` if left out.
        #[serde(default = "default_failure_domain")]
        pub failure_domain: String,
    }
}

fn default_failure_domain() -> String {
    "operator".to_owned()
}

/// Reads access settings. If the file holds the settings of a gateway or controller, takes the
/// access settings from them.
///
/// # Errors
/// Returns all faults found.
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
/// Returns all faults found.
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
    combine_faults(decoded, rules)
}

/// Kind of a configuration file. `toucanctl check` prints the name of the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// Text of the operator, which says what the deployment serves.
    Operator,
    /// Settings of a gateway or controller process.
    Process,
    /// Access settings of `toucanctl`.
    Access,
}

/// Checks a file of any kind. The kind follows from the fields that are present: `peer_listen` or
/// `listen` for process settings, otherwise `platform` for access settings, otherwise an operator
/// text.
///
/// # Errors
/// Returns all faults found.
pub fn check_file(path: &Path) -> Result<FileKind> {
    let text = read_file(path)?;
    let document: Value = serde_json::from_str(&text).map_err(|error| {
        let position = format!("line {} column {}", error.line(), error.column());
        let fault = ConfigFault::new(position, "text", format!("must be JSON: {error}"));
        FaultList(vec![fault])
    })?;
    let has_field = |field: &str| document.get(field).is_some();
    if has_field("peer_listen") || has_field("listen") {
        return parse_settings(&text).map(|_| FileKind::Process);
    }
    if has_field("platform") {
        return parse_access(&text).map(|_| FileKind::Access);
    }
    super::parse_operator_text(&text).map(|_| FileKind::Operator)
}
