use std::net::SocketAddr;

wire_type! {
    /// Identifier of a replica group, unique over all terms: `<failure domain>-<term>-<number>`.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct GroupId(pub String);

    /// Number that orders the commands of successive lease holders.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord, Default)]
    pub struct FencingNumber {
        /// Term of the lease.
        pub term: u64,
        /// Order within the term.
        pub sequence: u64,
    }

    /// Position of an instance in a replica group.
    #[derive(Eq)]
    pub struct MemberRef {
        /// The group.
        pub group: GroupId,
        /// Epoch of the group; it grows with each change of members.
        pub epoch: u64,
        /// Rank of the instance in the group; rank 0 leads.
        pub rank: u32,
    }

    /// A model shard in the accelerators of an instance.
    #[derive(Eq)]
    pub struct LoadedShard {
        /// Model name.
        pub model: String,
        /// Rank that the shard serves.
        pub rank: u32,
        /// Number of shards of the model.
        pub span: u32,
    }

    /// What an instance is doing.
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

    /// Load of an engine, published with a lag.
    #[derive(Default)]
    pub struct LoadReport {
        /// Requests in the running batch.
        pub running: u32,
        /// Requests that wait for a place in the batch.
        pub waiting: u32,
        /// Largest batch.
        pub max_running: u32,
        /// Prompt tokens still to be prefilled.
        pub queued_tokens: u64,
        /// Prefill rate in tokens per second.
        pub prefill_tokens_per_s: f64,
        /// Time of one decode step in milliseconds.
        pub step_ms: f64,
    }

    /// Answer of `GET /control/report`.
    pub struct InstanceReport {
        /// Name of the instance.
        pub instance: String,
        /// Changes with each start of the backend server.
        pub incarnation: u64,
        /// What the instance is doing.
        pub state: InstanceState,
        /// The group that the instance believes to be in.
        pub membership: Option<MemberRef>,
        /// The shard in its accelerators, kept when it leaves a group.
        pub shard: Option<LoadedShard>,
        /// Bytes still to be loaded.
        pub bytes_left: u64,
        /// True when the backend server is about to leave and wants no new work.
        pub leaving: bool,
        /// Highest fencing number accepted.
        pub fencing: FencingNumber,
        /// Engine crashes since the start.
        pub crashes: u32,
        /// Engine load; meaningful on rank 0.
        pub load: LoadReport,
    }

    /// Arguments of an order that joins a group.
    pub struct ShardJoin {
        /// Place in the group.
        pub membership: MemberRef,
        /// Model name.
        pub model: String,
        /// Number of ranks.
        pub span: u32,
        /// Bytes of the shard, read from the weight store unless already loaded.
        pub shard_bytes: u64,
        /// Addresses of all members, by rank.
        pub members: Vec<SocketAddr>,
    }

    /// What an order asks for.
    #[serde(rename_all = "snake_case")]
    pub enum OrderBody {
        /// Join a group and load the shard.
        Join(ShardJoin),
        /// Leave the named group; keep the shard.
        Leave(GroupId),
        /// Accept only higher fencing numbers from now on; change nothing else.
        Fence,
    }

    /// Body of `POST /control/orders`.
    pub struct MemberOrder {
        /// Number of the order.
        pub fencing: FencingNumber,
        /// The backend server drops the order when it starts on it later than this, in milliseconds.
        pub time_left_ms: u64,
        /// What to do.
        pub order: OrderBody,
    }

    /// Why an order was refused.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderRefusal {
        /// A higher fencing number has been accepted (409).
        StaleFencing,
        /// The deadline of the order has passed (410).
        DeadlinePassed,
    }
}
