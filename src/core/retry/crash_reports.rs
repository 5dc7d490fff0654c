//! What a crash tracker reports to the other nodes and merges from them.

use {
    super::{
        ClearedSubject, CrashNews, CrashReport, CrashSubject, CrashTracker, EvidenceChanges,
        ReportedCrash, SoundReport, SubjectCrash,
        crash_tracker::{EVIDENCE_LIFETIME, SoundProof},
    },
    std::time::Duration,
};

/// Most crashes of a subject in a report.
const MAX_REPORTED: usize = 8;

impl CrashTracker {
    /// Merges what a peer reports. Own proofs that contradict its crashes are reported in turn.
    pub fn merge(&mut self, now: Duration, news: &CrashNews) -> EvidenceChanges {
        let mut cleared = Vec::new();
        for sound in &news.sound {
            cleared.extend(self.merge_proof(now, *sound));
        }
        for report in &news.crashes {
            self.merge_crashes(now, report);
        }
        self.review_after(now, cleared)
    }

    /// The reports that are due for all peers; empty when none is.
    pub fn take_news(&mut self, now: Duration) -> CrashNews {
        let mut news = CrashNews::default();
        for (subject, is_proof) in self.outbox.take_due(now) {
            if is_proof {
                news.sound.extend(self.sound_report(now, subject));
            } else {
                news.crashes.extend(self.crash_report(now, subject));
            }
        }
        news
    }

    /// The blocks in force that a peer may have missed, at most as many as fit a datagram; each
    /// call continues after the subjects of the last one.
    pub fn sample_blocks(&mut self, now: Duration) -> CrashNews {
        let subjects: Vec<CrashSubject> = self.blocks.keys().copied().collect();
        let mut news = CrashNews::default();
        for subject in self.outbox.choose_in_turn(&subjects) {
            news.crashes.extend(self.crash_report(now, subject));
        }
        news
    }

    fn merge_proof(&mut self, now: Duration, sound: SoundReport) -> Option<ClearedSubject> {
        let at = time_of(now, sound.age_ms);
        let known = self.proofs.get(sound.subject);
        if known.is_some_and(|known| known.at >= at) {
            return None;
        }
        let proof = SoundProof { at, is_own: false };
        self.proofs.insert(sound.subject, proof);
        self.outbox.withdraw_proof(sound.subject);
        self.clear(sound.subject, at)
    }

    fn merge_crashes(&mut self, now: Duration, report: &CrashReport) {
        let subject = report.subject;
        let mut refuted = false;
        for crash in &report.crashes {
            let at = time_of(now, crash.age_ms);
            if self.is_proven_after(subject, at) {
                refuted = true;
                continue;
            }
            if now >= at + EVIDENCE_LIFETIME {
                continue;
            }
            let crash = SubjectCrash {
                server: crash.server,
                request: crash.request,
                at,
            };
            self.add_crash(subject, crash, report.depth);
        }
        if let Some(evidence) = self.evidence.get_mut(subject) {
            evidence.raise_blocks(report.blocks);
        }
        let is_own = self.proofs.get(subject).is_some_and(|proof| proof.is_own);
        if refuted && is_own {
            // Blocks are contradicted at once, since they refuse requests.
            self.outbox.add_proof(now, subject, report.blocks > 0);
        }
    }

    fn crash_report(&self, now: Duration, subject: CrashSubject) -> Option<CrashReport> {
        let evidence = self.evidence.get(subject)?;
        let all = evidence.crashes();
        // The earliest ones decide the block, the latest one times it.
        let earliest = all.iter().take(MAX_REPORTED - 1);
        let latest = all.iter().skip(MAX_REPORTED - 1).last();
        let crashes = earliest.chain(latest).map(|crash| ReportedCrash {
            server: crash.server,
            request: crash.request,
            age_ms: age_ms(now, crash.at),
        });
        Some(CrashReport {
            subject,
            depth: evidence.depth(),
            blocks: evidence.blocks(),
            crashes: crashes.collect(),
        })
    }

    fn sound_report(&self, now: Duration, subject: CrashSubject) -> Option<SoundReport> {
        let proof = self.proofs.get(subject)?;
        Some(SoundReport {
            subject,
            age_ms: age_ms(now, proof.at),
        })
    }
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}

fn time_of(now: Duration, age_ms: u32) -> Duration {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}
