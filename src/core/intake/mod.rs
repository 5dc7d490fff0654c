//! Memory for the requests of callers: how many bytes may be kept, and which unfinished body is
//! dropped when they are used up. No I/O and no clock.

mod body_ledger;
mod body_record;
mod connection_ledger;
mod connection_limits;
mod intake_limits;
mod intake_verdict;
mod progress_window;

pub use {
    body_ledger::{BodyKey, BodyLedger},
    connection_ledger::{ClosedConnections, ConnectionKey, ConnectionLedger, ReaderVerdict},
    connection_limits::ConnectionLimits,
    intake_limits::{DEFAULT_MEMORY_MB, IntakeLimits, SMALL_BODY_BYTES},
    intake_verdict::IntakeVerdict,
    progress_window::ProgressWindow,
};
