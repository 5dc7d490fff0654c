use {
    super::{
        ClaimAction, ClaimEvent, ClaimRequest, ClaimRow, ClaimState, ClaimVerdict, CommitResult,
        ReadResult, RecordedOutcome,
    },
    crate::wire::{CommitRequest, RowCondition, RowWrite},
    serde_json::Value,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Time over which writes are collected into one commit. The table takes
/// several hundred commits a second for all gateways together.
const BATCH_WINDOW: Duration = Duration::from_millis(4);

/// Most writes in one commit.
const MOST_WRITES: usize = 64;

/// Commits under way at once.
const MOST_BATCHES: usize = 2;

/// Wait before a row is read again, and before a failed write is repeated.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest wait for another arrival's outcome.
const HELD_WAIT: Duration = Duration::from_secs(2);

/// Longest effort to withdraw a claim or to record an outcome.
const SETTLE_FOR: Duration = Duration::from_mins(1);

/// What a claim is working towards.
#[derive(Debug, Clone, PartialEq)]
enum Goal {
    /// Own the row.
    Own,
    /// Owned; the request may run now.
    Owned,
    /// Make sure that no row of this token can remain or appear.
    Withdraw,
    /// Store the outcome.
    Record(RecordedOutcome),
}

/// What a claim waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    Write,
    Commit,
    Read,
    Until(Duration),
    Nothing,
}

#[derive(Debug, Clone)]
struct OpenClaim {
    request: ClaimRequest,
    goal: Goal,
    wait: Wait,
    /// Version that the next write expects.
    version: u64,
    /// True while the row has to be read before the next write.
    in_doubt: bool,
    /// True once the answer to a commit was lost; that commit may still take effect.
    doubtful: bool,
    held_since: Option<Duration>,
    give_up_at: Duration,
}

/// Writes, settles, withdraws and records claims, in batches.
///
/// A claim is granted only on a confirmed commit or on a row that is read
/// back with its own token. Once a requester was told that nothing ran, the
/// claim can only be withdrawn.
#[derive(Debug, Clone, Default)]
pub struct ClaimKeeper {
    claims: BTreeMap<u64, OpenClaim>,
    batches: HashMap<u64, Vec<u64>>,
    next_batch: u64,
    flush_at: Option<Duration>,
}

impl ClaimKeeper {
    /// Number of claims that are not settled.
    #[must_use]
    pub fn open(&self) -> usize {
        self.claims.len()
    }

    /// Number of claims that still need the platform: unsettled writes and withdrawals.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        let settled = |claim: &&OpenClaim| claim.goal != Goal::Owned;
        self.claims.values().filter(settled).count()
    }

    /// Takes one event.
    pub fn step(&mut self, now: Duration, event: ClaimEvent, out: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Request(request) => self.open_claim(now, request),
            ClaimEvent::Release(ticket) => self.set_goal(now, ticket, Goal::Withdraw),
            ClaimEvent::Record(ticket, outcome) => {
                self.set_goal(now, ticket, Goal::Record(outcome));
            }
            ClaimEvent::Abandon(ticket) => {
                self.claims.remove(&ticket);
            }
            ClaimEvent::Committed(batch, result) => self.finish_batch(now, batch, &result, out),
            ClaimEvent::Read(ticket, result) => self.take_row(now, ticket, result, out),
            ClaimEvent::Tick => self.pass_time(now, out),
        }
        self.flush(now, out);
    }

    fn open_claim(&mut self, now: Duration, request: ClaimRequest) {
        let ticket = request.ticket;
        let claim = OpenClaim {
            give_up_at: request.deadline,
            request,
            goal: Goal::Own,
            wait: Wait::Write,
            version: 0,
            in_doubt: false,
            doubtful: false,
            held_since: None,
        };
        self.claims.insert(ticket, claim);
        self.want_flush(now);
    }

    fn set_goal(&mut self, now: Duration, ticket: u64, goal: Goal) {
        let Some(claim) = self.claims.get_mut(&ticket) else {
            return;
        };
        // A recorded outcome is never taken back.
        if matches!(claim.goal, Goal::Record(_)) {
            return;
        }
        // A claim of which no write was sent leaves nothing to withdraw.
        if claim.wait == Wait::Write && !claim.doubtful && claim.goal == Goal::Own {
            self.claims.remove(&ticket);
            return;
        }
        claim.goal = goal;
        claim.give_up_at = now + SETTLE_FOR;
        if matches!(claim.wait, Wait::Nothing | Wait::Until(_)) {
            claim.wait = Wait::Write;
        }
        self.want_flush(now);
    }

    fn want_flush(&mut self, now: Duration) {
        self.flush_at.get_or_insert(now + BATCH_WINDOW);
    }

    fn pass_time(&mut self, now: Duration, out: &mut Vec<ClaimAction>) {
        let mut dropped = Vec::new();
        let mut wants_flush = false;
        for (ticket, claim) in &mut self.claims {
            if claim.goal == Goal::Own && now >= claim.request.deadline {
                let verdict = if claim.held_since.is_some() {
                    ClaimVerdict::Held
                } else {
                    ClaimVerdict::NotWritten
                };
                out.push(ClaimAction::Verdict(*ticket, verdict));
                let nothing_sent = claim.wait == Wait::Write && !claim.doubtful;
                if nothing_sent || claim.held_since.is_some() {
                    dropped.push(*ticket);
                    continue;
                }
                claim.goal = Goal::Withdraw;
                claim.give_up_at = now + SETTLE_FOR;
            }
            if claim.goal != Goal::Owned && now >= claim.give_up_at {
                dropped.push(*ticket);
                continue;
            }
            let Wait::Until(at) = claim.wait else {
                continue;
            };
            if now < at {
                continue;
            }
            if claim.in_doubt || claim.held_since.is_some() {
                claim.wait = Wait::Read;
                out.push(ClaimAction::Read(*ticket, claim.request.key.clone()));
            } else {
                claim.wait = Wait::Write;
                wants_flush = true;
            }
        }
        for ticket in dropped {
            self.claims.remove(&ticket);
        }
        if wants_flush {
            self.want_flush(now);
        }
    }

    fn flush(&mut self, now: Duration, out: &mut Vec<ClaimAction>) {
        let ready: Vec<u64> = self
            .claims
            .iter()
            .filter(|(_, claim)| claim.wait == Wait::Write)
            .map(|(ticket, _)| *ticket)
            .take(MOST_WRITES)
            .collect();
        if ready.is_empty() {
            self.flush_at = None;
            return;
        }
        // Further writes join a later batch, so that a slow table gets fewer commits.
        if self.batches.len() >= MOST_BATCHES {
            return;
        }
        let due = self.flush_at.is_some_and(|at| now >= at);
        if !due && ready.len() < MOST_WRITES {
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
            // Two writes of one row in a commit would contradict each other.
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
            claim.wait = Wait::Commit;
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
                    claim.in_doubt = false;
                    self.settle(ticket, out);
                }
                CommitResult::Unknown => {
                    claim.in_doubt = true;
                    claim.doubtful = true;
                    claim.wait = Wait::Until(now + RETRY_AFTER);
                }
                CommitResult::Conflict(rows) => {
                    let key = &claim.request.key;
                    if rows.iter().any(|row| &row.key == key) {
                        claim.in_doubt = true;
                        claim.wait = Wait::Read;
                        out.push(ClaimAction::Read(ticket, key.clone()));
                        continue;
                    }
                    claim.wait = Wait::Write;
                    self.want_flush(now);
                }
            }
        }
    }

    /// The last write of the claim took effect.
    fn settle(&mut self, ticket: u64, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get_mut(&ticket) else {
            return;
        };
        match claim.goal {
            Goal::Own => {
                claim.goal = Goal::Owned;
                claim.wait = Wait::Nothing;
                out.push(ClaimAction::Verdict(ticket, ClaimVerdict::Granted));
            }
            Goal::Owned => claim.wait = Wait::Nothing,
            Goal::Withdraw | Goal::Record(_) => {
                // The goal may have changed while the commit was under way,
                // so the row is read before the claim is forgotten.
                claim.wait = Wait::Read;
                claim.in_doubt = true;
                let key = claim.request.key.clone();
                out.push(ClaimAction::Read(ticket, key));
            }
        }
    }

    fn take_row(
        &mut self,
        now: Duration,
        ticket: u64,
        result: ReadResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get_mut(&ticket) else {
            return;
        };
        if claim.wait != Wait::Read {
            return;
        }
        match result {
            ReadResult::Failed => claim.wait = Wait::Until(now + RETRY_AFTER),
            ReadResult::Missing => {
                // The write in doubt may still take effect. Writing again with
                // the same condition settles which of the two does.
                claim.version = 0;
                claim.in_doubt = false;
                claim.held_since = None;
                claim.wait = Wait::Write;
                self.want_flush(now);
            }
            ReadResult::Found(version, row) if row.token == claim.request.token => {
                self.take_own_row(now, ticket, version, &row, out);
            }
            ReadResult::Found(version, row) => {
                self.take_foreign_row(now, ticket, version, row, out);
            }
        }
    }

    fn take_own_row(
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
        claim.in_doubt = false;
        if row.state == wanted_state(claim) {
            if claim.goal == Goal::Own {
                claim.goal = Goal::Owned;
                claim.wait = Wait::Nothing;
                out.push(ClaimAction::Verdict(ticket, ClaimVerdict::Granted));
                return;
            }
            self.claims.remove(&ticket);
            return;
        }
        claim.wait = Wait::Write;
        self.want_flush(now);
    }

    fn take_foreign_row(
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
        if claim.goal != Goal::Own && !(withdrawn && claim.doubtful) {
            // Another arrival owns the row, so no write of this one can take effect.
            self.claims.remove(&ticket);
            return;
        }
        if withdrawn {
            claim.version = version;
            claim.in_doubt = false;
            claim.held_since = None;
            claim.wait = Wait::Write;
            self.want_flush(now);
            return;
        }
        if row.fingerprint != claim.request.fingerprint {
            out.push(ClaimAction::Verdict(ticket, ClaimVerdict::KeyReused));
            self.claims.remove(&ticket);
            return;
        }
        if let ClaimState::Done(outcome) = row.state {
            out.push(ClaimAction::Verdict(
                ticket,
                ClaimVerdict::Recorded(outcome),
            ));
            self.claims.remove(&ticket);
            return;
        }
        let since = *claim.held_since.get_or_insert(now);
        if now.saturating_sub(since) >= HELD_WAIT {
            out.push(ClaimAction::Verdict(ticket, ClaimVerdict::Held));
            self.claims.remove(&ticket);
            return;
        }
        claim.wait = Wait::Until(now + RETRY_AFTER);
    }
}

fn wanted_state(claim: &OpenClaim) -> ClaimState {
    match &claim.goal {
        Goal::Own | Goal::Owned => ClaimState::Claimed,
        Goal::Withdraw => ClaimState::Withdrawn,
        Goal::Record(outcome) => ClaimState::Done(outcome.clone()),
    }
}

fn row_value(claim: &OpenClaim) -> Value {
    let row = ClaimRow {
        token: claim.request.token,
        fingerprint: claim.request.fingerprint,
        state: wanted_state(claim),
    };
    // A row of plain fields always has a JSON form.
    serde_json::to_value(row).unwrap_or(Value::Null)
}
