use crate::wire::{RowCondition, RowWrite, TableRow};

value_type! {
    /// Membership writes that are committed together with a renewal of the lease.
    pub struct TableChange {
        /// Number that the outcome is reported under.
        pub ticket: u64,
        /// Versions that the rows must have.
        pub conditions: Vec<RowCondition>,
        /// Rows to write.
        pub writes: Vec<RowWrite>,
    }

    /// Input of the lease keeper.
    pub enum LeaseEvent {
        /// Time passed.
        Tick,
        /// Membership writes to commit; ignored while another change is pending.
        Offered(TableChange),
        /// Answer of a read of the lease row.
        Read(Option<TableRow>),
        /// The commit took effect with this version.
        Committed(u64),
        /// The commit had no effect; these rows have other versions.
        Conflict(Vec<RowCondition>),
        /// A call failed; whether a commit took effect is not known.
        CallFailed,
        /// A backend server has accepted a higher term.
        Outranked,
    }
}
