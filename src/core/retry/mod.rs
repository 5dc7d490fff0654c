//! Retry budget, matching of answer chunks to attempts, order of the events of a stream, proof
//! that a request did not run, and requests suspected of crashing engines.

mod answer_tracker;
mod crash_evidence;
mod crash_history;
mod crash_news;
mod crash_reports;
mod crash_tracker;
mod crash_verdict;
mod event_order;
mod news_outbox;
mod recent_map;
mod request_digest;
mod response_proof;
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
    event_order::{CheckedEvents, EventOrder, event_id},
    recent_map::RecentMap,
    request_digest::digest_parts,
    response_proof::{ConnectionHistory, NamedRequest, ResponseFacts, ResponseProof},
    retry_budget::RetryBudget,
    suspect_list::{SuspectList, SuspectVerdict},
};
use {crash_history::CrashHistory, news_outbox::NewsOutbox};
