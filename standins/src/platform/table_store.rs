use {
    std::collections::BTreeMap,
    toucanring::wire::{CommitConflict, CommitRequest, CommitResponse, RowCondition, TableRow},
};

/// Rows with conditional transactions. A commit increments the version of the table, which
/// becomes the version of the rows that it writes.
#[derive(Debug, Default)]
pub struct TableStore {
    version: u64,
    rows: BTreeMap<String, TableRow>,
    // State of every row before its last write; `None` when the row did not exist.
    previous: BTreeMap<String, Option<TableRow>>,
}

impl TableStore {
    /// Applies all writes if all conditions hold. A condition on version 0 requires that the row
    /// does not exist, and a null value deletes a row.
    ///
    /// # Errors
    /// Returns the rows whose condition failed; nothing has changed then.
    pub fn commit(&mut self, request: CommitRequest) -> Result<CommitResponse, CommitConflict> {
        let conflicts: Vec<RowCondition> = request
            .conditions
            .into_iter()
            .filter_map(|condition| {
                let version = self.rows.get(&condition.key).map_or(0, |row| row.version);
                (version != condition.version).then_some(RowCondition {
                    key: condition.key,
                    version,
                })
            })
            .collect();
        if !conflicts.is_empty() {
            return Err(CommitConflict { conflicts });
        }
        self.version += 1;
        let version = self.version;
        for write in request.writes {
            let key = write.key;
            let previous_row = if write.value.is_null() {
                self.rows.remove(&key)
            } else {
                let row = TableRow {
                    key: key.clone(),
                    version,
                    value: write.value,
                };
                self.rows.insert(key.clone(), row)
            };
            self.previous.insert(key, previous_row);
        }
        Ok(CommitResponse { version })
    }

    /// Reads one row; `stale` returns its state before its last write.
    #[must_use]
    pub fn read(&self, key: &str, stale: bool) -> Option<TableRow> {
        match self.previous.get(key) {
            Some(previous_row) if stale => previous_row.clone(),
            _ => self.rows.get(key).cloned(),
        }
    }

    /// Reads all rows whose key starts with `prefix`, in key order; `stale` as in `read`.
    #[must_use]
    pub fn scan(&self, prefix: &str, stale: bool) -> Vec<TableRow> {
        // `previous` holds every key that was ever written, including deleted ones.
        self.previous
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.read(key, stale))
            .collect()
    }
}
