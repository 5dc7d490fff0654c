use std::{error, fmt};

/// Result of starting a gateway process.
pub type Result<T> = std::result::Result<T, error_stack::Report<GatewayError>>;

/// Why a gateway process could not be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayError {
    /// Metrics could not be set up, the exchange key is invalid, or the peer port could not be
    /// opened.
    Runtime,
    /// The address for callers could not be bound, or the system did not state the bound address.
    Listen,
    /// The actor that runs the request dispatcher could not be spawned.
    Actor,
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Runtime => "failed to start the process runtime",
            Self::Listen => "failed to bind the address for callers",
            Self::Actor => "failed to start the request dispatcher",
        })
    }
}

impl error::Error for GatewayError {}
