//! Applying an operator text: compare-and-set with a settled outcome.

mod apply_port;
mod config_apply;
mod config_pointer;

pub use {
    apply_port::{ApplyAction, ApplyEvent, ApplyOutcome},
    config_apply::{ApplyRequest, ConfigApply},
    config_pointer::{
        CONFIG_ROW, ConfigPointer, HISTORY_PREFIX, HISTORY_VERSIONS, history_key, text_key,
    },
};
