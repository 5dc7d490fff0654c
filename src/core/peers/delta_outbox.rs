use {
    super::{DeltaPart, FleetRow, delta_parts},
    crate::core::store::StoreVersion,
};

value_type! {
    /// What a node knows of itself when changed rows are due.
    #[derive(Copy)]
    pub struct SenderState {
        /// True when the node is one of those that read the list from the store.
        pub is_reader: bool,
        /// True while reads of the store fail.
        pub is_store_failing: bool,
        /// Version up to which its own list is complete.
        pub version: StoreVersion,
    }

    /// One delta to send, or a row that none can hold.
    pub struct NumberedPart {
        /// Number of the delta.
        pub sequence: u64,
        /// Version up to which all changed rows are sent with this delta; number 0 when it does not
        /// show that.
        pub complete_to: StoreVersion,
        /// Its rows.
        pub part: DeltaPart,
    }
}

/// Changed rows of the list of backend servers that the other nodes of the failure domain have not
/// been sent.
#[derive(Debug, Default)]
pub struct DeltaOutbox {
    rows: Vec<FleetRow>,
    sequence: u64,
}

impl DeltaOutbox {
    /// Adds a changed row.
    pub fn add(&mut self, row: FleetRow) {
        self.rows.push(row);
    }

    /// Takes what is to be sent now. A reader that has lost the store still sends the rows that it
    /// knows, without a sign that they are all; without rows the delta tells receivers that it does
    /// not follow the store.
    ///
    /// ```
    /// use toucanring::core::{peers::{DeltaOutbox, SenderState}, store::StoreVersion};
    ///
    /// let mut outbox = DeltaOutbox::default();
    /// let version = StoreVersion::new(1, 7);
    /// let state = SenderState { is_reader: true, is_store_failing: false, version };
    /// let parts = outbox.take_parts(state);
    /// assert_eq!((parts[0].sequence, parts[0].complete_to), (1, version));
    /// let parts = outbox.take_parts(SenderState { is_store_failing: true, ..state });
    /// assert_eq!((parts[0].sequence, parts[0].complete_to.number), (2, 0));
    /// ```
    pub fn take_parts(&mut self, state: SenderState) -> Vec<NumberedPart> {
        let rows = std::mem::take(&mut self.rows);
        if !state.is_reader {
            // Receivers must not count as complete if this node becomes a reader.
            self.sequence += u64::from(!rows.is_empty());
            return Vec::new();
        }
        let complete_to = if state.is_store_failing {
            StoreVersion::default()
        } else {
            state.version
        };
        let mut numbered = Vec::new();
        let mut parts = delta_parts(rows).into_iter().peekable();
        while let Some(part) = parts.next() {
            self.sequence += 1;
            numbered.push(NumberedPart {
                sequence: self.sequence,
                complete_to: match parts.peek() {
                    Some(_) => StoreVersion::default(),
                    None => complete_to,
                },
                part,
            });
        }
        numbered
    }
}
