//! Command-line arguments, one file per binary.

mod report_args;

pub use report_args::{BurnArgs, ReportArgs, ReportCommand};
