use crate::wire::{RowCondition, RowWrite, TableRow};

value_type! {
    /// Membership writes that are committed together with a renewal of the lease.
    pub struct TableChange {
        /// Number under which the outcome is reported; chosen by the caller.
        pub ticket: u64,
        /// Versions that rows must have for the commit to take effect.
        pub conditions: Vec<RowCondition>,
        /// Rows to write in the same commit as the lease row.
        pub writes: Vec<RowWrite>,
    }

    /// Input of the lease manager.
    pub enum LeaseEvent {
        /// Timer tick; starts a read or a renewal when one is due.
        Tick,
        /// Era of the store that gave the next answer; sent before the event of that answer. Stores
        /// without eras need none.
        EraSeen(u64),
        /// Membership writes to commit; ignored while another change is pending or the lease is
        /// not held.
        Offered(TableChange),
        /// Result of reading the lease row; none when the row does not exist.
        Read(Option<TableRow>),
        /// The commit took effect; the rows have this version.
        Committed(u64),
        /// The commit had no effect, since these rows have other versions than expected.
        Conflict(Vec<RowCondition>),
        /// A call failed; whether a commit took effect is not known.
        CallFailed,
        /// Another holder has a higher term, as a backend server or another node reports.
        Outranked,
    }
}
