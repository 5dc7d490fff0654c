use {
    super::ClusterView,
    crate::wire::{DomainDigest, GroupEntry, GroupId, ViewDigest, ViewVersion},
    std::collections::BTreeMap,
};

impl ClusterView {
    /// Returns one digest for each failure domain that has group entries.
    #[must_use]
    pub fn domain_digests(&self) -> Vec<DomainDigest> {
        let mut digests: BTreeMap<&str, (ViewVersion, u64)> = BTreeMap::new();
        for entry in self.groups.values() {
            let digest = digests.entry(&entry.failure_domain).or_default();
            digest.0 = digest.0.max(entry.version);
            // Addition makes the hash independent of the order of entries.
            digest.1 = digest.1.wrapping_add(hash_entry(&entry.id, entry.version));
        }
        let mut list = Vec::with_capacity(digests.len());
        for (failure_domain, (highest, hash)) in digests {
            list.push(DomainDigest {
                failure_domain: failure_domain.to_owned(),
                highest,
                hash,
            });
        }
        list
    }

    /// Returns the digest of the whole view; `domains` are its current domain digests.
    #[must_use]
    pub fn digest(&self, domains: &[DomainDigest]) -> ViewDigest {
        let mut groups = 0_u64;
        for domain in domains {
            groups = groups.wrapping_add(domain.hash);
        }
        ViewDigest {
            config_version: self.config_version(),
            groups,
        }
    }

    /// Returns the group entries of the named failure domains, or all entries when none is named.
    #[must_use]
    pub fn groups_of(&self, failure_domains: &[String]) -> Vec<GroupEntry> {
        let mut entries = Vec::new();
        for entry in self.groups.values() {
            if failure_domains.is_empty() || failure_domains.contains(&entry.failure_domain) {
                entries.push(entry.clone());
            }
        }
        entries
    }
}

fn hash_entry(id: &GroupId, version: ViewVersion) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(id.0.as_bytes());
    hasher.update(&version.term.to_le_bytes());
    hasher.update(&version.sequence.to_le_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
