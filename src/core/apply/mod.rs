//! Applying an operator text by compare-and-set, with an outcome that is right also after lost
//! answers.

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
