value_type! {
    /// What a controller may order at this moment.
    #[derive(Copy, Eq)]
    pub enum LeaseRights {
        /// Nothing; withdrawal needs no right.
        None,
        /// Orders to every backend server of the failure domain.
        Full {
            /// Term of the lease.
            term: u64,
        },
        /// The lease ran out while the platform is out: orders only to backend
        /// servers that check fencing numbers.
        Fenced {
            /// Term of the lease.
            term: u64,
        },
    }
}

impl LeaseRights {
    /// Term under which orders may be given.
    #[must_use]
    pub fn term(self) -> Option<u64> {
        match self {
            Self::None => None,
            Self::Full { term } | Self::Fenced { term } => Some(term),
        }
    }
}
