//! Operator text and settings of processes: their types, the checks on them, and the faults found.

mod access_settings;
mod config_fault;
mod node_settings;
mod operator_rules;
mod operator_text;
mod process_settings;
mod reference_rules;
mod settings_rules;
mod text_decoder;
mod text_diff;
mod text_reader;
mod text_sample;
mod value_rules;

pub use {
    access_settings::{AccessSettings, FileKind, check_file, parse_access, read_access},
    config_fault::{ConfigFault, FaultList, Result},
    node_settings::{NodeBounds, NodeSettings, parse_node_settings, read_node_settings},
    operator_text::{
        BackendServer, CallPattern, ClientAccount, FailureDomain, ModelService, OperatorText,
        PlainService, PlannerWeights, RequestKind, ServiceObjective,
    },
    process_settings::ProcessSettings,
    text_diff::{TextDifference, compare_texts},
    text_reader::{
        MAX_TEXT_BYTES, parse_operator_text, parse_settings, read_operator_text, read_settings,
    },
};
