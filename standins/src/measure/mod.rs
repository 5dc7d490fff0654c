//! Measurements; each prints lines of the form `name value unit`.

mod figure;
mod path;
mod process_usage;
mod requests;
mod requests_chaos;
mod requests_faults;
mod requests_load;
mod requests_pick;
mod requests_policy;
mod sample;
mod withdraw;

pub use {
    figure::Figure,
    path::path,
    process_usage::{cpu_seconds, resident_mb},
    requests::requests,
    sample::percentile,
    withdraw::withdraw,
};
