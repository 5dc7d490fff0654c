//! What a process knows of configuration, peers and replica groups.

mod cluster_view;

pub use cluster_view::{
    AccountUsage, ClusterView, Configuration, ControllerSighting, PeerSighting,
};
