//! Measurements; each prints lines of the form `name value unit`.

mod figure;
mod path;
mod process_usage;
mod sample;
mod stop;
mod withdraw;

pub use {
    figure::Figure,
    path::path,
    process_usage::{cpu_seconds, resident_mb},
    sample::percentile,
    stop::run_until_stopped,
    withdraw::withdraw,
};
