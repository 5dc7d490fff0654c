//! Stand-in for the platform: table service, object store, instance list and weight store.

mod instance_history;
mod platform_faults;
mod platform_server;
mod platform_settings;
mod table_store;

pub use {
    instance_history::InstanceHistory,
    platform_faults::{FaultChange, PlatformFaults},
    platform_server::PlatformServer,
    platform_settings::PlatformSettings,
    table_store::TableStore,
};
