//! What backend servers said about themselves in their answers. Each notice holds for one
//! incarnation of a server, given by its identifier and start time, and doesn't need the store.

use std::{collections::BTreeMap, time::Duration};

/// Time for which a notice of a server without an entry is kept: a node that lags behind may still
/// send an old entry of it.
const NOTICE_MEMORY: Duration = Duration::from_secs(30);

/// Most servers about which notices of a kind are kept. The leaving server heard of longest ago and
/// the pause that ends first are dropped before others.
const MAX_NOTICES: usize = 1_024;

/// Longest pause that a server can ask for. A longer one is more likely a fault of the server, and
/// would take it out of use for as long as this process runs.
pub const MAX_SERVER_PAUSE: Duration = Duration::from_mins(10);

value_type! {
    /// A server that said in an answer that it is leaving.
    pub struct LeavingNotice {
        /// Identifier of the server.
        pub server: String,
        /// Start time of the server in Unix milliseconds, as in its entry.
        pub born_ms: u64,
        /// Time of the first answer that said so, to this node or to a peer.
        pub first_heard: Duration,
        /// Time of the last one.
        pub last_heard: Duration,
    }

    /// A server that asked this node for a pause.
    #[derive(Copy)]
    pub struct PauseNotice {
        /// Start time of the server in Unix milliseconds, as in its entry.
        pub born_ms: u64,
        /// Time until which the server wants no requests from this node.
        pub until: Duration,
    }
}

/// Notices of all servers, by identifier; only that of the latest incarnation is kept.
#[derive(Debug, Clone, Default)]
pub struct ServerNotices {
    leaving: BTreeMap<String, LeavingNotice>,
    paused: BTreeMap<String, PauseNotice>,
}

impl ServerNotices {
    /// Records that an incarnation of a server is leaving; true when that was not known. One that
    /// is older than the known incarnation is ignored.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::fleet::ServerNotices};
    ///
    /// let mut notices = ServerNotices::default();
    /// assert!(notices.note_leaving(Duration::from_secs(1), "i-1", 7));
    /// assert!(!notices.note_leaving(Duration::from_secs(2), "i-1", 7));
    /// assert!(notices.is_leaving("i-1", 7));
    /// assert!(!notices.is_leaving("i-1", 8));
    /// ```
    pub fn note_leaving(&mut self, now: Duration, server: &str, born_ms: u64) -> bool {
        if let Some(known) = self.leaving.get_mut(server)
            && known.born_ms >= born_ms
        {
            if known.born_ms == born_ms {
                known.last_heard = now;
            }
            return false;
        }
        if self.leaving.len() >= MAX_NOTICES {
            self.drop_oldest();
        }
        let notice = LeavingNotice {
            server: server.to_owned(),
            born_ms,
            first_heard: now,
            last_heard: now,
        };
        self.leaving.insert(server.to_owned(), notice);
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.leaving.values().min_by_key(|notice| notice.last_heard);
        if let Some(server) = oldest.map(|notice| notice.server.clone()) {
            self.leaving.remove(&server);
        }
    }

    /// True when this incarnation of the server said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, server: &str, born_ms: u64) -> bool {
        let notice = self.leaving.get(server);
        notice.is_some_and(|notice| notice.born_ms == born_ms)
    }

    /// Records that an incarnation of a server wants no requests from this node until a time; true
    /// when that is later than known. A shorter pause does not end a longer one.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::fleet::ServerNotices};
    ///
    /// let mut notices = ServerNotices::default();
    /// assert!(notices.note_pause("i-1", 7, Duration::from_secs(9)));
    /// assert!(!notices.note_pause("i-1", 7, Duration::from_secs(5)));
    /// assert_eq!(notices.paused_until("i-1", 7), Some(Duration::from_secs(9)));
    /// assert_eq!(notices.paused_until("i-1", 8), None);
    /// ```
    pub fn note_pause(&mut self, server: &str, born_ms: u64, until: Duration) -> bool {
        if let Some(known) = self.paused.get(server) {
            let is_later = (known.born_ms, known.until) < (born_ms, until);
            if !is_later {
                return false;
            }
        } else if self.paused.len() >= MAX_NOTICES {
            let first = self.paused.iter().min_by_key(|(_, notice)| notice.until);
            if let Some(server) = first.map(|(server, _)| server.clone()) {
                self.paused.remove(&server);
            }
        }
        let notice = PauseNotice { born_ms, until };
        self.paused.insert(server.to_owned(), notice);
        true
    }

    /// End of the last pause that this incarnation of the server asked for; none without one. It
    /// may have passed.
    #[must_use]
    pub fn paused_until(&self, server: &str, born_ms: u64) -> Option<Duration> {
        let notice = self.paused.get(server)?;
        (notice.born_ms == born_ms).then_some(notice.until)
    }

    /// Drops what incarnations of the server before the one that started at `born_ms` said.
    pub fn forget_before(&mut self, server: &str, born_ms: u64) {
        let is_older = |notice: &LeavingNotice| notice.born_ms < born_ms;
        if self.leaving.get(server).is_some_and(is_older) {
            self.leaving.remove(server);
        }
        let is_older = |notice: &PauseNotice| notice.born_ms < born_ms;
        if self.paused.get(server).is_some_and(is_older) {
            self.paused.remove(server);
        }
    }

    /// Drops the pauses that are over, and the notices of leaving servers without an entry that
    /// were last heard a while ago.
    pub fn expire(&mut self, now: Duration, has_entry: impl Fn(&str, u64) -> bool) {
        self.paused.retain(|_, notice| now < notice.until);
        self.leaving.retain(|server, notice| {
            now < notice.last_heard + NOTICE_MEMORY || has_entry(server, notice.born_ms)
        });
    }

    /// Leaving servers to be told to the other nodes: the newest `max_count` / 2 notices, and a
    /// part of the others that changes with `round`. Servers for which `has_entry` is false are
    /// left out, so that nodes don't remind each other of them for ever.
    #[must_use]
    pub fn to_announce(
        &self,
        round: u64,
        max_count: usize,
        has_entry: impl Fn(&str, u64) -> bool,
    ) -> Vec<(String, u64)> {
        let mut standing: Vec<&LeavingNotice> = Vec::new();
        for notice in self.leaving.values() {
            if has_entry(&notice.server, notice.born_ms) {
                standing.push(notice);
            }
        }
        standing.sort_by_key(|notice| std::cmp::Reverse(notice.first_heard));
        if standing.len() > max_count {
            let newest = max_count / 2;
            let parts = (standing.len() - newest).div_ceil(max_count - newest);
            let part = usize::try_from(round).unwrap_or(0) % parts;
            let skipped = part * (max_count - newest);
            standing.drain(newest..newest + skipped);
            standing.truncate(max_count);
        }
        let named = standing.into_iter();
        named
            .map(|notice| (notice.server.clone(), notice.born_ms))
            .collect()
    }
}
