use {
    super::{
        ChangeOutcome, LeaseAction, LeaseEvent, LeaseRights, LeaseRow, LeaseTiming, MAX_TERM,
        TableChange,
    },
    crate::wire::{CommitRequest, RowCondition, RowWrite, TableRow},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Largest number of attempts with an unknown result that are kept. Older ones are
/// conditional on a version of the row that was replaced long ago.
const MAX_UNSETTLED_ATTEMPTS: usize = 16;

value_type! {
    /// A commit of the lease row whose result is not known yet.
    struct LeaseAttempt {
        term: u64,
        renewal: u64,
        sent_at: Duration,
        ticket: Option<u64>,
    }

    /// Whether this process holds the lease.
    enum LeaseState {
        /// This process reads the row and contends for the lease; another process may hold it.
        Watching {
            /// Version of the row and when this version was first read; reset by a failed call.
            seen: Option<(u64, Duration)>,
        },
        /// The newest row that this process knows names it as the holder; its rights last
        /// until `expires`.
        Held {
            term: u64,
            version: u64,
            expires: Duration,
        },
    }
}

/// Acquires and renews the lease of a failure domain.
///
/// Every commit of a holder, also one with membership changes, is conditional on
/// the version of the lease row and writes that row. A write that arrives after
/// the lease has changed hands therefore has no effect, and reading the lease row
/// shows whether a write whose answer was lost took effect.
#[derive(Debug, Clone)]
#[allow(clippy::struct_excessive_bools)] // independent flags
pub struct LeaseManager {
    /// Key of the lease row.
    key: String,
    /// Holder name that this process writes into the row.
    holder: String,
    timing: LeaseTiming,
    state: LeaseState,
    attempts: SmallVec<[LeaseAttempt; 2]>,
    /// Highest term that the row has named. The row may lose its term when another writer replaces
    /// it, and engines refuse orders under a term lower than the last one.
    highest_term: u64,
    /// Number of the last attempt to write the row.
    renewal: u64,
    /// True while a read or commit is not answered yet.
    call_pending: bool,
    /// True when the row must be read before the next commit.
    must_read: bool,
    /// Earliest time of the next call.
    next_call_at: Duration,
    renew_at: Duration,
    /// True when the last call failed.
    platform_out: bool,
    pending_change: Option<TableChange>,
    /// False only in tests; see [`Self::ignore_expiry`].
    expires_on_clock: bool,
}

impl LeaseManager {
    /// Creates a manager; `holder` is unique over all boots of all processes.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::lease::{
    ///         LeaseAction, LeaseEvent, LeaseManager, LeaseRights, LeaseTiming,
    ///     },
    /// };
    ///
    /// let mut manager = LeaseManager::new("kochi", "controller-1-77", LeaseTiming::default());
    /// let mut out = Vec::new();
    /// manager.step(Duration::ZERO, LeaseEvent::Tick, &mut out);
    /// assert_eq!(out, [LeaseAction::Read]);
    /// manager.step(Duration::from_millis(2), LeaseEvent::Read(None), &mut out);
    /// manager.step(Duration::from_millis(4), LeaseEvent::Committed(9), &mut out);
    /// assert_eq!(manager.rights(Duration::from_secs(1)), LeaseRights::Full { term: 1 });
    /// assert_eq!(manager.rights(Duration::from_secs(9)), LeaseRights::None);
    /// ```
    #[must_use]
    pub fn new(failure_domain: &str, holder: &str, timing: LeaseTiming) -> Self {
        Self {
            key: format!("lease/{failure_domain}"),
            holder: holder.to_owned(),
            timing,
            state: LeaseState::Watching { seen: None },
            attempts: SmallVec::new(),
            highest_term: 0,
            renewal: 0,
            call_pending: false,
            must_read: false,
            next_call_at: Duration::ZERO,
            renew_at: Duration::ZERO,
            platform_out: false,
            pending_change: None,
            expires_on_clock: true,
        }
    }

    /// Keeps the rights after the lease has expired. Only for tests that show
    /// which faults the expiry check prevents.
    pub fn ignore_expiry(&mut self) {
        self.expires_on_clock = false;
    }

    /// Rights of this process at `now`: full until the lease expires, and fenced after it
    /// while the last call to the store failed.
    #[must_use]
    pub fn rights(&self, now: Duration) -> LeaseRights {
        let LeaseState::Held { term, expires, .. } = self.state else {
            return LeaseRights::None;
        };
        if now < expires || !self.expires_on_clock {
            return LeaseRights::Full { term };
        }
        if self.platform_out {
            return LeaseRights::Fenced { term };
        }
        LeaseRights::None
    }

    /// True while an offered change has no outcome yet.
    #[must_use]
    pub fn is_committing(&self) -> bool {
        self.pending_change.is_some()
    }

    /// True when the last call to the store of the platform failed.
    #[must_use]
    pub fn platform_is_out(&self) -> bool {
        self.platform_out
    }

    /// Handles an event, and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        match event {
            LeaseEvent::Tick => self.start_call(now, out),
            LeaseEvent::Offered(change) => {
                if self.pending_change.is_none() && matches!(self.state, LeaseState::Held { .. }) {
                    self.pending_change = Some(change);
                    self.start_call(now, out);
                }
            }
            LeaseEvent::Read(row) => {
                self.end_call();
                self.handle_read(now, row, out);
            }
            LeaseEvent::Committed(version) => {
                self.end_call();
                if let Some(attempt) = self.attempts.last().cloned() {
                    self.confirm_attempt(&attempt, version, out);
                }
            }
            LeaseEvent::Conflict(conflicts) => {
                self.end_call();
                self.handle_conflict(now, conflicts, out);
            }
            LeaseEvent::CallFailed => {
                self.call_pending = false;
                self.platform_out = true;
                self.must_read = true;
                self.next_call_at = now + self.timing.retry_after;
                if let LeaseState::Watching { seen } = &mut self.state {
                    // The holder may have been unable to renew as well; it gets a whole lease
                    // duration to do so.
                    *seen = None;
                }
            }
            LeaseEvent::Outranked => self.end_lease(out),
        }
    }

    fn end_call(&mut self) {
        self.call_pending = false;
        self.platform_out = false;
    }

    fn start_call(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.call_pending || now < self.next_call_at {
            return;
        }
        match self.state {
            LeaseState::Held { term, version, .. } if !self.must_read => {
                if now >= self.renew_at || self.pending_change.is_some() {
                    self.send_commit(now, term, version, out);
                }
            }
            _ => {
                self.call_pending = true;
                out.push(LeaseAction::Read);
            }
        }
    }

    fn send_commit(&mut self, now: Duration, term: u64, version: u64, out: &mut Vec<LeaseAction>) {
        self.renewal += 1;
        let row = LeaseRow {
            holder: self.holder.clone(),
            term,
            renewal: self.renewal,
        };
        let mut request = CommitRequest {
            conditions: vec![RowCondition {
                key: self.key.clone(),
                version,
            }],
            writes: vec![RowWrite {
                key: self.key.clone(),
                value: serde_json::to_value(row).expect("a lease row is JSON"),
            }],
        };
        if let Some(change) = &self.pending_change {
            request.conditions.extend(change.conditions.iter().cloned());
            request.writes.extend(change.writes.iter().cloned());
        }
        if self.attempts.len() >= MAX_UNSETTLED_ATTEMPTS {
            self.attempts.remove(0);
        }
        self.attempts.push(LeaseAttempt {
            term,
            renewal: self.renewal,
            sent_at: now,
            ticket: self.pending_change.as_ref().map(|change| change.ticket),
        });
        self.call_pending = true;
        out.push(LeaseAction::Commit(request));
    }

    fn confirm_attempt(
        &mut self,
        attempt: &LeaseAttempt,
        version: u64,
        out: &mut Vec<LeaseAction>,
    ) {
        let acquired = matches!(self.state, LeaseState::Watching { .. });
        self.highest_term = self.highest_term.max(attempt.term);
        self.state = LeaseState::Held {
            term: attempt.term,
            version,
            expires: attempt.sent_at + self.timing.lease,
        };
        self.attempts.clear();
        self.must_read = false;
        self.renew_at = attempt.sent_at + self.timing.renew_interval;
        if acquired {
            out.push(LeaseAction::Taken(attempt.term));
        }
        if let Some(ticket) = attempt.ticket {
            self.pending_change = None;
            out.push(LeaseAction::Settled {
                ticket,
                outcome: ChangeOutcome::Committed(version),
            });
        }
    }

    fn handle_conflict(
        &mut self,
        now: Duration,
        conflicts: Vec<RowCondition>,
        out: &mut Vec<LeaseAction>,
    ) {
        if conflicts.iter().any(|conflict| conflict.key == self.key) {
            self.must_read = true;
            self.next_call_at = now;
            return;
        }
        self.attempts.pop();
        if let Some(change) = self.pending_change.take() {
            out.push(LeaseAction::Settled {
                ticket: change.ticket,
                outcome: ChangeOutcome::Rejected(conflicts),
            });
        }
    }

    fn handle_read(&mut self, now: Duration, row: Option<TableRow>, out: &mut Vec<LeaseAction>) {
        self.must_read = false;
        let version = row.as_ref().map_or(0, |row| row.version);
        let value = row.and_then(|row| LeaseRow::decode(&row.value));
        if let Some(value) = &value {
            self.highest_term = self.highest_term.max(value.term);
        }
        let own_attempt = value.as_ref().and_then(|value| {
            let matching = |attempt: &&LeaseAttempt| {
                value.holder == self.holder && value.renewal == attempt.renewal
            };
            self.attempts.iter().find(matching).cloned()
        });
        if let Some(attempt) = own_attempt {
            self.confirm_attempt(&attempt, version, out);
            return;
        }
        match self.state.clone() {
            LeaseState::Held { version: known, .. } if version < known => {
                // The answer is from a lagging replica, since versions of the row only grow.
                self.must_read = true;
                self.next_call_at = now + self.timing.retry_after;
            }
            LeaseState::Held { version: known, .. } if version == known => {
                self.next_call_at = now;
                self.renew_at = now;
                self.start_call(now, out);
            }
            LeaseState::Held { .. } => self.end_lease(out),
            LeaseState::Watching { seen } => {
                self.next_call_at = now + self.timing.read_interval;
                self.watch_row(now, version, seen, out);
            }
        }
    }

    fn watch_row(
        &mut self,
        now: Duration,
        version: u64,
        seen: Option<(u64, Duration)>,
        out: &mut Vec<LeaseAction>,
    ) {
        let since = match seen {
            Some((known, since)) if known == version => since,
            Some((known, _)) if known > version => return,
            _ => now,
        };
        self.state = LeaseState::Watching {
            seen: Some((version, since)),
        };
        let is_free = version == 0 || now >= since + self.timing.lease + self.timing.margin;
        if is_free {
            let term = (self.highest_term + 1).min(MAX_TERM);
            self.send_commit(now, term, version, out);
        }
    }

    fn end_lease(&mut self, out: &mut Vec<LeaseAction>) {
        if matches!(self.state, LeaseState::Watching { .. }) {
            return;
        }
        self.state = LeaseState::Watching { seen: None };
        self.attempts.clear();
        if let Some(change) = self.pending_change.take() {
            out.push(LeaseAction::Settled {
                ticket: change.ticket,
                outcome: ChangeOutcome::Abandoned,
            });
        }
        out.push(LeaseAction::Lost);
    }
}
