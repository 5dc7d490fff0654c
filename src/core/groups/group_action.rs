use {
    crate::wire::{CommitRequest, ControllerBeat, GroupEntry, MemberOrder},
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// Output of the group keeper.
    pub enum GroupAction {
        /// Ask a backend server for its report.
        Poll {
            /// Name of the instance.
            instance: String,
            /// Address of its backend server.
            address: SocketAddr,
        },
        /// Send an order.
        Order {
            /// Name of the instance.
            instance: String,
            /// Address of its backend server.
            address: SocketAddr,
            /// The order.
            order: MemberOrder,
            /// The order is dropped by the sender after this time.
            expires: Duration,
        },
        /// Read the lease row.
        ReadLease,
        /// Commit to the table.
        Commit(CommitRequest),
        /// Read all membership rows.
        ScanRows,
        /// Tell the peers about changed groups.
        Publish(Vec<GroupEntry>),
        /// Tell the peers that the lease holder is alive.
        Beat(ControllerBeat),
    }
}
