use std::sync::atomic::{AtomicBool, Ordering};

/// Tracks whether rows of the list of backend servers were missed since the last pull of the whole
/// list.
#[derive(Debug, Default)]
pub struct MissedRows {
    pending: AtomicBool,
}

/// Guard of a running pull. If the pull was to fetch the whole list and the guard is dropped
/// without [`Self::settle`], for example because of a timeout, the rows count as missed again.
#[derive(Debug)]
pub struct PullGuard<'a> {
    rows: &'a MissedRows,
    wanted: bool,
}

impl MissedRows {
    /// Records that rows were missed.
    pub fn note(&self) {
        self.pending.store(true, Ordering::Relaxed);
    }

    /// True when rows were missed that no pull started since then covers.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.pending.load(Ordering::Relaxed)
    }

    /// Starts a pull. Rows that are missed while it runs require another one.
    ///
    /// ```
    /// use toucanring::core::peers::MissedRows;
    ///
    /// let rows = MissedRows::default();
    /// rows.note();
    /// rows.start_pull().settle();
    /// assert!(!rows.is_pending());
    /// ```
    pub fn start_pull(&self) -> PullGuard<'_> {
        PullGuard {
            rows: self,
            wanted: self.pending.swap(false, Ordering::Relaxed),
        }
    }
}

impl PullGuard<'_> {
    /// Requests the whole list even if no row is known to be missed.
    pub const fn want_list(&mut self) {
        self.wanted = true;
    }

    /// Ends the pull successfully, after the list has arrived.
    pub fn settle(mut self) {
        self.wanted = false;
    }
}

impl Drop for PullGuard<'_> {
    fn drop(&mut self) {
        if self.wanted {
            self.rows.note();
        }
    }
}
