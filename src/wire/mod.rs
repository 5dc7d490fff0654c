//! Messages exchanged with backend servers, the platform, callers and peers.

mod backend;
mod peer;
mod peer_body;
mod platform;
mod problem;

pub use {
    backend::{
        FencingNumber, GroupId, GroupMembership, InstanceReport, InstanceState, LoadReport,
        LoadedShard, MemberOrder, OrderBody, OrderRefusal, ShardJoin,
    },
    peer::{
        CompactHeartbeat, ControllerHeartbeat, DomainDigest, GroupCrash, GroupEntry, GroupState,
        MemberEntry, PeerHeartbeat, PeerMessage, ProcessRole, SuspectEntry, UsageEntry, ViewDigest,
        ViewVersion,
    },
    peer_body::{
        AgedControllerHeartbeat, AgedHeartbeat, DropCount, PeerReply, PeerRequest, ProcessStatus,
        ReplyEnvelope, RequestEnvelope, VersionedText,
    },
    platform::{
        CommitConflict, CommitRequest, CommitResponse, InstanceList, InstanceRow, LifecycleState,
        ObjectKeys, RowCondition, RowList, RowWrite, TableRow, WeightRead,
    },
    problem::{Execution, ProblemBody},
};
