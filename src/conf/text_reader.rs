use {
    super::{ConfFault, FaultList, OperatorText, ProcessSettings, Result},
    serde::de::DeserializeOwned,
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
pub fn parse_settings(text: &str) -> Result<ProcessSettings> {
    decode(text)
}

/// Decodes and checks an operator text.
///
/// # Errors
/// All faults found.
pub fn parse_operator_text(text: &str) -> Result<OperatorText> {
    decode(text)
}

fn read_file(path: &Path) -> Result<String> {
    let fault = |error: std::io::Error| {
        FaultList(vec![ConfFault::new(
            path.display().to_string(),
            error,
            "must be a readable UTF-8 file",
        )])
    };
    fs::read_to_string(path).map_err(fault)
}

fn decode<T: DeserializeOwned>(text: &str) -> Result<T> {
    let mut decoder = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut decoder).map_err(|error| {
        let path = error.path().to_string();
        FaultList(vec![ConfFault::new(
            path,
            "",
            error.into_inner().to_string(),
        )])
    })
}
