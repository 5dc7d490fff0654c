use {
    super::BackendEntry,
    smallvec::SmallVec,
    std::collections::{BTreeMap, BTreeSet},
};

value_type! {
    /// Name and epoch of a replica group, which together identify one set of members.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct GroupIdentity {
        /// Name of the group.
        pub group: String,
        /// Epoch of the group.
        pub epoch: u64,
    }
}

impl GroupIdentity {
    /// The group in which a server says that it is; none when it is in no group.
    #[must_use]
    pub fn of(entry: &BackendEntry) -> Option<Self> {
        let member = entry.membership.as_ref()?;
        Some(Self {
            group: member.group.clone(),
            epoch: member.epoch,
        })
    }
}

/// Identifiers of the servers of each group, in their order.
#[derive(Debug, Clone, Default)]
pub(super) struct GroupIndex {
    members: BTreeMap<GroupIdentity, BTreeSet<String>>,
}

impl GroupIndex {
    /// Moves a server from one group to another; none stands for no group.
    pub fn update(
        &mut self,
        server: &str,
        former: Option<&GroupIdentity>,
        current: Option<&GroupIdentity>,
    ) {
        if former == current {
            return;
        }
        if let Some(group) = former
            && let Some(members) = self.members.get_mut(group)
        {
            members.remove(server);
            if members.is_empty() {
                self.members.remove(group);
            }
        }
        if let Some(group) = current {
            let members = self.members.entry(group.clone()).or_default();
            members.insert(server.to_owned());
        }
    }

    /// All groups that have a member.
    pub fn groups(&self) -> impl Iterator<Item = &GroupIdentity> {
        self.members.keys()
    }

    /// Members of a group.
    pub fn members_of(&self, group: &GroupIdentity) -> SmallVec<[String; 4]> {
        let members = self.members.get(group).into_iter().flatten();
        members.cloned().collect()
    }
}
