//! Measurements; each prints lines of the form `name value unit`.

mod configuration;
mod figure;
mod groups;
mod groups_cost;
mod path;
mod process_usage;
mod sample;
mod spread_load;
mod spread_run;
mod withdraw;

pub use {
    configuration::configuration,
    figure::Figure,
    groups::{GroupRun, groups, naive, run_history},
    path::path,
    process_usage::{cpu_seconds, resident_mb},
    sample::percentile,
    spread_load::{sample_beat, sample_group, sample_text, sample_usage, sample_version},
    spread_run::{LinkRule, SpreadRun, SpreadSettings, address_of},
    withdraw::withdraw,
};
