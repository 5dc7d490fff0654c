use {serde_json::Value, std::net::SocketAddr};

wire_type! {
    /// Row of the platform's table service.
    pub struct TableRow {
        /// Key, unique in the table.
        pub key: String,
        /// Version given by the last write; each commit to the table gets a higher one.
        pub version: u64,
        /// Content; the table service doesn't interpret it.
        pub value: Value,
    }

    /// Response to `GET /v1/rows?prefix=P`.
    pub struct RowList {
        /// Rows whose keys start with the prefix, in key order.
        pub rows: Vec<TableRow>,
    }

    /// Condition of a commit.
    #[derive(Eq)]
    pub struct RowCondition {
        /// Key of the row that is checked.
        pub key: String,
        /// Version that the row must have; 0 means that it must not exist.
        pub version: u64,
    }

    /// One write of a commit.
    pub struct RowWrite {
        /// Key of the row that is written.
        pub key: String,
        /// New value; null deletes the row.
        pub value: Value,
    }

    /// Body of `POST /v1/commit`.
    pub struct CommitRequest {
        /// Conditions, all of which must hold.
        pub conditions: Vec<RowCondition>,
        /// Writes, applied all together or not at all.
        pub writes: Vec<RowWrite>,
    }

    /// Response 200 to `POST /v1/commit`.
    #[derive(Eq)]
    pub struct CommitResponse {
        /// Version that all rows written by the commit now have.
        pub version: u64,
    }

    /// Response 409 to `POST /v1/commit`.
    #[derive(Eq)]
    pub struct CommitConflict {
        /// Rows whose condition failed, with the version that they really have.
        pub conflicts: Vec<RowCondition>,
    }

    /// Response to `GET /v1/objects?prefix=P`.
    #[derive(Eq)]
    pub struct ObjectKeys {
        /// Keys that start with the prefix, in order.
        pub keys: Vec<String>,
    }

    /// State of an instance in the platform's list.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum LifecycleState {
        /// The instance runs.
        Live,
        /// The instance will be taken away.
        Leaving,
    }

    /// Instance in the platform's list.
    pub struct InstanceRow {
        /// Name of the instance.
        pub name: String,
        /// Address of its backend server.
        pub address: SocketAddr,
        /// Failure domain in which the instance runs.
        pub failure_domain: String,
        /// Fabric domain that the instance is connected to.
        pub fabric_domain: String,
        /// Number of accelerators; 0 if it runs a plain service.
        pub accelerators: u32,
        /// State of the instance; the list may lag behind.
        pub state: LifecycleState,
    }

    /// Response to `GET /v1/instances`.
    pub struct InstanceList {
        /// All instances, live or leaving.
        pub instances: Vec<InstanceRow>,
    }

    /// Body of `POST /v1/weights/read`, and of the response once the read has ended.
    #[derive(Eq)]
    pub struct WeightRead {
        /// Number of bytes to read; the read takes as long as the rate of the weight store makes
        /// it.
        pub bytes: u64,
    }
}
