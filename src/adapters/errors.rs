use {
    error_stack::{AttachmentKind, FrameKind},
    std::{error, fmt},
};

/// Result of an adapter call.
pub type Result<T> = std::result::Result<T, error_stack::Report<AdapterError>>;

/// Why an adapter call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterError {
    /// No connection was made, so no byte of the request was sent.
    Connect,
    /// The connection broke or the deadline passed after bytes may have been sent.
    Interrupted,
    /// The answer is not what the protocol allows.
    Protocol,
    /// The other side refused with this status.
    Status(u16),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect => formatter.write_str("connection was not made"),
            Self::Interrupted => formatter.write_str("call was interrupted before its answer"),
            Self::Protocol => formatter.write_str("answer does not follow the protocol"),
            Self::Status(status) => write!(formatter, "server answered with status {status}"),
        }
    }
}

impl error::Error for AdapterError {}

/// Renders a failure with its causes and details in one line.
///
/// ```
/// use {error_stack::Report, toucanring::adapters::{AdapterError, explain}};
///
/// let report = Report::new(AdapterError::Protocol).attach("object config/ab is missing");
/// let line = explain(&report);
/// assert_eq!(line, "object config/ab is missing: answer does not follow the protocol");
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
