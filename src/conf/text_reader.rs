use {
    super::{
        ConfFault, FaultList, OperatorText, ProcessSettings, Result,
        operator_rules::check_values,
        reference_rules::check_references,
        settings_rules::check_settings,
        text_decoder::{DecodedText, decode_text},
        text_sample::{operator_sample, settings_sample},
        value_rules::FaultCollector,
    },
    std::{fs, path::Path},
};

/// Largest configuration file in bytes.
pub const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// Reads and checks the settings of a process.
///
/// # Errors
/// All faults found.
pub fn read_settings(path: &Path) -> Result<ProcessSettings> {
    parse_settings(&read_file(path)?)
}

/// Reads and checks an operator text.
///
/// # Errors
/// All faults found.
pub fn read_operator_text(path: &Path) -> Result<OperatorText> {
    parse_operator_text(&read_file(path)?)
}

/// Decodes and checks the settings of a process.
///
/// # Errors
/// All faults found.
///
/// ```
/// use toucanring::conf::parse_settings;
///
/// let faults = parse_settings(r#"{"name": 7, "colour": "red"}"#).unwrap_err();
/// let paths: Vec<&str> = faults.0.iter().map(|fault| &*fault.path).collect();
/// assert!(paths.contains(&"name") && paths.contains(&"colour"));
/// assert!(paths.contains(&"exchange_key"));
/// ```
pub fn parse_settings(text: &str) -> Result<ProcessSettings> {
    let decoded = decode_text(text, &settings_sample());
    let mut rules = FaultCollector::default();
    if let Some(settings) = &decoded.value {
        check_settings(settings, &mut rules);
    }
    conclude(decoded, rules)
}

/// Decodes and checks an operator text.
///
/// # Errors
/// All faults found.
pub fn parse_operator_text(text: &str) -> Result<OperatorText> {
    let decoded = decode_text(text, &operator_sample());
    let mut rules = FaultCollector::default();
    if let Some(text) = &decoded.value {
        check_values(text, &mut rules);
        // A part that was replaced would make references to it look wrong.
        if decoded.faults.is_empty() {
            check_references(text, &mut rules);
        }
    }
    conclude(decoded, rules)
}

/// Joins the faults of decoding and of the rules.
pub(super) fn conclude<T>(decoded: DecodedText<T>, rules: FaultCollector) -> Result<T> {
    let mut faults = decoded.faults;
    for fault in rules.faults {
        let replaced = faults.iter().any(|known| covers(&known.path, &fault.path));
        if !replaced {
            faults.push(fault);
        }
    }
    match decoded.value {
        Some(value) if faults.is_empty() => Ok(value),
        _ => Err(FaultList(faults)),
    }
}

/// True when the part at `path` is the part at `whole` or inside it.
fn covers(whole: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(whole) else {
        return false;
    };
    rest.is_empty() || rest.starts_with(['.', '['])
}

/// Reads a file of bounded size.
pub(super) fn read_file(path: &Path) -> Result<String> {
    let fault = |value: String, rule: &str| {
        FaultList(vec![ConfFault::new(
            path.display().to_string(),
            value,
            rule,
        )])
    };
    let text = fs::read_to_string(path)
        .map_err(|error| fault(error.to_string(), "must be a readable UTF-8 file"))?;
    if text.len() > MAX_TEXT_BYTES {
        let rule = format!("must have at most {MAX_TEXT_BYTES} bytes");
        return Err(fault(format!("{} bytes", text.len()), &rule));
    }
    Ok(text)
}
