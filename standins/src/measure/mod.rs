//! Measurements; each prints lines of the form `name value unit`.

mod figure;
mod groups;
mod groups_cost;
mod path;
mod process_usage;
mod sample;
mod withdraw;

pub use {
    figure::Figure,
    groups::{GroupRun, groups, naive, run_history},
    path::path,
    process_usage::{cpu_seconds, resident_mb},
    sample::percentile,
    withdraw::withdraw,
};
