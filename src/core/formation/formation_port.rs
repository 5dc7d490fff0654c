use {
    super::{CapacityReport, OrderBody},
    std::net::SocketAddr,
};

value_type! {
    /// Output of the formation keeper.
    pub enum FormationAction {
        /// Give an order; its outcome comes back with the number.
        Order {
            /// Number of the order.
            number: u64,
            /// Server that it is for.
            server: String,
            /// Address of the server.
            address: SocketAddr,
            /// What to do.
            body: OrderBody,
        },
        /// Ask a server for its state.
        Probe {
            /// The server.
            server: String,
            /// Its address.
            address: SocketAddr,
        },
        /// An engine has seen a higher term: read the lease again.
        Outranked,
        /// What the keeper decides by, for the log.
        Capacity(CapacityReport),
        /// A group changed its phase, for the log.
        Phase {
            /// Group name.
            group: String,
            /// Epoch of the group.
            epoch: u64,
            /// Model that it serves.
            model: String,
            /// New phase.
            phase: &'static str,
            /// Why.
            reason: &'static str,
            /// Server that caused it; empty when none did.
            server: String,
        },
    }
}
