//! Measurements; each prints lines of the form `name value unit`.

mod configuration;
mod figure;
mod spread_load;
mod spread_run;

pub use {
    configuration::measure_configuration,
    figure::Figure,
    spread_load::{sample_beat, sample_group, sample_text, sample_usage, sample_version},
    spread_run::{LinkRule, SpreadRun, SpreadSettings, address_of},
};
