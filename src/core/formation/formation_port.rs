use {
    super::{CapacityReport, OrderBody},
    crate::core::{fleet::EngineReport, store::StoreVersion},
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// Output of the formation manager, for the control actor to carry out.
    pub enum FormationAction {
        /// Send an order to a server; the outcome is reported under the same number.
        Order {
            /// Number of the order, unique within the manager.
            number: u64,
            /// Identifier of the server.
            server: String,
            /// Address to send the order to.
            address: SocketAddr,
            /// Fencing number of the order.
            fence: u64,
            /// Instruction for the engine.
            body: OrderBody,
        },
        /// Ask a server for its report; the result goes to `FormationManager::reported`.
        Probe {
            /// Identifier of the server.
            server: String,
            /// Address to send the probe to.
            address: SocketAddr,
        },
        /// An engine has refused an order since it has seen a higher term or epoch; the lease
        /// must be read again.
        Outranked,
        /// A server is ordered to leave a group to which it is not assigned: it states that group, or
        /// has started again since it was a member; for the log.
        Dismissed {
            /// Identifier of the server.
            server: String,
            /// Name of the group.
            group: String,
            /// Epoch of the group.
            epoch: u64,
            /// Version of the last row that is known of the server.
            row_version: StoreVersion,
            /// Time since the server said that it is not in this group; none when it has not.
            left_for: Option<Duration>,
        },
        /// A load onto a host has ended, for the log.
        LoadEnded {
            /// Identifier of the server.
            server: String,
            /// Model whose weights were ordered.
            model: String,
            /// False when the host has not reported the weights in time.
            is_finished: bool,
            /// Time since the order.
            took: Duration,
        },
        /// Periodic capacity report, for the log.
        Capacity(CapacityReport),
        /// A group has entered a phase, for the log.
        Phase {
            /// Group name, `<failure domain>-<epoch>`.
            group: String,
            /// Epoch of the group.
            epoch: u64,
            /// Model that it serves.
            model: String,
            /// Label of the new phase, such as `open`.
            phase: &'static str,
            /// Cause of the change in a few words, such as `unreachable`.
            reason: &'static str,
            /// Identifier of the server that caused the change; empty when none did.
            server: String,
        },
    }

    /// Result of a state query.
    pub enum ProbeOutcome {
        /// State of the engine.
        Report(Box<EngineReport>),
        /// No connection: no process listens at the address, or the machine does not respond.
        Unreachable,
        /// The server accepted a connection, but sent no readable report in time. It may pause and
        /// go on.
        Silent,
    }
}
