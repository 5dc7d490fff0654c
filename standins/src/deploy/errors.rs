use std::fmt;

/// Result of a step of a deployment.
pub type Result<T> = std::result::Result<T, DeployError>;

/// Why a step of a deployment failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeployError {
    /// A program can't be found or started.
    Program(String),
    /// A process did not print the expected line in time.
    Line(String),
    /// A call failed before a whole answer arrived.
    Call(String),
    /// A condition did not hold in time.
    Wait(String),
}

impl fmt::Display for DeployError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Program(detail) => write!(formatter, "program did not start: {detail}"),
            Self::Line(detail) => write!(formatter, "process did not report: {detail}"),
            Self::Call(detail) => write!(formatter, "call failed: {detail}"),
            Self::Wait(detail) => write!(formatter, "condition did not hold in time: {detail}"),
        }
    }
}

impl std::error::Error for DeployError {}

impl From<std::io::Error> for DeployError {
    fn from(error: std::io::Error) -> Self {
        Self::Program(error.to_string())
    }
}
