use {
    super::{
        BlockEnd, BlockedSubject, ClearedSubject, CrashEvidence, CrashHistory, CrashSubject,
        CrashVerdict, EvidenceChanges, NewsOutbox, RecentMap, SubjectCrash,
        crash_history::MIN_BURST,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time before a first event in which a crash does not count against the subjects of that request:
/// it was one of many at the same moment, or came while the answer was on its way. A longer time
/// would delay the verdict on a part that has just begun to crash servers.
const SOUND_MARGIN: Duration = Duration::from_secs(2);

/// Age from which on a crash counts. Nodes that have proven a subject sound contradict the report
/// of the crash within this time.
const REVIEW_TIME: Duration = Duration::from_millis(200);

/// Time for which the proof of a prompt part is remembered. Of two parts with the same crashes, the
/// one without a proof is at fault.
const PART_PROOF_LIFETIME: Duration = Duration::from_mins(2);

/// Time for which the proof of a request is remembered; reports of earlier crashes arrive within
/// it.
const REQUEST_PROOF_LIFETIME: Duration = Duration::from_secs(10);

/// Most proofs remembered.
const MAX_PROOFS: usize = 8_192;

/// Time after the latest crash for which evidence is kept; longer than the longest block, so that
/// one further crash blocks the subject again.
pub(super) const EVIDENCE_LIFETIME: Duration = Duration::from_mins(15);

/// Most subjects with evidence; the one that changed longest ago is removed first.
const MAX_SUBJECTS: usize = 4_096;

/// Latest time at which a subject was proven sound.
#[derive(Debug, Clone, Copy)]
pub(super) struct SoundProof {
    pub(super) at: Duration,
    /// False when a peer reported it.
    pub(super) is_own: bool,
}

/// Finds the requests and the parts of prompts that crash the servers which begin to answer them.
///
/// When the connection to a server breaks, it speaks against the requests that wait there for
/// their first event, and against all parts of their prompts that other requests share. A first
/// event proves a request and its parts sound. What separates the subject at fault from those
/// beside it is several crashes of different servers, no first event at any node, and no other
/// subject that accounts for the same crashes. The nodes exchange crashes and proofs; merging both
/// gives the same verdict everywhere, in whatever order they arrive.
///
/// Times are those of the node's own clock.
#[derive(Debug, Clone)]
pub struct CrashTracker {
    pub(super) evidence: RecentMap<CrashSubject, CrashEvidence>,
    pub(super) proofs: RecentMap<CrashSubject, SoundProof>,
    history: CrashHistory,
    /// Blocks in force at the last review.
    pub(super) blocks: BTreeMap<CrashSubject, BlockedSubject>,
    pub(super) outbox: NewsOutbox,
    next_review: Option<Duration>,
}

impl CrashTracker {
    /// Creates a tracker without evidence. `seed` differs between nodes; it spreads the times of
    /// their reports.
    ///
    /// ```
    /// use std::time::Duration;
    /// use toucanring::core::retry::{CrashSubject, CrashTracker, CrashVerdict};
    ///
    /// let mut tracker = CrashTracker::new(1);
    /// let part = CrashSubject::PromptPart(7);
    /// for second in 1..=3 {
    ///     let at = Duration::from_secs(second);
    ///     let number = u32::try_from(second).unwrap();
    ///     tracker.record_crash(at, number, number, &[part]);
    /// }
    /// let now = Duration::from_secs(4);
    /// tracker.review(now);
    /// assert!(matches!(tracker.verdict(now, &[part]), CrashVerdict::Blocked(_)));
    /// ```
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            evidence: RecentMap::new(MAX_SUBJECTS),
            proofs: RecentMap::new(MAX_PROOFS),
            history: CrashHistory::new(),
            blocks: BTreeMap::new(),
            outbox: NewsOutbox::new(seed),
            next_review: None,
        }
    }

    /// Decides whether a request with these subjects may be sent. Of several blocked subjects it
    /// names the one that is blocked longest.
    #[must_use]
    pub fn verdict(&self, now: Duration, subjects: &[CrashSubject]) -> CrashVerdict {
        let blocks = subjects
            .iter()
            .filter_map(|subject| self.blocks.get(subject));
        let blocks = blocks.filter(|blocked| now < blocked.until);
        if let Some(blocked) = blocks.max_by_key(|blocked| blocked.until) {
            return CrashVerdict::Blocked(*blocked);
        }
        for subject in subjects {
            if self.evidence.get(*subject).is_some() {
                return CrashVerdict::Suspected(*subject);
            }
        }
        CrashVerdict::Unsuspected
    }

    /// Records that the connection to a server broke while a request waited there for its first
    /// event. `server` identifies the server and its start, `request` the request. Blocks are
    /// decided at the next review, which is now for a part with many crashes.
    pub fn record_crash(
        &mut self,
        now: Duration,
        server: u32,
        request: u32,
        subjects: &[CrashSubject],
    ) -> EvidenceChanges {
        let crash = SubjectCrash {
            server,
            request,
            at: now,
        };
        for (position, subject) in subjects.iter().enumerate() {
            if self.is_proven_after(*subject, now) {
                continue;
            }
            // With the same crashes a part comes before the request: other requests may have it.
            let depth = match subject {
                CrashSubject::PromptPart(_) => u8::try_from(position + 1).unwrap_or(u8::MAX),
                CrashSubject::Request(_) => 0,
            };
            if self.add_crash(*subject, crash, depth) {
                self.outbox.add_crashes(now, *subject);
            }
        }
        if subjects.iter().any(|subject| self.is_burst_part(*subject)) {
            return self.review_after(now, Vec::new());
        }
        EvidenceChanges::default()
    }

    /// Records that a request with these subjects received its first event, or a complete answer.
    pub fn record_sound(&mut self, now: Duration, subjects: &[CrashSubject]) -> EvidenceChanges {
        let mut cleared = Vec::new();
        for subject in subjects {
            let proof = SoundProof {
                at: now,
                is_own: true,
            };
            self.proofs.insert(*subject, proof);
            if let Some(change) = self.clear(*subject, now) {
                self.outbox.add_proof(now, *subject, true);
                cleared.push(change);
            }
        }
        self.review_after(now, cleared)
    }

    /// Decides anew which subjects are blocked, if crashes are old enough to count or a block has
    /// ended; to be called at [`Self::next_due`].
    pub fn review(&mut self, now: Duration) -> EvidenceChanges {
        self.review_after(now, Vec::new())
    }

    /// Decides which subjects are blocked.
    ///
    /// Subjects with enough crashes are taken in the order in which they are likely at fault. Each
    /// accounts for its crashes, so that a later one needs enough others.
    fn choose_blocks(&mut self, now: Duration) -> EvidenceChanges {
        let until = now.saturating_sub(REVIEW_TIME);
        let mut explained = BTreeSet::new();
        let mut blocks = BTreeMap::new();
        for subject in self.candidates(until) {
            if !self.is_sufficient(subject, until, &explained) {
                continue;
            }
            let Some(evidence) = self.evidence.get_mut(subject) else {
                continue;
            };
            explained.extend(evidence.crashes().iter().map(|crash| crash.server));
            let until = evidence.extend_block();
            let blocked = BlockedSubject {
                subject,
                until,
                crashes: evidence.crashes().len(),
                blocks: evidence.blocks(),
            };
            if now < until {
                blocks.insert(subject, blocked);
            }
        }
        self.replace_blocks(now, blocks)
    }

    /// Time at which [`Self::review`] and [`Self::take_news`] are to be called next; none when
    /// nothing is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let news = self.outbox.next_due();
        news.into_iter().chain(self.next_review).min()
    }

    /// Removes evidence and proofs whose lifetime is over.
    pub fn expire(&mut self, now: Duration) {
        self.evidence.retain(|_, evidence| {
            let latest = evidence.latest();
            latest.is_some_and(|latest| now < latest + EVIDENCE_LIFETIME)
        });
        self.proofs.retain(|subject, proof| {
            let lifetime = match subject {
                CrashSubject::PromptPart(_) => PART_PROOF_LIFETIME,
                CrashSubject::Request(_) => REQUEST_PROOF_LIFETIME,
            };
            now < proof.at + lifetime
        });
    }

    /// Number of crashes that speak against a subject, and the time of the latest one; none without
    /// a crash.
    ///
    /// ```
    /// use std::time::Duration;
    /// use toucanring::core::retry::{CrashSubject, CrashTracker};
    ///
    /// let mut tracker = CrashTracker::new(1);
    /// let part = CrashSubject::PromptPart(7);
    /// tracker.record_crash(Duration::from_secs(1), 5, 6, &[part]);
    /// assert_eq!(tracker.known_crashes(part), Some((1, Duration::from_secs(1))));
    /// ```
    #[must_use]
    pub fn known_crashes(&self, subject: CrashSubject) -> Option<(usize, Duration)> {
        let evidence = self.evidence.get(subject)?;
        Some((evidence.crashes().len(), evidence.latest()?))
    }

    /// Number of subjects with evidence.
    #[must_use]
    pub fn len(&self) -> usize {
        self.evidence.len()
    }

    /// True when there is no evidence.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// The subjects with enough crashes, by how likely they are at fault: those without a proof
    /// first, then those with more crashes, then those later in the prompts.
    fn candidates(&self, until: Duration) -> Vec<CrashSubject> {
        let mut ranked = Vec::new();
        for (subject, evidence) in self.evidence.iter() {
            if !self.is_sufficient(subject, until, &BTreeSet::new()) {
                continue;
            }
            // Requests have different contents, so that an earlier proof of one says nothing about
            // another one; parts are shared by requests that are at fault and others.
            let is_part = matches!(subject, CrashSubject::PromptPart(_));
            let is_proven = is_part && self.proofs.get(subject).is_some();
            let crashes = evidence.crashes().len();
            let rank = (is_proven, Reverse(crashes), Reverse(evidence.depth()));
            ranked.push((rank, subject));
        }
        ranked.sort();
        ranked.into_iter().map(|(_, subject)| subject).collect()
    }

    /// True when the crashes at servers that are not in `explained` are enough for a block.
    fn is_sufficient(
        &self,
        subject: CrashSubject,
        until: Duration,
        explained: &BTreeSet<u32>,
    ) -> bool {
        let evidence = self.evidence.get(subject);
        evidence.is_some_and(|evidence| {
            let crashes = evidence.crashes();
            self.history
                .is_sufficient(subject, crashes, until, explained)
        })
    }

    fn replace_blocks(
        &mut self,
        now: Duration,
        blocks: BTreeMap<CrashSubject, BlockedSubject>,
    ) -> EvidenceChanges {
        let mut changes = EvidenceChanges::default();
        for (subject, blocked) in &blocks {
            let before = self.blocks.get(subject);
            if before.is_none_or(|before| now >= before.until) {
                changes.blocked.push(*blocked);
            }
        }
        for (subject, blocked) in &self.blocks {
            if blocks.contains_key(subject) && now < blocked.until {
                continue;
            }
            let end = if now >= blocked.until {
                BlockEnd::Expired
            } else if self.is_proven_after(*subject, now) {
                BlockEnd::ProvenSound
            } else {
                BlockEnd::OtherSubject
            };
            changes.ended.push((*subject, end));
        }
        self.blocks = blocks;
        let ends = self.blocks.values().map(|blocked| blocked.until).min();
        let counts_at = self.history.latest() + REVIEW_TIME;
        let pending = (counts_at > now).then_some(counts_at);
        self.next_review = ends.into_iter().chain(pending).min();
        changes
    }

    /// Reviews the blocks if crashes were cleared or are old enough to count.
    pub(super) fn review_after(
        &mut self,
        now: Duration,
        cleared: Vec<ClearedSubject>,
    ) -> EvidenceChanges {
        if cleared.is_empty() && self.next_review.is_none_or(|due| now < due) {
            return EvidenceChanges::default();
        }
        EvidenceChanges {
            cleared,
            ..self.choose_blocks(now)
        }
    }

    /// True when a proof clears the subject of a crash at `at`.
    pub(super) fn is_proven_after(&self, subject: CrashSubject, at: Duration) -> bool {
        let proof = self.proofs.get(subject);
        proof.is_some_and(|proof| at <= proof.at + SOUND_MARGIN)
    }

    /// Adds a crash to the evidence of a subject; returns whether it was not known.
    pub(super) fn add_crash(
        &mut self,
        subject: CrashSubject,
        crash: SubjectCrash,
        depth: u8,
    ) -> bool {
        let mut evidence = self.evidence.get(subject).cloned().unwrap_or_default();
        let is_new = evidence.add(crash);
        evidence.raise_depth(depth);
        if is_new {
            // A removed and inserted key is the last one to be trimmed.
            self.evidence.remove(subject);
            self.history.add(crash);
        }
        self.evidence.insert(subject, evidence);
        if is_new {
            let is_urgent = self.is_burst_part(subject);
            let counts_at = crash.at
                + if is_urgent {
                    Duration::ZERO
                } else {
                    REVIEW_TIME
                };
            let next = self.next_review.unwrap_or(counts_at);
            self.next_review = Some(next.min(counts_at));
        }
        is_new
    }

    /// True for a part of prompts with so many crashes that those of one more request decide.
    fn is_burst_part(&self, subject: CrashSubject) -> bool {
        let evidence = self.evidence.get(subject);
        matches!(subject, CrashSubject::PromptPart(_))
            && evidence.is_some_and(|evidence| evidence.crashes().len() > MIN_BURST)
    }

    /// Removes the crashes that a proof at `at` refutes; none when there were none.
    pub(super) fn clear(&mut self, subject: CrashSubject, at: Duration) -> Option<ClearedSubject> {
        let evidence = self.evidence.get_mut(subject)?;
        let before = evidence.crashes().len();
        evidence.forget(at + SOUND_MARGIN);
        let crashes = before - evidence.crashes().len();
        if evidence.crashes().is_empty() {
            self.evidence.remove(subject);
        }
        (crashes > 0).then_some(ClearedSubject { subject, crashes })
    }
}
