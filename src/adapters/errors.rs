use {
    error_stack::{AttachmentKind, FrameKind},
    std::{error, fmt},
};

/// Result of an adapter call.
pub type Result<T> = std::result::Result<T, error_stack::Report<AdapterError>>;

/// Why an adapter call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterError {
    /// No connection could be established, so that no byte of the request was sent; or a local
    /// address or an actor needed for communication could not be opened or started.
    Connect,
    /// The connection broke or the timeout passed after bytes may have been sent; the call may have
    /// taken effect.
    Interrupted,
    /// An answer, a request or a key does not have the form that the protocol requires.
    Protocol,
    /// The server answered with this HTTP status, which is no success.
    Status(u16),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => formatter.write_str("failed to connect or to open a port"),
            Self::Interrupted => formatter.write_str("call ended without a complete answer"),
            Self::Protocol => formatter.write_str("data does not follow the protocol"),
            Self::Status(status) => write!(formatter, "server answered with status {status}"),
        }
    }
}

impl error::Error for AdapterError {}

/// Formats an error with its attachments and causes in one line, the outermost first.
///
/// ```
/// use {error_stack::Report, toucanring::adapters::{AdapterError, explain}};
///
/// let report = Report::new(AdapterError::Protocol).attach("object config/ab is missing");
/// let line = explain(&report);
/// assert_eq!(line, "object config/ab is missing: data does not follow the protocol");
/// ```
#[must_use]
pub fn explain(report: &error_stack::Report<AdapterError>) -> String {
    let mut parts: Vec<String> = Vec::new();
    for frame in report.frames() {
        match frame.kind() {
            FrameKind::Context(context) => parts.push(context.to_string()),
            FrameKind::Attachment(AttachmentKind::Printable(detail)) => {
                parts.push(detail.to_string());
            }
            FrameKind::Attachment(_) => {}
        }
    }
    parts.join(": ")
}
