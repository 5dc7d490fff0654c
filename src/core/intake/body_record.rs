use {super::ProgressWindow, std::time::Duration};

/// Part of the limits from which a body takes its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyPool {
    Small,
    Large,
}

/// What the ledger knows of one body.
#[derive(Debug, Clone)]
pub(super) struct BodyRecord {
    /// Client account as a number; none when it is not known.
    pub account: Option<u64>,
    pub held_bytes: usize,
    pub pool: BodyPool,
    pub progress: ProgressWindow,
    /// Time of the last byte, or of the start.
    pub last_byte: Duration,
    /// True when the body has arrived; it is no longer dropped.
    pub is_whole: bool,
}

impl BodyRecord {
    pub fn new(now: Duration, account: Option<u64>) -> Self {
        Self {
            account,
            held_bytes: 0,
            pool: BodyPool::Small,
            progress: ProgressWindow::new(now),
            last_byte: now,
            is_whole: false,
        }
    }
}
