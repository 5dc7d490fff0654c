//! Measurements; each prints lines of the form `name value unit`.

mod figure;
mod groups;
mod groups_cost;

pub use {
    figure::Figure,
    groups::{GroupRun, groups, naive, run_history},
};
