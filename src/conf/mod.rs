//! Operator text and process settings: types, checks and error paths.

mod conf_fault;
mod operator_text;
mod process_settings;
mod text_reader;

pub use {
    conf_fault::{ConfFault, FaultList, Result},
    operator_text::{
        BackendServer, ClientAccount, FailureDomain, ModelService, OperatorText, PlainCall,
        PlainService, PlannerWeights, RequestKind, ServiceObjective,
    },
    process_settings::ProcessSettings,
    text_reader::{
        MAX_TEXT_BYTES, parse_operator_text, parse_settings, read_operator_text, read_settings,
    },
};
