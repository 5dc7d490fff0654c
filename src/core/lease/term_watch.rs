use std::collections::BTreeMap;

/// Highest lease term that other nodes report to hold, for each failure domain.
///
/// A holder that cannot reach the store may still send orders to servers that check
/// fencing numbers. It must stop as soon as another node reports a later term, since
/// only servers that have had an order of the later holder refuse its own orders.
#[derive(Debug, Clone, Default)]
pub struct TermWatch {
    highest_terms: BTreeMap<String, u64>,
}

impl TermWatch {
    /// Records the term that another node reports to hold for a failure domain.
    pub fn record_term(&mut self, failure_domain: &str, term: u64) {
        let highest = self
            .highest_terms
            .entry(failure_domain.to_owned())
            .or_default();
        *highest = term.max(*highest);
    }

    /// True when another node has reported a later term than `term`.
    ///
    /// ```
    /// let mut watch = toucanring::core::lease::TermWatch::default();
    /// watch.record_term("kochi", 2);
    /// assert!(watch.has_later_term("kochi", 1));
    /// assert!(!watch.has_later_term("kochi", 2));
    /// assert!(!watch.has_later_term("thrissur", 1));
    /// ```
    #[must_use]
    pub fn has_later_term(&self, failure_domain: &str, term: u64) -> bool {
        self.highest_terms
            .get(failure_domain)
            .is_some_and(|highest| *highest > term)
    }
}
