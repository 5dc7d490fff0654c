value_type! {
    /// Orders that a controller may send at this moment.
    #[derive(Copy, Eq)]
    pub enum LeaseRights {
        /// No orders; withdrawing published group entries needs no rights.
        None,
        /// The lease is valid: orders to every backend server of the failure domain.
        Full {
            /// Term of the lease, the fencing number of the orders.
            term: u64,
        },
        /// The lease has expired, but the store of the platform is unreachable: orders only to
        /// backend servers that check fencing numbers.
        Fenced {
            /// Term of the lease, the fencing number of the orders.
            term: u64,
        },
    }
}

impl LeaseRights {
    /// Term under which orders may be sent; none without rights.
    #[must_use]
    pub fn term(self) -> Option<u64> {
        match self {
            Self::None => None,
            Self::Full { term } | Self::Fenced { term } => Some(term),
        }
    }
}
