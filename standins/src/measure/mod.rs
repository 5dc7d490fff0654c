//! Measurements of the project. Each returns figures, which the `measure` program prints as lines
//! of the form `name value unit`.

mod capacity;
mod capacity_fixture;
mod capacity_gateway;
mod capacity_groups;
mod capacity_memory;
mod capacity_mesh;
mod capacity_peers;
mod capacity_poll;
mod capacity_processes;
mod capacity_slope;
mod capacity_store;
mod capacity_sums;
mod capacity_timing;
mod configuration;
mod figure;
mod fleet;
mod groups;
mod groups_cost;
mod path;
mod peers;
mod percentile;
mod process_usage;
mod requests;
mod requests_chaos;
mod requests_faults;
mod requests_load;
mod requests_pick;
mod requests_policy;
mod spread_load;
mod spread_run;
mod stop;
mod withdraw;

pub use {
    capacity::capacity,
    capacity_slope::CapacitySlope,
    configuration::configuration,
    figure::Figure,
    fleet::fleet,
    groups::{GroupRun, groups, naive, run_history},
    path::path,
    peers::peers,
    percentile::percentile,
    process_usage::{cpu_seconds, resident_mb, wait_seconds},
    requests::requests,
    requests_policy::{naive_dispatch_ports, real_dispatch_ports, weight_per_s},
    spread_load::{
        sample_controller_heartbeat, sample_group, sample_text, sample_usage, sample_version,
    },
    spread_run::{LinkRule, SpreadRun, SpreadSettings, address_of},
    stop::run_until_stopped,
    withdraw::withdraw,
};
