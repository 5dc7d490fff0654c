use std::collections::BTreeMap;

/// Highest terms that other nodes have said to hold.
///
/// A holder that cannot reach the store keeps its rights against servers that
/// check fencing numbers. It must give them up as soon as it hears of a later
/// holder, since only servers that have had an order of that one refuse its own.
#[derive(Debug, Clone, Default)]
pub struct TermWatch {
    heard: BTreeMap<String, u64>,
}

impl TermWatch {
    /// Takes the term that another node holds for a failure domain.
    pub fn hear(&mut self, failure_domain: &str, term: u64) {
        let heard = self.heard.entry(failure_domain.to_owned()).or_default();
        *heard = term.max(*heard);
    }

    /// True when another node holds a later term.
    ///
    /// ```
    /// let mut watch = toucanring::core::lease::TermWatch::default();
    /// watch.hear("kochi", 2);
    /// assert!(watch.outranks("kochi", 1));
    /// assert!(!watch.outranks("kochi", 2));
    /// assert!(!watch.outranks("thrissur", 1));
    /// ```
    #[must_use]
    pub fn outranks(&self, failure_domain: &str, term: u64) -> bool {
        self.heard
            .get(failure_domain)
            .is_some_and(|heard| *heard > term)
    }
}
