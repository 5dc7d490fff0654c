use {
    serde_json::Value,
    std::{collections::BTreeMap, time::Duration},
    toucanring::wire::{CommitRequest, RowCondition, TableRow},
};

/// Table service in memory. The fault times are applied by [`FakeWorld`](super::FakeWorld).
#[derive(Debug, Default)]
pub struct FakeTable {
    /// Version and value of each row, by key.
    rows: BTreeMap<String, (u64, Value)>,
    last_version: u64,
    /// Virtual time before which every call fails.
    pub outage_until: Duration,
    /// Virtual time before which commits take effect but their answers are lost.
    pub lost_answers_until: Duration,
    /// Virtual time before which commits take effect late: 3 s after the call, when the caller has
    /// given up for 2 s.
    pub late_commits_until: Duration,
}

impl FakeTable {
    /// Reads a row; `None` when there is none with this key.
    #[must_use]
    pub fn read(&self, key: &str) -> Option<TableRow> {
        let (version, value) = self.rows.get(key)?;
        Some(TableRow {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Reads all rows whose key begins with the prefix, in the order of their keys.
    #[must_use]
    pub fn scan(&self, prefix: &str) -> Vec<TableRow> {
        let rows = self.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        rows.map(|(key, (version, value))| TableRow {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        })
        .collect()
    }

    /// Applies all writes if all conditions hold, and returns their version. A null value deletes
    /// the row; a condition with version 0 requires that there is no row.
    ///
    /// # Errors
    /// Returns the rows whose condition failed, with their present versions.
    pub fn commit(&mut self, request: &CommitRequest) -> Result<u64, Vec<RowCondition>> {
        let mut conflicts = Vec::new();
        for condition in &request.conditions {
            let version = self.rows.get(&condition.key).map_or(0, |row| row.0);
            if version != condition.version {
                conflicts.push(RowCondition {
                    key: condition.key.clone(),
                    version,
                });
            }
        }
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.last_version += 1;
        for write in &request.writes {
            if write.value.is_null() {
                self.rows.remove(&write.key);
            } else {
                let row = (self.last_version, write.value.clone());
                self.rows.insert(write.key.clone(), row);
            }
        }
        Ok(self.last_version)
    }
}
