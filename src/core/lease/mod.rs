//! Lease of a failure domain, held by one controller at a time: timing, terms and
//! the commits that renew it.

mod lease_action;
mod lease_event;
mod lease_manager;
mod lease_rights;
mod lease_row;
mod lease_timing;
mod term_watch;

pub use {
    lease_action::{ChangeOutcome, LeaseAction},
    lease_event::{LeaseEvent, TableChange},
    lease_manager::LeaseManager,
    lease_rights::LeaseRights,
    lease_row::{LeaseRow, MAX_TERM, first_term_after, first_term_of},
    lease_timing::LeaseTiming,
    term_watch::TermWatch,
};
