//! Stand-in for backend servers. Each server plays an instance of a model engine, which serves as a
//! member of a replica group, and may run plain services.

mod answer_text;
mod backend_fault;
mod backend_fleet;
mod backend_server;
mod backend_settings;
mod chat_job;
mod chat_request;
mod fleet_http;
mod gated_stream;
mod group_snapshot;
mod run_ledger;
mod server_state;
mod task_gate;
mod weight_loader;

pub use {
    answer_text::{answer_digest, answer_text, answer_token},
    backend_fault::{BackendFault, FaultCommand},
    backend_fleet::BackendFleet,
    backend_server::BackendServer,
    backend_settings::{BackendSettings, EngineSettings, ServerSettings},
    chat_request::ChatRequest,
    gated_stream::GatedStream,
    run_ledger::{RefusalRecord, RunLedger, RunList, RunRecord},
    server_state::ServerState,
    task_gate::TaskGate,
};
