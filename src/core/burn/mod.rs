//! Service-level accounting: request outcomes, group downtime and stranded accelerator time per
//! wall-clock minute.

mod finished_request;
mod group_gauge;
mod ledger_event;
mod ledger_settings;
mod minute_ledger;
mod minute_record;
mod open_minute;
mod sealed_minute;

pub use {
    finished_request::{FinishedRequest, RequestOutcome},
    group_gauge::GroupGauge,
    ledger_event::{LedgerAction, LedgerEvent},
    ledger_settings::LedgerSettings,
    minute_ledger::{MAX_PENDING_BYTES, MAX_PENDING_MINUTES, MinuteLedger},
    minute_record::{LostCount, MinuteRecord, RequestCount, ServiceDowntime},
    open_minute::{MAX_COUNT_ROWS, OTHER_NAME},
};
