use std::{error, fmt};

/// Result of a reporting call.
pub type Result<T> = std::result::Result<T, error_stack::Report<ReportError>>;

/// Why a report could not be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportError {
    /// Neither or both of `--platform` and `--from-dir` were given.
    Source,
    /// This key of the platform or of the export cannot be read.
    Read(String),
    /// No operator text is committed.
    NoConfiguration,
    /// The content of this key is not what its format allows.
    Format(String),
    /// The output cannot be written.
    Output(String),
    /// A plot cannot be drawn.
    Plot,
}

impl fmt::Display for ReportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Source => formatter.write_str("give either --platform or --from-dir"),
            Self::Read(key) => write!(formatter, "{key:?} cannot be read"),
            Self::NoConfiguration => formatter
                .write_str("no operator text is committed, so there is no objective to report on"),
            Self::Format(key) => write!(formatter, "content of {key:?} has the wrong format"),
            Self::Output(name) => write!(formatter, "{name} cannot be written"),
            Self::Plot => formatter.write_str("plot cannot be drawn"),
        }
    }
}

impl error::Error for ReportError {}
