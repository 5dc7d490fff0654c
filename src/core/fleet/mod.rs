//! The backend servers known to a process: their entries in the store with the version of each, and
//! the version up to which the list is complete.

mod backend_entry;
mod change_log;
mod engine_report;
mod entry_bounds;
mod fleet_notices;
mod fleet_view;
mod group_index;
mod held_rows;
mod removed_entries;
mod server_notices;

use {
    change_log::ChangeLog, group_index::GroupIndex, held_rows::HeldRows,
    removed_entries::RemovedEntries,
};

pub use {
    backend_entry::{BackendEntry, EngineMembership, MemberState},
    change_log::EntryChange,
    engine_report::EngineReport,
    entry_bounds::{MAX_EPOCH, MAX_NAME_BYTES, MAX_RANK, MAX_STAGED_MODELS},
    fleet_notices::LeavingOutcome,
    fleet_view::{FleetChange, FleetView, KnownEntry},
    group_index::GroupIdentity,
    held_rows::HeldRow,
    server_notices::{LeavingNotice, MAX_SERVER_PAUSE, PauseNotice, ServerNotices},
};
