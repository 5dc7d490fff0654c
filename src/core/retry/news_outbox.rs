use {
    super::CrashSubject,
    std::{collections::BTreeMap, time::Duration},
};

/// Times between the sends of a report, which is repeated since datagrams may be lost.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(700)];

/// Longest delay of a proof that answers the report of a peer. Often several nodes have one; the
/// first to send it spares the others the sending.
const MAX_PROOF_DELAY: Duration = Duration::from_millis(100);

/// Most crash reports in a datagram; one takes up to 134 bytes.
const MAX_REPORTS: usize = 6;

/// Most proofs in a datagram; one takes up to 16 bytes.
const MAX_PROOFS: usize = 16;

/// Most reports that wait; above it the one that is due latest is dropped.
const MAX_WAITING: usize = 512;

/// A report that is to be sent to all peers.
#[derive(Debug, Clone, Copy)]
struct WaitingReport {
    due: Duration,
    changed: Duration,
    sent: usize,
}

/// Subjects about which a node has something to tell its peers, and when. The reports themselves
/// are made when they are sent.
#[derive(Debug, Clone)]
pub(super) struct NewsOutbox {
    /// Reports by subject; the second part of the key is true for a proof.
    waiting: BTreeMap<(CrashSubject, bool), WaitingReport>,
    /// Subject after which the next sample of blocks begins.
    sampled: Option<CrashSubject>,
    seed: u64,
}

impl NewsOutbox {
    pub(super) const fn new(seed: u64) -> Self {
        Self {
            waiting: BTreeMap::new(),
            sampled: None,
            seed,
        }
    }

    /// Adds the crashes of a subject, due at once.
    pub(super) fn add_crashes(&mut self, now: Duration, subject: CrashSubject) {
        self.add(now, now, (subject, false));
    }

    /// Adds a proof, due at once or after a delay that differs between nodes.
    pub(super) fn add_proof(&mut self, now: Duration, subject: CrashSubject, at_once: bool) {
        self.waiting.remove(&(subject, false));
        if at_once {
            self.add(now, now, (subject, true));
        } else if !self.waiting.contains_key(&(subject, true)) {
            self.add(now, now + self.proof_delay(subject), (subject, true));
        }
    }

    /// Withdraws a proof, since a peer has reported one that is as good.
    pub(super) fn withdraw_proof(&mut self, subject: CrashSubject) {
        self.waiting.remove(&(subject, true));
    }

    /// Time at which the next report is due; none when nothing waits.
    pub(super) fn next_due(&self) -> Option<Duration> {
        self.waiting.values().map(|report| report.due).min()
    }

    /// Takes the reports that are due, those that changed last first; true marks a proof.
    pub(super) fn take_due(&mut self, now: Duration) -> Vec<(CrashSubject, bool)> {
        let mut due = Vec::new();
        for (key, report) in &self.waiting {
            if report.due <= now {
                due.push((report.changed, *key));
            }
        }
        // Of the subjects of one crash, the prompt parts go first: they concern more requests.
        due.sort_by_key(|(changed, key)| (std::cmp::Reverse(*changed), *key));
        let mut taken = Vec::new();
        let (mut reports, mut proofs) = (0, 0);
        for (_, key) in due {
            let (count, limit) = if key.1 {
                (&mut proofs, MAX_PROOFS)
            } else {
                (&mut reports, MAX_REPORTS)
            };
            if *count >= limit {
                continue;
            }
            *count += 1;
            self.mark_sent(now, key);
            taken.push(key);
        }
        taken
    }

    /// Chooses as many of `subjects`, which are sorted, as fit a datagram, in turn.
    pub(super) fn choose_in_turn(&mut self, subjects: &[CrashSubject]) -> Vec<CrashSubject> {
        let first = subjects.partition_point(|subject| Some(*subject) <= self.sampled);
        let in_turn = subjects.iter().cycle().skip(first);
        let chosen: Vec<CrashSubject> = in_turn
            .take(subjects.len().min(MAX_REPORTS))
            .copied()
            .collect();
        self.sampled = chosen.last().copied();
        chosen
    }

    fn add(&mut self, now: Duration, due: Duration, key: (CrashSubject, bool)) {
        let report = WaitingReport {
            due,
            changed: now,
            sent: 0,
        };
        self.waiting.insert(key, report);
        if self.waiting.len() <= MAX_WAITING {
            return;
        }
        let latest = self.waiting.iter().max_by_key(|(_, report)| report.due);
        if let Some(key) = latest.map(|(key, _)| *key) {
            self.waiting.remove(&key);
        }
    }

    fn mark_sent(&mut self, now: Duration, key: (CrashSubject, bool)) {
        let Some(report) = self.waiting.get_mut(&key) else {
            return;
        };
        let Some(delay) = REPEAT_DELAYS.get(report.sent) else {
            self.waiting.remove(&key);
            return;
        };
        report.due = now + *delay;
        report.sent += 1;
    }

    fn proof_delay(&self, subject: CrashSubject) -> Duration {
        let (CrashSubject::PromptPart(id) | CrashSubject::Request(id)) = subject;
        // Multiplication by a large odd number spreads neighbouring seeds over the whole range.
        let spread = (self.seed ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        let share = u32::try_from(spread % 1_000).unwrap_or(0);
        MAX_PROOF_DELAY * share / 1_000
    }
}
