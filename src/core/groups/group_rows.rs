use {
    super::{
        group_manager::GroupManager, group_record::GroupRecord, instance_record::InstanceRecord,
    },
    crate::{
        core::lease::TableChange,
        wire::{GroupId, RowCondition, RowWrite, TableRow},
    },
    serde::{Serialize, de::DeserializeOwned},
    serde_json::Value,
};

/// Most rows that one commit may write; a change with more rows is not committed.
const MAX_ROWS_PER_COMMIT: usize = 400;

wire_type! {
    /// Value of the row `member/<instance>`.
    #[derive(Eq)]
    pub struct MemberRow {
        /// The only group that the instance may be in, of any failure domain.
        pub group: GroupId,
        /// Epoch of the group at which the instance joins.
        pub epoch: u64,
        /// Rank of the instance in the group, from 0.
        pub rank: u32,
    }

    /// Value of the row `group/<failure domain>/<id>`.
    #[derive(Eq)]
    pub struct GroupRow {
        /// Name of the model service.
        pub service: String,
        /// Epoch that `members` belongs to; it grows with each change of members.
        pub epoch: u64,
        /// Names of the instances by rank.
        pub members: Vec<String>,
        /// Incarnations of the instances when they were given their ranks, by rank.
        pub incarnations: Vec<u64>,
    }
}

value_type! {
    /// A row as it was last read or written. Version 0 and no value when it does not exist.
    pub(super) struct KnownRow<T> {
        pub version: u64,
        pub value: Option<T>,
    }

    /// A row of the change that is being committed, with its new value; `None` deletes the row.
    pub(super) enum PendingRow {
        Member(String, Option<MemberRow>),
        Group(GroupId, Option<GroupRow>),
    }
}

impl<T> Default for KnownRow<T> {
    fn default() -> Self {
        Self {
            version: 0,
            value: None,
        }
    }
}

impl<T: DeserializeOwned> KnownRow<T> {
    /// Decodes a row; a value that does not decode counts as absent but keeps its version.
    pub fn decode(row: TableRow) -> Self {
        Self {
            version: row.version,
            value: serde_json::from_value(row.value).ok(),
        }
    }
}

impl<T: Serialize + PartialEq> KnownRow<T> {
    /// Adds the write that turns this row into `wanted`; false when the row has that value already.
    fn change(
        &self,
        key: &str,
        wanted: Option<&T>,
        conditional: bool,
        change: &mut TableChange,
    ) -> bool {
        if self.value.as_ref() == wanted {
            return false;
        }
        if conditional {
            change.conditions.push(RowCondition {
                key: key.to_owned(),
                version: self.version,
            });
        }
        change.writes.push(RowWrite {
            key: key.to_owned(),
            value: wanted.map_or(Value::Null, |row| {
                serde_json::to_value(row).expect("a membership row is JSON")
            }),
        });
        true
    }

    /// Records a committed write of the row.
    pub fn written(&mut self, version: u64, value: Option<T>) {
        // The table counts a deleted row as version 0.
        self.version = if value.is_some() { version } else { 0 };
        self.value = value;
    }
}

impl GroupManager {
    /// Builds one change out of all rows that differ from the plan; `None` when there are none or
    /// more than [`MAX_ROWS_PER_COMMIT`].
    ///
    /// All rows go into one transaction, so that an instance that moves between groups is never
    /// listed in both.
    pub(super) fn table_change(&mut self) -> Option<TableChange> {
        self.ticket += 1;
        let mut change = TableChange {
            ticket: self.ticket,
            conditions: Vec::new(),
            writes: Vec::new(),
        };
        let conditional = self.options.conditional_rows;
        let mut pending = Vec::new();
        for group in self.groups.values() {
            let wanted = Some(self.group_row(group));
            let key = group_row_key(&self.failure_domain, &group.id);
            if group
                .row
                .change(&key, wanted.as_ref(), conditional, &mut change)
            {
                pending.push(PendingRow::Group(group.id.clone(), wanted));
            }
        }
        for (id, row) in &self.old_rows {
            let key = group_row_key(&self.failure_domain, id);
            if row.change(&key, None, conditional, &mut change) {
                pending.push(PendingRow::Group(id.clone(), None));
            }
        }
        for instance in self.instances.values() {
            let wanted = self.member_row(instance);
            if wanted.is_none() && instance.foreign {
                continue;
            }
            let key = format!("member/{}", instance.name);
            if instance
                .row
                .change(&key, wanted.as_ref(), conditional, &mut change)
            {
                pending.push(PendingRow::Member(instance.name.clone(), wanted));
            }
        }
        if pending.is_empty() || change.writes.len() > MAX_ROWS_PER_COMMIT {
            return None;
        }
        self.pending_rows = pending;
        Some(change)
    }

    /// Records that the pending rows were committed with `version`.
    pub(super) fn rows_written(&mut self, version: u64) {
        for row in std::mem::take(&mut self.pending_rows) {
            match row {
                PendingRow::Member(name, value) => {
                    if let Some(instance) = self.instance_mut(&name) {
                        instance.row.written(version, value);
                    }
                }
                PendingRow::Group(id, value) => {
                    let group = self.groups.values_mut().find(|group| group.id == id);
                    if let Some(group) = group {
                        group.row.written(version, value);
                    } else if value.is_none() {
                        self.old_rows.remove(&id);
                    } else if let Some(row) = self.old_rows.get_mut(&id) {
                        row.written(version, value);
                    }
                }
            }
        }
    }

    /// Row that the group should have according to its record.
    pub(super) fn group_row(&self, group: &GroupRecord) -> GroupRow {
        let names = group.members.iter().map(|slot| {
            self.instances
                .get(slot.instance)
                .map_or_else(String::new, |instance| instance.name.clone())
        });
        GroupRow {
            service: group.service.clone(),
            epoch: group.epoch,
            members: names.collect(),
            incarnations: group.members.iter().map(|slot| slot.incarnation).collect(),
        }
    }

    /// Row that the instance should have; `None` when it is assigned to no group.
    pub(super) fn member_row(&self, instance: &InstanceRecord) -> Option<MemberRow> {
        let assignment = instance.assigned?;
        let group = self.groups.get(assignment.group)?;
        Some(MemberRow {
            group: group.id.clone(),
            epoch: assignment.epoch,
            rank: assignment.rank,
        })
    }
}

fn group_row_key(failure_domain: &str, id: &GroupId) -> String {
    format!("group/{failure_domain}/{}", id.0)
}
