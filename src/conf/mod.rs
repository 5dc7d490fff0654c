//! Operator text and process settings: types, checks and error paths.

mod operator_text;
mod process_settings;

pub use {
    operator_text::{
        BackendServer, ClientAccount, FailureDomain, ModelService, OperatorText, PlainCall,
        PlainService, PlannerWeights, RequestKind, ServiceObjective,
    },
    process_settings::ProcessSettings,
};
