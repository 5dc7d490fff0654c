//! Even shares of scarce capacity for client accounts, over all nodes of a site.
//!
//! While a model is short of capacity, each node limits the work of each account to a fair level,
//! which it computes from its own counts and those that other nodes report. Load pattern: a large
//! account, or one whose clients retry at once, causes an overload that would otherwise reject
//! the requests of all accounts alike.

mod account_shares;
mod admission_plan;
mod model_shortage;
mod peer_counts;
mod share_keys;
mod share_report;
mod work_counters;

pub use {
    account_shares::AccountShares,
    admission_plan::{AdmissionPlan, ClassTotals},
    model_shortage::{ModelShortage, ShortageChange, ShortageFigures, ShortageState},
    peer_counts::{CountSource, PeerCounts},
    share_keys::{AccountTag, ModelTag, ShareClass},
    share_report::{AccountCount, MAX_REPORT_ACCOUNTS, ReportScope, ShareReport, report_turn},
    work_counters::{WorkCounters, WorkSums},
};
