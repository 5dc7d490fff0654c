//! Joins the crash tracker to requests and attempts: what it learns from them, and which ones it
//! stops.

use {
    super::{
        NodeContext, NodeMetrics, ProblemReply, RoutedCall, attempt_slot::millis, node_clock::now,
        node_context::lock, node_log::REQUEST_TAG,
    },
    crate::core::{
        placement::GroupTag,
        retry::{
            BlockEnd, BlockedSubject, CrashNews, CrashSubject, CrashTracker, CrashVerdict,
            EvidenceChanges, SubjectList,
        },
    },
    slog::{info, warn},
    std::{sync::MutexGuard, time::Duration},
};

/// Causes of a broken attempt that may be a crash of the server. Others, such as the answer of
/// another request, show that it runs.
const CRASH_CAUSES: [&str; 4] = [
    "connection_broken",
    "stream_cut_off",
    "event_cut_off",
    "answer_cut_off",
];

/// Name of the check before each attempt, in logs and metrics.
pub(super) const ATTEMPT_STAGE: &str = "stopped_at_attempt";

/// One attempt, from its slot to its first event.
#[derive(Debug)]
pub(super) struct CrashWatch {
    request_id: String,
    subjects: SubjectList,
    server: String,
    /// Start time of the server in Unix milliseconds; 0 when unknown.
    born_ms: u64,
    started: Duration,
    /// True until the first event has arrived.
    waiting: bool,
}

impl CrashWatch {
    pub(super) fn new(context: &NodeContext, call: &RoutedCall, server: &str) -> Self {
        let born_ms = context.fleet().get(server).map_or(0, |entry| entry.born_ms);
        Self {
            request_id: call.caller.request_id.clone(),
            subjects: call.crash_subjects.clone(),
            server: server.to_owned(),
            born_ms,
            started: now(),
            waiting: true,
        }
    }

    /// Records that an event of the answer, or the whole answer, has arrived.
    pub(super) fn record_sound(&mut self, context: &NodeContext) {
        if !self.waiting {
            return;
        }
        self.waiting = false;
        let changes = context.crash_tracker().record_sound(now(), &self.subjects);
        context.apply_crash_changes(&changes, &self.request_id);
    }

    /// Records that the attempt broke off. After the first event a crash of the server says nothing
    /// about the request, as another one has begun to run since.
    pub(super) fn record_break(&mut self, context: &NodeContext, cause: &'static str) {
        if !self.waiting || !CRASH_CAUSES.contains(&cause) {
            return;
        }
        self.waiting = false;
        NodeMetrics::count(&context.metrics.crash_evidence, cause);
        let server = low_bits(GroupTag::of(&self.server, self.born_ms).0);
        let request = self.subjects.iter().find_map(|subject| match subject {
            CrashSubject::Request(digest) => Some(low_bits(*digest)),
            CrashSubject::PromptPart(_) => None,
        });
        let request = request.unwrap_or(0);
        let mut tracker = context.crash_tracker();
        let changes = tracker.record_crash(now(), server, request, &self.subjects);
        let known = crash_counts(&tracker, &self.subjects);
        drop(tracker);
        info!(context.logger, #REQUEST_TAG,
            "the connection to a server broke before its first event to a request";
            "request" => &self.request_id, "server" => &self.server,
            "server_started_ms" => self.born_ms, "cause" => cause,
            "subjects" => subject_list(&self.subjects), "known_crashes" => known,
            "waited_ms" => millis(now().saturating_sub(self.started)));
        context.apply_crash_changes(&changes, &self.request_id);
        context.crash_news_due.notify_one();
    }
}

impl NodeContext {
    /// Locks the tracker of requests and prompt parts that crash servers.
    pub fn crash_tracker(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.crash_tracker)
    }

    /// True when the request or a part of its prompt is known to crash servers.
    #[must_use]
    pub fn is_blocked(&self, call: &RoutedCall) -> bool {
        let verdict = self.crash_tracker().verdict(now(), &call.crash_subjects);
        matches!(verdict, CrashVerdict::Blocked(_))
    }

    /// Checks that a request may be sent to a server; `stage` says in the log how far it has come.
    ///
    /// # Errors
    /// The error response for the caller, when the request or a part of its prompt is known to
    /// crash servers.
    pub fn check_blocked(
        &self,
        call: &RoutedCall,
        stage: &'static str,
    ) -> Result<(), ProblemReply> {
        let at = now();
        let verdict = self.crash_tracker().verdict(at, &call.crash_subjects);
        let CrashVerdict::Blocked(blocked) = verdict else {
            self.log_suspected_send(call, stage);
            return Ok(());
        };
        NodeMetrics::count(&self.metrics.crash_evidence, stage);
        info!(self.logger, #REQUEST_TAG, "stopped a request that would crash a server";
            "request" => &call.caller.request_id, "stage" => stage,
            "subject" => subject_text(blocked.subject), "crashes" => blocked.crashes,
            "blocks" => blocked.blocks,
            "blocked_ms" => millis(blocked.until.saturating_sub(at)));
        let cause = match blocked.subject {
            CrashSubject::PromptPart(_) => "part_crashes_servers",
            CrashSubject::Request(_) => "request_crashes_servers",
        };
        Err(ProblemReply::not_run(
            cause,
            blocked.until.saturating_sub(at),
        ))
    }

    /// Logs that a request under which servers have crashed is sent once more, with what this node
    /// knows of them. Its parts are left out: many sound requests share them.
    fn log_suspected_send(&self, call: &RoutedCall, stage: &'static str) {
        if stage != ATTEMPT_STAGE {
            return;
        }
        for subject in &call.crash_subjects {
            let CrashSubject::Request(_) = subject else {
                continue;
            };
            let known = self.crash_tracker().known_crashes(*subject);
            let Some((crashes, latest)) = known else {
                continue;
            };
            info!(self.logger, #REQUEST_TAG, "sends a request under which servers have crashed";
                "request" => &call.caller.request_id, "subject" => subject_text(*subject),
                "known_crashes" => crashes,
                "latest_crash_age_ms" => millis(now().saturating_sub(latest)));
        }
    }

    /// Merges what a peer has told about crashes; `peer` names it in the log.
    pub fn merge_crash_news(&self, news: &CrashNews, peer: &str) {
        let changes = self.crash_tracker().merge(now(), news);
        self.apply_crash_changes(&changes, peer);
        // Own proofs may contradict the news.
        self.crash_news_due.notify_one();
    }

    /// Logs changes of the verdicts and lets waiting requests check theirs. `source` is the
    /// request or the peer that caused the changes.
    pub(super) fn apply_crash_changes(&self, changes: &EvidenceChanges, source: &str) {
        for blocked in &changes.blocked {
            self.log_block(blocked, source);
        }
        for (subject, end) in &changes.ended {
            NodeMetrics::count(&self.metrics.crash_evidence, "unblocked");
            warn!(self.logger, "ended the block of what crashed servers";
                "subject" => subject_text(*subject), "reason" => end_text(*end),
                "source" => source);
        }
        for cleared in &changes.cleared {
            NodeMetrics::count(&self.metrics.crash_evidence, "cleared");
            info!(self.logger, "a first event ended the suspicion of crashing servers";
                "subject" => subject_text(cleared.subject), "crashes" => cleared.crashes,
                "source" => source);
        }
        if !changes.blocked.is_empty() {
            self.blocks_changed.notify_waiters();
        }
        if !changes.cleared.is_empty() {
            self.crash_news_due.notify_one();
        }
    }

    fn log_block(&self, blocked: &BlockedSubject, source: &str) {
        NodeMetrics::count(&self.metrics.crash_evidence, "blocked");
        warn!(self.logger, "blocked what crashes servers";
            "subject" => subject_text(blocked.subject), "crashes" => blocked.crashes,
            "blocks" => blocked.blocks,
            "blocked_ms" => millis(blocked.until.saturating_sub(now())), "source" => source);
    }
}

/// A subject in a log line; identifiers are hexadecimal, as callers write those of prompt parts.
fn subject_text(subject: CrashSubject) -> String {
    match subject {
        CrashSubject::PromptPart(part) => format!("part {part:x}"),
        CrashSubject::Request(digest) => format!("request {digest:x}"),
    }
}

fn subject_list(subjects: &SubjectList) -> String {
    let texts: Vec<String> = subjects.iter().copied().map(subject_text).collect();
    texts.join(", ")
}

/// Number of crashes known of each subject, in the order of the subjects.
fn crash_counts(tracker: &CrashTracker, subjects: &SubjectList) -> String {
    let mut texts: Vec<String> = Vec::new();
    for subject in subjects {
        let known = tracker.known_crashes(*subject);
        let crashes = known.map_or(0, |(crashes, _)| crashes);
        texts.push(crashes.to_string());
    }
    texts.join(", ")
}

const fn end_text(end: BlockEnd) -> &'static str {
    match end {
        BlockEnd::Expired => "its time is over",
        BlockEnd::ProvenSound => "a first event arrived",
        BlockEnd::OtherSubject => "another subject accounts for the crashes",
    }
}

fn low_bits(value: u64) -> u32 {
    // The truncation is wanted: 32 bits of a hash tell servers and requests apart well enough.
    #[allow(clippy::cast_possible_truncation)]
    let bits = value as u32;
    bits
}
