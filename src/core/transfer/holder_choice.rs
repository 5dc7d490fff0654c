use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time since its last beacon for which a node is preferred to those that have been silent longer,
/// which may be frozen or cut off. A node of another failure domain is heard about twice a second.
const FRESH_TIME: Duration = Duration::from_millis(600);

/// Time for which a node that was busy is not asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Time for which a node is not asked again after a pull from it has failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(800);

/// Time for which a node leaves a new version to its own connection to the store, and one that has
/// none to the readers of its failure domain.
const NEARER_SOURCE_WAIT: Duration = Duration::from_millis(200);

value_type! {
    /// Another node that uses some version of the configuration.
    #[derive(Copy, Eq)]
    pub struct Holder {
        /// Address for pulls.
        pub address: SocketAddr,
        /// Version that it named in its last beacon.
        pub version: u64,
        /// True when it is in the same failure domain.
        pub is_local: bool,
        /// Time of its last beacon.
        pub heard_at: Duration,
    }

    /// How long a node may wait for a nearer source than the one that it has heard from.
    #[derive(Copy, Eq)]
    pub enum PullPatience {
        /// The store does not answer this node: any other node is asked at once.
        None,
        /// Nodes of the own failure domain are asked at once, others a little later.
        LocalFirst,
        /// The node reads the store itself and asks others only when that takes too long.
        StoreFirst,
    }
}

/// Chooses the node from which a newer configuration is pulled. The load it answers: all nodes of a
/// failure domain hear of a version from the same one or two nodes at the same moment.
#[derive(Debug, Clone, Default)]
pub struct HolderChoice {
    /// Nodes that were busy or failed, and until when they are not asked.
    avoided: BTreeMap<SocketAddr, Duration>,
}

impl HolderChoice {
    /// Records that a node had no room for a large transfer.
    pub fn note_busy(&mut self, now: Duration, address: SocketAddr) {
        self.avoided.insert(address, now + BUSY_PAUSE);
    }

    /// Records that a pull from a node has failed.
    pub fn note_failure(&mut self, now: Duration, address: SocketAddr) {
        self.avoided.insert(address, now + FAILURE_PAUSE);
    }

    /// Chooses among the nodes that use a newer version than this one, `news_age` after the first
    /// news of one. Nodes heard lately go before others, then nodes of the own failure domain, then
    /// those with the newest version; `draw`, from 0 up to but not including 1, chooses among equal ones. None
    /// when there is nobody to ask at present.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::transfer::{Holder, HolderChoice, PullPatience},
    /// };
    ///
    /// let now = Duration::from_secs(1);
    /// let holder = Holder {
    ///     address: "10.0.0.2:7000".parse().unwrap(),
    ///     version: 8,
    ///     is_local: true,
    ///     heard_at: now,
    /// };
    /// let mut choice = HolderChoice::default();
    /// let patience = PullPatience::LocalFirst;
    /// let chosen = choice.choose(now, &[holder], Duration::ZERO, patience, 0.5);
    /// assert_eq!(chosen, Some(holder.address));
    /// choice.note_busy(now, holder.address);
    /// assert_eq!(choice.choose(now, &[holder], Duration::ZERO, patience, 0.5), None);
    /// ```
    pub fn choose(
        &mut self,
        now: Duration,
        holders: &[Holder],
        news_age: Duration,
        patience: PullPatience,
        draw: f64,
    ) -> Option<SocketAddr> {
        self.avoided.retain(|_, until| *until > now);
        let is_early = news_age < NEARER_SOURCE_WAIT;
        if is_early && patience == PullPatience::StoreFirst {
            return None;
        }
        let waits_for_local = is_early && patience != PullPatience::None;
        let rank = |holder: &Holder| {
            let is_fresh = now < holder.heard_at + FRESH_TIME;
            (is_fresh, holder.is_local, holder.version)
        };
        let mut best: Vec<&Holder> = Vec::new();
        for holder in holders {
            if self.avoided.contains_key(&holder.address) {
                continue;
            }
            if waits_for_local && !holder.is_local {
                continue;
            }
            match best.first().map(|first| rank(holder).cmp(&rank(first))) {
                Some(std::cmp::Ordering::Less) => continue,
                Some(std::cmp::Ordering::Greater) => best.clear(),
                Some(std::cmp::Ordering::Equal) | None => {}
            }
            best.push(holder);
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let index = (draw * best.len() as f64) as usize;
        best.get(index).map(|holder| holder.address)
    }
}
