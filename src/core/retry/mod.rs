//! Retry budget, matching of answer chunks to attempts, and requests suspected of crashing engines.

mod answer_tracker;
mod crash_evidence;
mod crash_history;
mod crash_news;
mod crash_tracker;
mod crash_verdict;
mod news_outbox;
mod recent_map;
mod request_digest;
mod retry_budget;
mod suspect_list;

pub use {
    answer_tracker::{AnswerTracker, ChunkHeader, ChunkVerdict},
    crash_evidence::{CrashEvidence, SubjectCrash},
    crash_news::{CrashNews, CrashReport, CrashSubject, ReportedCrash, SoundReport},
    crash_tracker::CrashTracker,
    crash_verdict::{
        BlockEnd, BlockedSubject, ClearedSubject, CrashVerdict, EvidenceChanges, SubjectList,
    },
    recent_map::RecentMap,
    request_digest::digest_parts,
    retry_budget::RetryBudget,
    suspect_list::{SuspectList, SuspectVerdict},
};
use {crash_history::CrashHistory, news_outbox::NewsOutbox};
