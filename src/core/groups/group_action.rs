use {
    crate::wire::{CommitRequest, ControllerHeartbeat, GroupEntry, MemberOrder},
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// Output of the group manager, carried out by the controller process.
    pub enum GroupAction {
        /// Ask a backend server for its report; answered by
        /// [`GroupEvent::Reported`](super::GroupEvent).
        Poll {
            /// Name of the instance, as in the operator text.
            instance: String,
            /// Address of its backend server.
            address: SocketAddr,
        },
        /// Send an order to a backend server.
        Order {
            /// Name of the instance; returned with the answer.
            instance: String,
            /// Address of its backend server.
            address: SocketAddr,
            /// Join, leave or fence, with its fencing number and the time it stays valid.
            order: MemberOrder,
            /// Monotonic time after which the sender drops the order instead of sending it.
            expires: Duration,
        },
        /// Read the lease row of the failure domain.
        ReadLease,
        /// Commit the lease row to the table, with membership rows when some have changed.
        Commit(CommitRequest),
        /// Read all rows under `member/` and under `group/<failure domain>/`.
        ScanRows,
        /// Send changed group entries to the peers.
        Publish(Vec<GroupEntry>),
        /// Send the heartbeat of the lease holder to the peers.
        Heartbeat(ControllerHeartbeat),
    }
}
