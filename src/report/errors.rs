use std::{error, fmt};

/// Result of making a report.
pub type Result<T> = std::result::Result<T, error_stack::Report<ReportError>>;

/// Why a report could not be made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportError {
    /// Neither or both of `--platform` and `--from-dir` were given.
    Source,
    /// The object, row or list with this key cannot be read from the platform or the export.
    Read(String),
    /// No operator text has been applied yet.
    NoConfiguration,
    /// The content under this key cannot be decoded.
    Format(String),
    /// The report cannot be written to this output.
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
