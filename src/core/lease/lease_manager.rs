use {
    super::{
        ChangeOutcome, LeaseAction, LeaseEvent, LeaseRights, LeaseRow, LeaseTiming, TableChange,
    },
    crate::wire::{CommitRequest, RowCondition, RowWrite, TableRow},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Unsettled attempts that are remembered; older ones are conditional on a version long replaced.
const MAX_ATTEMPTS: usize = 16;

value_type! {
    /// A commit of the lease row that is not settled yet.
    struct LeaseAttempt {
        term: u64,
        renewal: u64,
        sent_at: Duration,
        ticket: Option<u64>,
    }

    /// Standing of this process.
    enum LeaseState {
        /// Another process may hold the lease.
        Watching {
            /// Version of the row and when it was first seen without a failed read since.
            seen: Option<(u64, Duration)>,
        },
        /// The row names this process.
        Held {
            term: u64,
            version: u64,
            expires: Duration,
        },
    }
}

/// Takes and renews the lease of a failure domain.
///
/// Every commit of a holder is conditional on the version of the lease row and
/// writes that row, membership changes included. A write that arrives after
/// the lease has changed hands therefore has no effect, and reading the one
/// row back settles a write whose answer was lost.
#[derive(Debug, Clone)]
#[allow(clippy::struct_excessive_bools)] // independent facts
pub struct LeaseKeeper {
    key: String,
    holder: String,
    timing: LeaseTiming,
    state: LeaseState,
    attempts: SmallVec<[LeaseAttempt; 2]>,
    renewal: u64,
    waiting: bool,
    must_read: bool,
    next_call: Duration,
    renew_at: Duration,
    platform_out: bool,
    pending: Option<TableChange>,
    expires_on_clock: bool,
}

impl LeaseKeeper {
    /// Creates a keeper; `holder` is unique over all boots of all processes.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::lease::{LeaseAction, LeaseEvent, LeaseKeeper, LeaseRights, LeaseTiming},
    /// };
    ///
    /// let mut keeper = LeaseKeeper::new("kochi", "controller-1-77", LeaseTiming::default());
    /// let mut out = Vec::new();
    /// keeper.step(Duration::ZERO, LeaseEvent::Tick, &mut out);
    /// assert_eq!(out, [LeaseAction::Read]);
    /// keeper.step(Duration::from_millis(2), LeaseEvent::Read(None), &mut out);
    /// keeper.step(Duration::from_millis(4), LeaseEvent::Committed(9), &mut out);
    /// assert_eq!(keeper.rights(Duration::from_secs(1)), LeaseRights::Full { term: 1 });
    /// assert_eq!(keeper.rights(Duration::from_secs(9)), LeaseRights::None);
    /// ```
    #[must_use]
    pub fn new(failure_domain: &str, holder: &str, timing: LeaseTiming) -> Self {
        Self {
            key: format!("lease/{failure_domain}"),
            holder: holder.to_owned(),
            timing,
            state: LeaseState::Watching { seen: None },
            attempts: SmallVec::new(),
            renewal: 0,
            waiting: false,
            must_read: false,
            next_call: Duration::ZERO,
            renew_at: Duration::ZERO,
            platform_out: false,
            pending: None,
            expires_on_clock: true,
        }
    }

    /// Keeps the rights of a holder whose lease has run out. Only for tests
    /// that show what the check of the remaining time prevents.
    pub fn ignore_expiry(&mut self) {
        self.expires_on_clock = false;
    }

    /// Rights of this process at `now`.
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

    /// True while a change waits for its outcome.
    #[must_use]
    pub fn is_committing(&self) -> bool {
        self.pending.is_some()
    }

    /// True when the last call to the platform failed.
    #[must_use]
    pub fn platform_is_out(&self) -> bool {
        self.platform_out
    }

    /// Handles an event.
    pub fn step(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<LeaseAction>) {
        match event {
            LeaseEvent::Tick => self.call(now, out),
            LeaseEvent::Offered(change) => {
                if self.pending.is_none() && matches!(self.state, LeaseState::Held { .. }) {
                    self.pending = Some(change);
                    self.call(now, out);
                }
            }
            LeaseEvent::Read(row) => {
                self.answered();
                self.read(now, row, out);
            }
            LeaseEvent::Committed(version) => {
                self.answered();
                if let Some(attempt) = self.attempts.last().cloned() {
                    self.confirm(&attempt, version, out);
                }
            }
            LeaseEvent::Conflict(conflicts) => {
                self.answered();
                self.conflict(now, conflicts, out);
            }
            LeaseEvent::CallFailed => {
                self.waiting = false;
                self.platform_out = true;
                self.must_read = true;
                self.next_call = now + self.timing.retry_after;
                if let LeaseState::Watching { seen } = &mut self.state {
                    // The holder could not renew either; it gets a whole lease to do so.
                    *seen = None;
                }
            }
            LeaseEvent::Outranked => self.lose(out),
        }
    }

    fn answered(&mut self) {
        self.waiting = false;
        self.platform_out = false;
    }

    fn call(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.waiting || now < self.next_call {
            return;
        }
        match self.state {
            LeaseState::Held { term, version, .. } if !self.must_read => {
                if now >= self.renew_at || self.pending.is_some() {
                    self.commit(now, term, version, out);
                }
            }
            _ => {
                self.waiting = true;
                out.push(LeaseAction::Read);
            }
        }
    }

    fn commit(&mut self, now: Duration, term: u64, version: u64, out: &mut Vec<LeaseAction>) {
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
        if let Some(change) = &self.pending {
            request.conditions.extend(change.conditions.iter().cloned());
            request.writes.extend(change.writes.iter().cloned());
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.remove(0);
        }
        self.attempts.push(LeaseAttempt {
            term,
            renewal: self.renewal,
            sent_at: now,
            ticket: self.pending.as_ref().map(|change| change.ticket),
        });
        self.waiting = true;
        out.push(LeaseAction::Commit(request));
    }

    fn confirm(&mut self, attempt: &LeaseAttempt, version: u64, out: &mut Vec<LeaseAction>) {
        let taken = matches!(self.state, LeaseState::Watching { .. });
        self.state = LeaseState::Held {
            term: attempt.term,
            version,
            expires: attempt.sent_at + self.timing.lease,
        };
        self.attempts.clear();
        self.must_read = false;
        self.renew_at = attempt.sent_at + self.timing.renew_every;
        if taken {
            out.push(LeaseAction::Taken(attempt.term));
        }
        if let Some(ticket) = attempt.ticket {
            self.pending = None;
            out.push(LeaseAction::Settled {
                ticket,
                outcome: ChangeOutcome::Committed(version),
            });
        }
    }

    fn conflict(
        &mut self,
        now: Duration,
        conflicts: Vec<RowCondition>,
        out: &mut Vec<LeaseAction>,
    ) {
        if conflicts.iter().any(|conflict| conflict.key == self.key) {
            self.must_read = true;
            self.next_call = now;
            return;
        }
        self.attempts.pop();
        if let Some(change) = self.pending.take() {
            out.push(LeaseAction::Settled {
                ticket: change.ticket,
                outcome: ChangeOutcome::Rejected(conflicts),
            });
        }
    }

    fn read(&mut self, now: Duration, row: Option<TableRow>, out: &mut Vec<LeaseAction>) {
        self.must_read = false;
        let version = row.as_ref().map_or(0, |row| row.version);
        let value: Option<LeaseRow> = row.and_then(|row| serde_json::from_value(row.value).ok());
        let own = value.as_ref().and_then(|value| {
            let matching = |attempt: &&LeaseAttempt| {
                value.holder == self.holder && value.renewal == attempt.renewal
            };
            self.attempts.iter().find(matching).cloned()
        });
        if let Some(attempt) = own {
            self.confirm(&attempt, version, out);
            return;
        }
        match self.state.clone() {
            LeaseState::Held { version: known, .. } if version < known => {
                // A replica that lags; the row cannot go back.
                self.must_read = true;
                self.next_call = now + self.timing.retry_after;
            }
            LeaseState::Held { version: known, .. } if version == known => {
                self.next_call = now;
                self.renew_at = now;
                self.call(now, out);
            }
            LeaseState::Held { .. } => self.lose(out),
            LeaseState::Watching { seen } => {
                self.next_call = now + self.timing.read_every;
                let term = value.map_or(0, |value| value.term);
                self.watch(now, version, term, seen, out);
            }
        }
    }

    fn watch(
        &mut self,
        now: Duration,
        version: u64,
        term: u64,
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
        let free = version == 0 || now >= since + self.timing.lease + self.timing.margin;
        if free {
            self.commit(now, term + 1, version, out);
        }
    }

    fn lose(&mut self, out: &mut Vec<LeaseAction>) {
        if matches!(self.state, LeaseState::Watching { .. }) {
            return;
        }
        self.state = LeaseState::Watching { seen: None };
        self.attempts.clear();
        if let Some(change) = self.pending.take() {
            out.push(LeaseAction::Settled {
                ticket: change.ticket,
                outcome: ChangeOutcome::Abandoned,
            });
        }
        out.push(LeaseAction::Lost);
    }
}
