//! Decision logic without I/O: plain structs that take typed events and return typed actions.

pub mod admission;
pub mod apply;
pub mod burn;
pub mod claims;
pub mod cold;
pub mod dispatch;
pub mod drain;
pub mod fairness;
pub mod fleet;
pub mod formation;
pub mod groups;
pub mod intake;
pub mod keys;
pub mod lease;
pub mod pace;
pub mod peers;
pub mod placement;
pub mod retry;
pub mod routes;
pub mod routing;
pub mod stop;
pub mod store;
pub mod transfer;
pub mod view;
