//! Messages exchanged with backend servers, the platform, callers and peers.

mod backend;
mod peer;
mod peer_body;
mod platform;
mod problem;

pub use {
    backend::{
        FencingNumber, GroupId, InstanceReport, InstanceState, LoadReport, LoadedShard,
        MemberOrder, MemberRef, OrderBody, OrderRefusal, ShardJoin,
    },
    peer::{
        AliveMark, ControllerBeat, DomainDigest, GroupCrash, GroupEntry, GroupState, MemberEntry,
        PeerHeartbeat, PeerMessage, ProcessRole, SuspectEntry, UsageEntry, ViewDigest, ViewVersion,
    },
    peer_body::{
        AgedBeat, AgedHeartbeat, DropCount, PeerAnswer, PeerCall, PeerReply, PeerRequest,
        ProcessStatus, VersionedText,
    },
    platform::{
        CommitAnswer, CommitConflict, CommitRequest, InstanceList, InstanceRow, ObjectKeys,
        ReadinessState, RowCondition, RowList, RowWrite, TableRow, WeightRead,
    },
    problem::{Execution, ProblemBody},
};
