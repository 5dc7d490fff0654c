use std::net::SocketAddr;

wire_type! {
    /// Identifier of a replica group, unique over all terms: `<failure domain>-<term>-<number>`.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct GroupId(pub String);

    /// Orders the commands of successive lease holders: a higher number makes a backend server
    /// refuse lower ones.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord, Default)]
    pub struct FencingNumber {
        /// Term of the lease under which the command was sent; each new holder has a higher one.
        pub term: u64,
        /// Position among the commands of the term.
        pub sequence: u64,
    }

    /// Membership of an instance in a replica group.
    #[derive(Eq)]
    pub struct GroupMembership {
        /// Group that the instance belongs to.
        pub group: GroupId,
        /// Epoch of the group; it grows with each change of members.
        pub epoch: u64,
        /// Rank of the instance in the group; requests are sent to rank 0.
        pub rank: u32,
    }

    /// Model shard in the accelerators of an instance.
    #[derive(Eq)]
    pub struct LoadedShard {
        /// Name of the weights in the weight store.
        pub model: String,
        /// Rank that the shard is for.
        pub rank: u32,
        /// Number of shards that the model is split into.
        pub span: u32,
    }

    /// State of an instance with regard to its group.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum InstanceState {
        /// In no group.
        Free,
        /// In a group; its shard is still loading.
        Loading,
        /// In a group with its shard loaded.
        Ready,
    }

    /// Load of an inference engine; the values may be older than the report that contains them.
    #[derive(Default)]
    pub struct LoadReport {
        /// Requests in the running batch.
        pub running: u32,
        /// Requests that wait for a batch slot.
        pub waiting: u32,
        /// Maximum number of requests in the batch.
        pub max_running: u32,
        /// Prompt tokens that have not been prefilled yet.
        pub queued_tokens: u64,
        /// Prefill rate in tokens per second.
        pub prefill_tokens_per_s: f64,
        /// Duration of one decode step in milliseconds.
        pub step_ms: f64,
    }

    /// Response to `GET /control/report`.
    pub struct InstanceReport {
        /// Name of the instance.
        pub instance: String,
        /// Number that changes with each start of the backend server.
        pub incarnation: u64,
        /// State reported by the backend server.
        pub state: InstanceState,
        /// Group that the instance last joined; `None` if it is in no group.
        pub membership: Option<GroupMembership>,
        /// Shard in the accelerators, complete when `bytes_left` is 0. The instance keeps it when
        /// it leaves a group.
        pub shard: Option<LoadedShard>,
        /// Bytes of the shard that are still to be read from the weight store.
        pub bytes_left: u64,
        /// True when the backend server is about to be taken away and should get no new work.
        pub leaving: bool,
        /// Highest fencing number accepted so far.
        pub fencing: FencingNumber,
        /// Engine crashes since the start of the backend server.
        pub crashes: u32,
        /// Load of the engine; meaningful on rank 0 only.
        pub load: LoadReport,
    }

    /// Arguments of an order to join a group.
    pub struct ShardJoin {
        /// Group, epoch and rank that the instance gets.
        pub membership: GroupMembership,
        /// Name of the weights in the weight store.
        pub model: String,
        /// Number of members of the group.
        pub span: u32,
        /// Size of the shard in bytes; it is read from the weight store unless it is loaded
        /// already.
        pub shard_bytes: u64,
        /// Addresses of all members, by rank.
        pub members: Vec<SocketAddr>,
    }

    /// Command in an order.
    #[serde(rename_all = "snake_case")]
    pub enum OrderBody {
        /// Join a group and load the shard of the given rank.
        Join(ShardJoin),
        /// Leave the named group and keep the shard.
        Leave(GroupId),
        /// Refuse lower fencing numbers than the one of this order from now on; change nothing
        /// else.
        Fence,
    }

    /// Body of `POST /control/orders`.
    pub struct MemberOrder {
        /// Fencing number of the order.
        pub fencing: FencingNumber,
        /// Time in milliseconds from the arrival of the order. The backend server refuses the order
        /// if it can't start on it within this time.
        pub time_left_ms: u64,
        /// Command to carry out.
        pub order: OrderBody,
    }

    /// Why an order was refused.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderRefusal {
        /// A higher fencing number has been accepted (409).
        StaleFencing,
        /// The order was not started within its `time_left_ms` (410).
        DeadlinePassed,
    }
}
