use std::fmt;

/// Result of reading a configuration text.
pub type Result<T> = std::result::Result<T, FaultList>;

/// One fault of a configuration text.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct ConfFault {
    /// JSON path, such as `model_services[2].span`.
    pub path: String,
    /// The faulty value as JSON.
    pub value: String,
    /// The rule that the value breaks.
    pub rule: String,
}

impl ConfFault {
    /// Creates a fault.
    #[must_use]
    pub fn new(path: impl Into<String>, value: impl fmt::Display, rule: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            value: value.to_string(),
            rule: rule.into(),
        }
    }
}

impl fmt::Display for ConfFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.path, self.value, self.rule)
    }
}

/// All faults of a configuration text, one a line when displayed.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct FaultList(pub Vec<ConfFault>);

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
