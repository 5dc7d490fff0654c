use {
    std::collections::BTreeMap,
    toucanring::wire::{CommitConflict, CommitRequest, CommitResponse, RowCondition, TableRow},
};

/// Rows with conditional transactions and one growing version counter.
#[derive(Debug, Default)]
pub struct TableStore {
    version: u64,
    rows: BTreeMap<String, TableRow>,
    // State of each row before its last write; `None` when it did not exist.
    previous: BTreeMap<String, Option<TableRow>>,
}

impl TableStore {
    /// Applies all writes if all conditions hold.
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
            let former = if write.value.is_null() {
                self.rows.remove(&key)
            } else {
                let row = TableRow {
                    key: key.clone(),
                    version,
                    value: write.value,
                };
                self.rows.insert(key.clone(), row)
            };
            self.previous.insert(key, former);
        }
        Ok(CommitResponse { version })
    }

    /// Reads one row; `stale` answers its state before the last write.
    #[must_use]
    pub fn read(&self, key: &str, stale: bool) -> Option<TableRow> {
        match self.previous.get(key) {
            Some(former) if stale => former.clone(),
            _ => self.rows.get(key).cloned(),
        }
    }

    /// Reads all rows whose key starts with `prefix`, in key order.
    #[must_use]
    pub fn scan(&self, prefix: &str, stale: bool) -> Vec<TableRow> {
        // `previous` names every key ever written, deleted ones included.
        self.previous
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.read(key, stale))
            .collect()
    }
}
