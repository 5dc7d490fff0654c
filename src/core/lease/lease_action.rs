use crate::wire::{CommitRequest, RowCondition};

value_type! {
    /// What became of an offered change.
    pub enum ChangeOutcome {
        /// All its rows have this version.
        Committed(u64),
        /// Nothing was written; these rows have other versions.
        Rejected(Vec<RowCondition>),
        /// The lease was lost; whether the change took effect is for the next holder to read.
        Abandoned,
    }

    /// Output of the lease keeper. Each `Read` and `Commit` is answered by exactly one event.
    pub enum LeaseAction {
        /// Read the lease row.
        Read,
        /// Commit to the table.
        Commit(CommitRequest),
        /// The lease was taken under this term.
        Taken(u64),
        /// The lease was lost to another holder.
        Lost,
        /// The change with this ticket is settled.
        Settled {
            /// Ticket of the change.
            ticket: u64,
            /// Its outcome.
            outcome: ChangeOutcome,
        },
    }
}
