//! Report on service-level burn: the use of the error budget. Reads the stored minute records, sums
//! them over windows, and renders a table, JSON or an HTML page.

mod burn_plot;
mod burn_series;
mod burn_summary;
mod burn_tally;
mod burn_window;
mod errors;
mod minute_source;
mod minute_stamp;
mod run_burn;
mod share_sum;
mod summary_page;
mod summary_table;

pub use {
    burn_series::BurnSeries,
    burn_summary::{
        BurnSummary, DowntimeEntry, GapEntry, RefusalEntry, ShareEntry, UnreadableEntry,
        WindowSummary,
    },
    burn_tally::BurnTally,
    burn_window::{BurnWindow, WINDOWS},
    errors::{ReportError, Result},
    minute_source::MinuteSource,
    minute_stamp::MinuteStamp,
    run_burn::run,
    summary_page::render_page,
    summary_table::{SummaryTable, TableRow, TableSection},
};
