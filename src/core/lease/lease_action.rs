use crate::wire::{CommitRequest, RowCondition};

value_type! {
    /// Result of an offered [`super::TableChange`].
    pub enum ChangeOutcome {
        /// The change took effect; all rows that it wrote have this version.
        Committed(u64),
        /// Nothing was written, since these rows have other versions than the change expects.
        Rejected(Vec<RowCondition>),
        /// The lease was lost; the next holder finds out by reading whether the change took effect.
        Abandoned,
    }

    /// Output of the lease manager. Each `Read` and `Commit` is answered by exactly one event.
    pub enum LeaseAction {
        /// Read the lease row from the store.
        Read,
        /// Commit the lease row and the writes of a pending change to the store.
        Commit(CommitRequest),
        /// This process has acquired the lease under this term.
        Taken(u64),
        /// The lease was lost to another holder.
        Lost,
        /// The offered change with this ticket has a result.
        Settled {
            /// Ticket of the change, as set in `TableChange::ticket`.
            ticket: u64,
            /// Whether the change took effect.
            outcome: ChangeOutcome,
        },
    }
}
