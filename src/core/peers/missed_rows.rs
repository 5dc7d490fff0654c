use std::sync::atomic::{AtomicBool, Ordering};

/// Whether rows of the list of backend servers were missed since the last pull
/// of the whole list.
#[derive(Debug, Default)]
pub struct MissedRows {
    pending: AtomicBool,
}

/// A pull under way. Unless it is settled, the rows count as missed again when
/// it is dropped, also by a timeout.
#[derive(Debug)]
pub struct MissedPull<'a> {
    rows: &'a MissedRows,
    wanted: bool,
}

impl MissedRows {
    /// Notes that rows were missed.
    pub fn note(&self) {
        self.pending.store(true, Ordering::Relaxed);
    }

    /// True when the whole list is to be pulled.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.pending.load(Ordering::Relaxed)
    }

    /// Starts a pull; rows that are missed while it runs count anew.
    ///
    /// ```
    /// use toucanring::core::peers::MissedRows;
    ///
    /// let rows = MissedRows::default();
    /// rows.note();
    /// rows.start_pull().settle();
    /// assert!(!rows.is_pending());
    /// ```
    pub fn start_pull(&self) -> MissedPull<'_> {
        MissedPull {
            rows: self,
            wanted: self.pending.swap(false, Ordering::Relaxed),
        }
    }
}

impl MissedPull<'_> {
    /// Wants the whole list though no row is known to be missed.
    pub const fn want_list(&mut self) {
        self.wanted = true;
    }

    /// True when the whole list is wanted.
    #[must_use]
    pub const fn wants_list(&self) -> bool {
        self.wanted
    }

    /// Notes that the list has come.
    pub fn settle(mut self) {
        self.wanted = false;
    }
}

impl Drop for MissedPull<'_> {
    fn drop(&mut self) {
        if self.wanted {
            self.rows.note();
        }
    }
}
