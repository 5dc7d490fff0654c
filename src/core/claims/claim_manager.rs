use {
    super::{
        ClaimAction, ClaimDecision, ClaimEvent, ClaimRequest, ClaimRow, ClaimState, CommitResult,
        ReadResult, RecordedOutcome,
    },
    crate::wire::{CommitRequest, RowCondition, RowWrite},
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Time over which writes are collected into one commit. The table service accepts several hundred
/// commits a second from all gateways together.
const BATCH_WINDOW: Duration = Duration::from_millis(4);

/// Most writes in one commit.
const MAX_WRITES: usize = 64;

/// Most commits without a result at the same time.
const MAX_BATCHES: usize = 2;

/// Delay before a row is read again, and before an unconfirmed write is checked or repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest wait for the outcome of another arrival that owns the row.
const MAX_HELD_WAIT: Duration = Duration::from_secs(2);

/// Time after which withdrawing a claim or recording an outcome is given up.
const MAX_SETTLE_TIME: Duration = Duration::from_mins(1);

/// State of the row that a claim is to reach.
#[derive(Debug, Clone, PartialEq)]
enum ClaimGoal {
    /// Own the row; the request waits.
    Own,
    /// The row is owned and the request may run.
    Owned,
    /// Ensure that no row with this token stays in state `claimed`, or appears later.
    Withdraw,
    /// Store the outcome in the row.
    Record(RecordedOutcome),
}

/// What a claim waits for before its next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimWait {
    /// The next commit, which is to include its write.
    Write,
    /// The result of the commit that includes its write.
    Commit,
    /// The result of a read.
    Read,
    /// This monotonic time.
    Until(Duration),
    /// An event from the request.
    Nothing,
}

#[derive(Debug, Clone)]
struct OpenClaim {
    request: ClaimRequest,
    goal: ClaimGoal,
    wait: ClaimWait,
    /// Row version on which the next write is conditional; 0 when the row must not exist.
    version: u64,
    /// True while the row must be read before the next write.
    needs_read: bool,
    /// True once the answer to a commit was lost; that commit may still take effect later.
    commit_unconfirmed: bool,
    /// Time at which the row was first found owned by another arrival.
    held_since: Option<Duration>,
    /// Time at which the claim is removed if its goal is not reached; unused while owned.
    give_up_at: Duration,
}

/// State machine that writes, withdraws and records claims, in batched commits.
///
/// A claim is granted only on a confirmed commit or when the row is read back with its own token.
/// Once a request was refused with [`ClaimDecision::NotWritten`], its claim can only be withdrawn.
#[derive(Debug, Clone, Default)]
pub struct ClaimManager {
    claims: BTreeMap<u64, OpenClaim>,
    /// Tickets of each commit without a result, by batch number.
    batches: HashMap<u64, Vec<u64>>,
    next_batch: u64,
    /// Time at which the collected writes are committed.
    flush_at: Option<Duration>,
}

impl ClaimManager {
    /// Number of claims that the process still tracks, with those whose request runs.
    #[must_use]
    pub fn open(&self) -> usize {
        self.claims.len()
    }

    /// Number of claims that still need the platform: open writes, withdrawals and outcomes.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        let needs_platform = |claim: &&OpenClaim| claim.goal != ClaimGoal::Owned;
        self.claims.values().filter(needs_platform).count()
    }

    /// Handles an event at monotonic time `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, event: ClaimEvent, out: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Request(request) => self.open_claim(now, request),
            ClaimEvent::Release(ticket) => self.set_goal(now, ticket, ClaimGoal::Withdraw),
            ClaimEvent::Record(ticket, outcome) => {
                self.set_goal(now, ticket, ClaimGoal::Record(outcome));
            }
            ClaimEvent::Abandon(ticket) => {
                self.claims.remove(&ticket);
            }
            ClaimEvent::Committed(batch, result) => self.finish_batch(now, batch, &result, out),
            ClaimEvent::Read(ticket, result) => self.handle_row(now, ticket, result, out),
            ClaimEvent::Tick => self.handle_tick(now, out),
        }
        self.flush(now, out);
    }

    fn open_claim(&mut self, now: Duration, request: ClaimRequest) {
        let ticket = request.ticket;
        let claim = OpenClaim {
            give_up_at: request.deadline,
            request,
            goal: ClaimGoal::Own,
            wait: ClaimWait::Write,
            version: 0,
            needs_read: false,
            commit_unconfirmed: false,
            held_since: None,
        };
        self.claims.insert(ticket, claim);
        self.schedule_flush(now);
    }

    fn set_goal(&mut self, now: Duration, ticket: u64, goal: ClaimGoal) {
        let Some(claim) = self.claims.get_mut(&ticket) else {
            return;
        };
        // A request to record an outcome is never replaced by another goal.
        if matches!(claim.goal, ClaimGoal::Record(_)) {
            return;
        }
        // A claim whose write was never sent leaves nothing to withdraw.
        if claim.wait == ClaimWait::Write
            && !claim.commit_unconfirmed
            && claim.goal == ClaimGoal::Own
        {
            self.claims.remove(&ticket);
            return;
        }
        claim.goal = goal;
        claim.give_up_at = now + MAX_SETTLE_TIME;
        if matches!(claim.wait, ClaimWait::Nothing | ClaimWait::Until(_)) {
            claim.wait = ClaimWait::Write;
        }
        self.schedule_flush(now);
    }

    fn schedule_flush(&mut self, now: Duration) {
        self.flush_at.get_or_insert(now + BATCH_WINDOW);
    }

    fn handle_tick(&mut self, now: Duration, out: &mut Vec<ClaimAction>) {
        let mut finished = Vec::new();
        let mut needs_flush = false;
        for (ticket, claim) in &mut self.claims {
            if claim.goal == ClaimGoal::Own && now >= claim.request.deadline {
                let decision = if claim.held_since.is_some() {
                    ClaimDecision::Held
                } else {
                    ClaimDecision::NotWritten
                };
                out.push(ClaimAction::Decision(*ticket, decision));
                let nothing_sent = claim.wait == ClaimWait::Write && !claim.commit_unconfirmed;
                if nothing_sent || claim.held_since.is_some() {
                    finished.push(*ticket);
                    continue;
                }
                claim.goal = ClaimGoal::Withdraw;
                claim.give_up_at = now + MAX_SETTLE_TIME;
            }
            if claim.goal != ClaimGoal::Owned && now >= claim.give_up_at {
                finished.push(*ticket);
                continue;
            }
            let ClaimWait::Until(at) = claim.wait else {
                continue;
            };
            if now < at {
                continue;
            }
            if claim.needs_read || claim.held_since.is_some() {
                claim.wait = ClaimWait::Read;
                out.push(ClaimAction::Read(*ticket, claim.request.key.clone()));
            } else {
                claim.wait = ClaimWait::Write;
                needs_flush = true;
            }
        }
        for ticket in finished {
            self.claims.remove(&ticket);
        }
        if needs_flush {
            self.schedule_flush(now);
        }
    }

    fn flush(&mut self, now: Duration, out: &mut Vec<ClaimAction>) {
        let ready: Vec<u64> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.wait == ClaimWait::Write)
            .map(|(ticket, _)| *ticket)
            .take(MAX_WRITES)
            .collect();
        if ready.is_empty() {
            self.flush_at = None;
            return;
        }
        // Further writes join a later batch, so that a slow table service gets fewer commits.
        if self.batches.len() >= MAX_BATCHES {
            return;
        }
        let due = self.flush_at.is_some_and(|at| now >= at);
        if !due && ready.len() < MAX_WRITES {
            return;
        }
        let mut request = CommitRequest {
            conditions: Vec::new(),
            writes: Vec::new(),
        };
        let mut tickets = Vec::new();
        for ticket in ready {
            let Some(claim) = self.claims.get_mut(&ticket) else {
                continue;
            };
            // A commit holds at most one write per row, because two would
            // contradict each other.
            let key = &claim.request.key;
            if request.conditions.iter().any(|seen| &seen.key == key) {
                continue;
            }
            request.conditions.push(RowCondition {
                key: key.clone(),
                version: claim.version,
            });
            request.writes.push(RowWrite {
                key: key.clone(),
                value: row_value(claim),
            });
            claim.wait = ClaimWait::Commit;
            tickets.push(ticket);
        }
        let batch = self.next_batch;
        self.next_batch += 1;
        self.batches.insert(batch, tickets);
        self.flush_at = Some(now + BATCH_WINDOW);
        out.push(ClaimAction::Commit(batch, request));
    }

    fn finish_batch(
        &mut self,
        now: Duration,
        batch: u64,
        result: &CommitResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let tickets = self.batches.remove(&batch).unwrap_or_default();
        for ticket in tickets {
            let Some(claim) = self.claims.get_mut(&ticket) else {
                continue;
            };
            match result {
                CommitResult::Committed(version) => {
                    claim.version = *version;
                    claim.needs_read = false;
                    self.confirm_write(ticket, out);
                }
                CommitResult::Unknown => {
                    claim.needs_read = true;
                    claim.commit_unconfirmed = true;
                    claim.wait = ClaimWait::Until(now + RETRY_DELAY);
                }
                CommitResult::Conflict(rows) => {
                    let key = &claim.request.key;
                    if rows.iter().any(|row| &row.key == key) {
                        claim.needs_read = true;
                        claim.wait = ClaimWait::Read;
                        out.push(ClaimAction::Read(ticket, key.clone()));
                        continue;
                    }
                    claim.wait = ClaimWait::Write;
                    self.schedule_flush(now);
                }
            }
        }
    }

    /// Handles a confirmed commit, by which the last write of the claim took effect.
    fn confirm_write(&mut self, ticket: u64, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get_mut(&ticket) else {
            return;
        };
        match claim.goal {
            ClaimGoal::Own => {
                claim.goal = ClaimGoal::Owned;
                claim.wait = ClaimWait::Nothing;
                out.push(ClaimAction::Decision(ticket, ClaimDecision::Granted));
            }
            ClaimGoal::Owned => claim.wait = ClaimWait::Nothing,
            ClaimGoal::Withdraw | ClaimGoal::Record(_) => {
                // The goal may have changed while the commit was open, so the row is read before
                // the claim is removed.
                claim.wait = ClaimWait::Read;
                claim.needs_read = true;
                let key = claim.request.key.clone();
                out.push(ClaimAction::Read(ticket, key));
            }
        }
    }

    fn handle_row(
        &mut self,
        now: Duration,
        ticket: u64,
        result: ReadResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get_mut(&ticket) else {
            return;
        };
        if claim.wait != ClaimWait::Read {
            return;
        }
        match result {
            ReadResult::Failed => claim.wait = ClaimWait::Until(now + RETRY_DELAY),
            ReadResult::Missing => {
                // An unconfirmed write may still take effect. Another write with the same condition
                // ensures that only one of the two does.
                claim.version = 0;
                claim.needs_read = false;
                claim.held_since = None;
                claim.wait = ClaimWait::Write;
                self.schedule_flush(now);
            }
            ReadResult::Found(version, row) if row.token == claim.request.token => {
                self.handle_own_row(now, ticket, version, &row, out);
            }
            ReadResult::Found(version, row) => {
                self.handle_foreign_row(now, ticket, version, row, out);
            }
        }
    }

    fn handle_own_row(
        &mut self,
        now: Duration,
        ticket: u64,
        version: u64,
        row: &ClaimRow,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get_mut(&ticket) else {
            return;
        };
        claim.version = version;
        claim.needs_read = false;
        if row.state == target_state(claim) {
            if claim.goal == ClaimGoal::Own {
                claim.goal = ClaimGoal::Owned;
                claim.wait = ClaimWait::Nothing;
                out.push(ClaimAction::Decision(ticket, ClaimDecision::Granted));
                return;
            }
            self.claims.remove(&ticket);
            return;
        }
        claim.wait = ClaimWait::Write;
        self.schedule_flush(now);
    }

    fn handle_foreign_row(
        &mut self,
        now: Duration,
        ticket: u64,
        version: u64,
        row: ClaimRow,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get_mut(&ticket) else {
            return;
        };
        let withdrawn = row.state == ClaimState::Withdrawn;
        if claim.goal != ClaimGoal::Own && !(withdrawn && claim.commit_unconfirmed) {
            // Another arrival owns the row, so no write of this arrival can take effect.
            self.claims.remove(&ticket);
            return;
        }
        if withdrawn {
            claim.version = version;
            claim.needs_read = false;
            claim.held_since = None;
            claim.wait = ClaimWait::Write;
            self.schedule_flush(now);
            return;
        }
        if row.fingerprint != claim.request.fingerprint {
            out.push(ClaimAction::Decision(ticket, ClaimDecision::KeyReused));
            self.claims.remove(&ticket);
            return;
        }
        if let ClaimState::Done(outcome) = row.state {
            out.push(ClaimAction::Decision(
                ticket,
                ClaimDecision::Recorded(outcome),
            ));
            self.claims.remove(&ticket);
            return;
        }
        let since = *claim.held_since.get_or_insert(now);
        if now.saturating_sub(since) >= MAX_HELD_WAIT {
            out.push(ClaimAction::Decision(ticket, ClaimDecision::Held));
            self.claims.remove(&ticket);
            return;
        }
        claim.wait = ClaimWait::Until(now + RETRY_DELAY);
    }
}

fn target_state(claim: &OpenClaim) -> ClaimState {
    match &claim.goal {
        ClaimGoal::Own | ClaimGoal::Owned => ClaimState::Claimed,
        ClaimGoal::Withdraw => ClaimState::Withdrawn,
        ClaimGoal::Record(outcome) => ClaimState::Done(outcome.clone()),
    }
}

fn row_value(claim: &OpenClaim) -> Value {
    let row = ClaimRow {
        token: claim.request.token,
        fingerprint: claim.request.fingerprint,
        state: target_state(claim),
    };
    // A row has only plain fields, so it always has a JSON form.
    serde_json::to_value(row).unwrap_or(Value::Null)
}
