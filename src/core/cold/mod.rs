//! Limits the requests to cold servers. A backend server is cold for some seconds after its start and
//! crashes when it gets requests at its full rate. All nodes of its failure domain compute from the
//! list of living nodes which of them may send to it and how often, without messages for each
//! request.

mod cold_gate;
mod cold_limiter;
mod cold_rule;
mod cold_server;
mod node_roster;
mod permit_plan;

pub use {
    cold_gate::ColdGate,
    cold_limiter::{ColdLimiter, ColdPermit, PermitCounts},
    cold_rule::{ColdBound, ColdRule, MAX_COLD},
    cold_server::{ColdNotice, ColdSource, EntryFacts},
    node_roster::{NodeRoster, NodeSighting, SendRight, ServerRank},
    permit_plan::PermitPlan,
};
