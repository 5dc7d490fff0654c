use {serde_json::Value, std::net::SocketAddr};

wire_type! {
    /// A row of the table service.
    pub struct TableRow {
        /// Key of the row.
        pub key: String,
        /// Version given by the last write; versions only grow over the whole table.
        pub version: u64,
        /// JSON value.
        pub value: Value,
    }

    /// Answer of `GET /v1/rows?prefix=P`.
    pub struct RowList {
        /// Rows in key order.
        pub rows: Vec<TableRow>,
    }

    /// Condition of a commit.
    #[derive(Eq)]
    pub struct RowCondition {
        /// Key of the row.
        pub key: String,
        /// Version that the row must have; 0 means that it must not exist.
        pub version: u64,
    }

    /// One write of a commit.
    pub struct RowWrite {
        /// Key of the row.
        pub key: String,
        /// New value; null deletes the row.
        pub value: Value,
    }

    /// Body of `POST /v1/commit`.
    pub struct CommitRequest {
        /// All must hold.
        pub conditions: Vec<RowCondition>,
        /// Applied together or not at all.
        pub writes: Vec<RowWrite>,
    }

    /// Answer 200 of `POST /v1/commit`.
    #[derive(Eq)]
    pub struct CommitAnswer {
        /// Version of every row that the commit wrote.
        pub version: u64,
    }

    /// Answer 409 of `POST /v1/commit`.
    #[derive(Eq)]
    pub struct CommitConflict {
        /// Rows whose condition failed, with the version that they have.
        pub conflicts: Vec<RowCondition>,
    }

    /// Answer of `GET /v1/objects?prefix=P`.
    #[derive(Eq)]
    pub struct ObjectKeys {
        /// Keys in order.
        pub keys: Vec<String>,
    }

    /// State of an instance in the platform's list.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ReadinessState {
        /// The instance runs.
        Live,
        /// The instance will be taken away.
        Leaving,
    }

    /// An instance in the platform's list.
    pub struct InstanceRow {
        /// Name of the instance.
        pub name: String,
        /// Address of its backend server.
        pub address: SocketAddr,
        /// Failure domain.
        pub failure_domain: String,
        /// Fabric domain.
        pub fabric_domain: String,
        /// Number of accelerators.
        pub accelerators: u32,
        /// State, with a lag.
        pub state: ReadinessState,
    }

    /// Answer of `GET /v1/instances`.
    pub struct InstanceList {
        /// Live and leaving instances.
        pub instances: Vec<InstanceRow>,
    }

    /// Body of `POST /v1/weights/read`.
    #[derive(Eq)]
    pub struct WeightRead {
        /// Bytes to read at the store's rate.
        pub bytes: u64,
    }
}
