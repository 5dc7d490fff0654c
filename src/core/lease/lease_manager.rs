use {
    super::{
        ChangeOutcome, LeaseAction, LeaseEvent, LeaseRights, LeaseRow, LeaseTiming, MAX_TERM,
        TableChange, first_term_after,
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
            /// Version of that row; none when the store has been restored since.
            version: Option<u64>,
            /// Number of the attempt that wrote that row.
            renewal: u64,
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
///
/// A store that is restored from a copy loses rows and gives out their versions again. A new era of
/// the store therefore ends the comparison of versions: watching begins anew, for a whole lease
/// duration, also when there is no row, since the row of a holder may have been lost. A holder writes
/// its row again under the same term if the term of the restored row shows that nobody has acquired
/// the lease since.
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
    /// Era of the store in its last answer; none before the first.
    era: Option<u64>,
    /// Time of the last event.
    last_step_at: Duration,
    /// False when, since the last renewal, this process stood still or did not notice the end of
    /// its lease for so long that another one may have acquired it.
    ran_throughout: bool,
    /// True when the store may have lost rows and terms that it had acknowledged.
    row_may_be_lost: bool,
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
            era: None,
            last_step_at: Duration::ZERO,
            ran_throughout: true,
            row_may_be_lost: false,
            expires_on_clock: true,
        }
    }

    /// Lets a missing row count as lost by the store. To be called for a process that joins a
    /// running deployment: its store may have been restored before this process began.
    #[must_use]
    pub const fn with_distrusted_absence(mut self) -> Self {
        self.row_may_be_lost = true;
        self
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
        let pause = now.saturating_sub(self.last_step_at);
        self.ran_throughout &= pause < self.timing.lease + self.timing.margin;
        self.last_step_at = now;
        match event {
            LeaseEvent::Tick => self.start_call(now, out),
            LeaseEvent::EraSeen(era) => self.enter_era(now, era, out),
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
                match self.attempts.last().cloned() {
                    Some(attempt) => self.confirm_attempt(&attempt, version, out),
                    // The condition named a version of an earlier era. The write may have replaced
                    // the row of another holder.
                    None => self.end_lease(out),
                }
            }
            LeaseEvent::Conflict(conflicts) => {
                self.end_call();
                self.handle_conflict(now, conflicts, out);
            }
            LeaseEvent::CallFailed => {
                self.call_pending = false;
                self.ran_throughout &= self.platform_out || !self.is_overdue(now);
                // The store may be restored before this process reads it for the first time.
                self.row_may_be_lost |= self.era.is_none();
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

    /// True when the lease of this process ended so long ago that another one may have acquired it.
    fn is_overdue(&self, now: Duration) -> bool {
        let LeaseState::Held { expires, .. } = self.state else {
            return false;
        };
        now >= expires + self.timing.margin
    }

    fn end_call(&mut self) {
        self.call_pending = false;
        self.platform_out = false;
    }

    fn enter_era(&mut self, now: Duration, era: u64, out: &mut Vec<LeaseAction>) {
        let before = self.era.replace(era);
        if before.is_none_or(|before| before == era) {
            return;
        }
        if self.rights(now) == LeaseRights::None || !self.ran_throughout {
            // Another process may have acquired the lease in the part of the history that is lost.
            self.end_lease(out);
        }
        self.row_may_be_lost = true;
        self.must_read = true;
        self.attempts.clear();
        self.abandon_change(out);
        match &mut self.state {
            LeaseState::Watching { seen } => *seen = None,
            LeaseState::Held { version, .. } => *version = None,
        }
    }

    fn start_call(&mut self, now: Duration, out: &mut Vec<LeaseAction>) {
        if self.call_pending || now < self.next_call_at {
            return;
        }
        match self.state {
            LeaseState::Held {
                term,
                version: Some(version),
                ..
            } if !self.must_read => {
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
            version: Some(version),
            renewal: attempt.renewal,
            expires: attempt.sent_at + self.timing.lease,
        };
        self.attempts.clear();
        self.must_read = false;
        self.ran_throughout = true;
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
            LeaseState::Held {
                term,
                version: None,
                renewal,
                ..
            } => {
                let is_ours =
                    version == 0 || value.is_some_and(|row| self.is_restored(&row, term, renewal));
                if !is_ours {
                    self.end_lease(out);
                    return;
                }
                self.send_commit(now, term, version, out);
            }
            LeaseState::Held {
                version: Some(known),
                ..
            } if version < known => {
                // The answer is from a lagging replica, since versions of the row only grow.
                self.must_read = true;
                self.next_call_at = now + self.timing.retry_after;
            }
            LeaseState::Held {
                version: Some(known),
                ..
            } if version == known => {
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

    /// True when a row that was read after a restoration of the store is from before: nobody has
    /// acquired the lease after this holder. A renewal of its own that was never confirmed may have
    /// replaced the row of a later holder.
    fn is_restored(&self, row: &LeaseRow, term: u64, renewal: u64) -> bool {
        let is_unconfirmed = row.holder == self.holder && row.renewal > renewal;
        row.term <= term && !is_unconfirmed
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
        let is_new = version == 0 && !self.row_may_be_lost;
        if is_new || now >= since + self.timing.lease + self.timing.margin {
            let term = self.next_term(version);
            self.send_commit(now, term, version, out);
        }
    }

    /// Term under which this process may acquire the lease by replacing the row of this version. The
    /// store may have lost higher terms than this process has read, unless the deployment began with
    /// it and the era has not changed.
    fn next_term(&self, version: u64) -> u64 {
        let next = self.highest_term + 1;
        let first = match self.era {
            Some(era) if self.row_may_be_lost => first_term_after(era, version),
            _ => 1,
        };
        next.max(first).min(MAX_TERM)
    }

    fn end_lease(&mut self, out: &mut Vec<LeaseAction>) {
        if matches!(self.state, LeaseState::Watching { .. }) {
            return;
        }
        self.state = LeaseState::Watching { seen: None };
        self.attempts.clear();
        self.abandon_change(out);
        out.push(LeaseAction::Lost);
    }

    fn abandon_change(&mut self, out: &mut Vec<LeaseAction>) {
        let Some(change) = self.pending_change.take() else {
            return;
        };
        out.push(LeaseAction::Settled {
            ticket: change.ticket,
            outcome: ChangeOutcome::Abandoned,
        });
    }
}
