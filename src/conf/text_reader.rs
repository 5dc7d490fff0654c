use {
    super::{
        ConfigFault, FaultList, OperatorText, ProcessSettings, Result,
        operator_rules::check_values,
        reference_rules::check_references,
        settings_rules::check_settings,
        text_decoder::{DecodedText, decode_text},
        text_sample::{operator_sample, settings_sample},
        value_rules::FaultCollector,
    },
    std::{fs, path::Path},
};

/// Maximum size of a configuration file in bytes.
pub const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// Reads and checks the settings of a process.
///
/// # Errors
/// Returns all faults found.
pub fn read_settings(path: &Path) -> Result<ProcessSettings> {
    parse_settings(&read_file(path)?)
}

/// Reads and checks an operator text.
///
/// # Errors
/// Returns all faults found.
pub fn read_operator_text(path: &Path) -> Result<OperatorText> {
    parse_operator_text(&read_file(path)?)
}

/// Decodes and checks the settings of a process.
///
/// # Errors
/// Returns all faults found.
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
    combine_faults(decoded, rules)
}

/// Decodes and checks an operator text.
///
/// # Errors
/// Returns all faults found.
pub fn parse_operator_text(text: &str) -> Result<OperatorText> {
    let decoded = decode_text(text, &operator_sample());
    let mut rules = FaultCollector::default();
    if let Some(text) = &decoded.value {
        check_values(text, &mut rules);
        // References to a part that was replaced by the sample would be reported as faults too.
        if decoded.faults.is_empty() {
            check_references(text, &mut rules);
        }
    }
    combine_faults(decoded, rules)
}

/// Combines the faults of decoding with the broken rules. Leaves out rules broken inside a part
/// that was faulty already, since the sample was checked there.
pub(super) fn combine_faults<T>(decoded: DecodedText<T>, rules: FaultCollector) -> Result<T> {
    let mut faults = decoded.faults;
    for fault in rules.faults {
        let in_faulty_part = faults
            .iter()
            .any(|known| contains_path(&known.path, &fault.path));
        if !in_faulty_part {
            faults.push(fault);
        }
    }
    match decoded.value {
        Some(value) if faults.is_empty() => Ok(value),
        _ => Err(FaultList(faults)),
    }
}

/// True when the part at `path` is the part at `outer` or inside it.
fn contains_path(outer: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(outer) else {
        return false;
    };
    rest.is_empty() || rest.starts_with(['.', '['])
}

/// Reads a file of at most [`MAX_TEXT_BYTES`].
pub(super) fn read_file(path: &Path) -> Result<String> {
    let fault = |value: String, rule: &str| {
        FaultList(vec![ConfigFault::new(
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
