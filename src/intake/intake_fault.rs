use std::{fmt, time::Duration};

/// Shortest retry-after time of a request for whose body there is no room: unfinished bodies without
/// progress give way after a second.
pub const NO_ROOM_RETRY: Duration = Duration::from_secs(1);

/// Part of the retry-after time that is random, so that the callers do not return at once.
pub const NO_ROOM_SPREAD_MS: u64 = 1_000;

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, IntakeFault>;

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IntakeFault {
    /// The body is larger than permitted.
    TooLarge,
    /// Nothing arrived for longer than permitted.
    Stalled,
    /// There is no room for the body, and no other one was dropped in its favour.
    NoRoom,
    /// The body was dropped in favour of another one.
    Dropped,
    /// The caller has ended the connection or sent an invalid body.
    CutOff,
}

impl fmt::Display for IntakeFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLarge => "the body is too large",
            Self::Stalled => "the body did not arrive in time",
            Self::NoRoom => "there is no memory left for the body",
            Self::Dropped => "the body was dropped in favour of others",
            Self::CutOff => "the body is incomplete",
        })
    }
}

impl std::error::Error for IntakeFault {}
