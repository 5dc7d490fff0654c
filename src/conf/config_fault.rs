use std::fmt;

/// Result of reading a configuration file.
pub type Result<T> = std::result::Result<T, FaultList>;

/// Fault in a configuration file: an operator text or settings.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct ConfigFault {
    /// JSON path, such as `model_services[2].span`. It is the position if the file isn't JSON, and
    /// the file's path if the file can't be read.
    pub path: String,
    /// Faulty value, or a description of it, such as `nothing` for a missing field. Long values may
    /// be cut off.
    pub value: String,
    /// Rule that the value breaks, such as `must be from 1 to 256`.
    pub rule: String,
}

impl ConfigFault {
    /// Creates a fault; `value` is stored as it is displayed.
    #[must_use]
    pub fn new(path: impl Into<String>, value: impl fmt::Display, rule: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            value: value.to_string(),
            rule: rule.into(),
        }
    }
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.path, self.value, self.rule)
    }
}

/// All faults found in a configuration file. It is displayed with one fault a line.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct FaultList(pub Vec<ConfigFault>);

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FaultList {}
