//! Messages exchanged with backend servers, the platform and peers.

mod backend;
mod peer;
mod platform;
mod problem;

pub use {
    backend::{
        FencingNumber, GroupId, InstanceReport, InstanceState, LoadReport, LoadedShard,
        MemberOrder, MemberRef, OrderBody, OrderRefusal, ShardJoin,
    },
    peer::{
        ControllerBeat, GroupCrash, GroupEntry, GroupState, MemberEntry, PeerHeartbeat,
        PeerMessage, ProcessRole, SuspectEntry, UsageEntry, ViewVersion,
    },
    platform::{
        CommitAnswer, CommitConflict, CommitRequest, InstanceList, InstanceRow, ObjectKeys,
        ReadinessState, RowCondition, RowList, RowWrite, TableRow, WeightRead,
    },
    problem::{Execution, ProblemBody},
};
