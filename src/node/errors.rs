use std::fmt;

/// Result of this module.
pub type Result<T> = std::result::Result<T, error_stack::Report<NodeError>>;

/// Why a node cannot start or go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeError {
    /// An address cannot be opened.
    Listen,
    /// An actor cannot be started.
    Actor,
    /// A signal handler cannot be installed.
    Signal,
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Listen => "an address cannot be opened",
            Self::Actor => "an actor cannot be started",
            Self::Signal => "a signal handler cannot be installed",
        })
    }
}

impl std::error::Error for NodeError {}
