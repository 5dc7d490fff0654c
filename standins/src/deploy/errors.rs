use std::fmt;

/// Result of a step of a deployment.
pub type Result<T> = std::result::Result<T, DeployError>;

/// Reason for which a step of a deployment failed, with a detail for the reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeployError {
    /// A program can't be found, started or signalled, or failed; also any file error.
    Program(String),
    /// A process did not print an expected line in time, or printed one that can't be parsed.
    Line(String),
    /// A call got no complete response, or one with an unexpected status or body.
    Call(String),
    /// A condition did not hold in time.
    Wait(String),
}

impl fmt::Display for DeployError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Program(detail) => write!(formatter, "program or file error: {detail}"),
            Self::Line(detail) => write!(
                formatter,
                "process did not print an expected line: {detail}"
            ),
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
