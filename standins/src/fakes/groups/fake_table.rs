use {
    serde_json::Value,
    std::{collections::BTreeMap, time::Duration},
    toucanring::wire::{CommitRequest, RowCondition, TableRow},
};

/// Table service in memory with an outage and lost answers.
#[derive(Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<String, (u64, Value)>,
    last_version: u64,
    /// No call succeeds before this time.
    pub out_until: Duration,
    /// Until this time commits take effect but their answers are lost.
    pub lose_until: Duration,
    /// Until this time commits take effect 3 s after the caller has given up.
    pub slow_until: Duration,
}

impl FakeTable {
    /// Reads a row.
    #[must_use]
    pub fn read(&self, key: &str) -> Option<TableRow> {
        let (version, value) = self.rows.get(key)?;
        Some(TableRow {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Reads all rows under a prefix.
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

    /// Applies all writes if all conditions hold.
    ///
    /// # Errors
    /// The rows whose condition failed, with their versions.
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
