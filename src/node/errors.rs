use std::fmt;

/// Result of starting or running a node.
pub type Result<T> = std::result::Result<T, error_stack::Report<NodeError>>;

/// Why a node cannot start or continue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeError {
    /// A listening address, which is attached to the report, cannot be bound.
    Listen,
    /// The control actor cannot be started.
    Actor,
    /// A handler for SIGTERM, SIGINT or SIGHUP cannot be installed.
    Signal,
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Listen => "cannot bind a listening address",
            Self::Actor => "cannot start the control actor",
            Self::Signal => "cannot install a signal handler",
        })
    }
}

impl std::error::Error for NodeError {}
