use std::{error, fmt};

/// Result of a gateway operation.
pub type Result<T> = std::result::Result<T, error_stack::Report<GatewayError>>;

/// Why a gateway process cannot run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayError {
    /// The exchange with peers or the platform client could not be started.
    Runtime,
    /// The address for callers cannot be opened.
    Listen,
    /// The actor of the request dispatcher could not be started.
    Actor,
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Runtime => "process runtime could not be started",
            Self::Listen => "address for callers could not be opened",
            Self::Actor => "request dispatcher could not be started",
        })
    }
}

impl error::Error for GatewayError {}
