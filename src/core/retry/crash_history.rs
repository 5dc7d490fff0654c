use {
    super::{CrashSubject, RecentMap, SubjectCrash},
    smallvec::SmallVec,
    std::{collections::BTreeSet, time::Duration},
};

/// Crashes less than this time apart count as one: a lost failure domain breaks the connections to
/// many servers at once, beside whatever requests happen to wait there.
const EPISODE_SPAN: Duration = Duration::from_millis(150);

/// Episodes from which on a subject is blocked. Two are not enough: a sound request is often
/// retried into the next crash of another request.
const MIN_EPISODES: usize = 3;

/// One in this many of the servers that crashed in an episode, which the subject must have been at.
/// When many servers are lost at once, a sound part is beside a few of them.
const EPISODE_SHARE: usize = 4;

/// Crashed servers from which on a whole request is blocked, also when they crashed in one episode:
/// the request is sent on from one to the next. A sound one seldom meets so many, and copies of it
/// that wait at several lost servers at once come often enough to have been proven sound.
const MIN_REQUEST_CRASHES: usize = 3;

/// One in this many of the servers that crashed in an episode, which a subject must have been at for
/// each of them to count: all. A sound one goes from one lost server to the next beside others.
const OWN_SHARE: usize = 1;

/// Different requests that must have waited at the crashed servers before a prompt part is
/// blocked. A single request that crashes servers must not take its shared parts with it.
const MIN_REQUESTS: usize = 2;

/// Crashed servers and different requests that are as good as [`MIN_EPISODES`] when the subject was
/// at [`BURST_SHARE`] of all servers that crashed. A part that comes often crashes all servers
/// before there are that many episodes. So many crashed servers are also enough under
/// [`MIN_REQUESTS`] requests when the part was at [`OWN_SHARE`] of them in each episode.
pub(super) const MIN_BURST: usize = 5;

/// One in this many of the servers that crashed during a burst.
const BURST_SHARE: usize = 2;

/// Most crashed servers remembered.
const MAX_CRASHED: usize = 1_024;

/// The servers that crashed, by hash, whoever waited there. What a subject has to do with them
/// decides whether it is blocked.
#[derive(Debug, Clone)]
pub(super) struct CrashHistory {
    crashed: RecentMap<u32, Duration>,
    latest: Duration,
}

/// Episodes that speak against a subject.
#[derive(Debug, Clone, Copy, Default)]
struct EpisodeSum {
    count: usize,
    /// Crashed servers in these episodes.
    crashes: usize,
}

impl CrashHistory {
    pub(super) const fn new() -> Self {
        Self {
            crashed: RecentMap::new(MAX_CRASHED),
            latest: Duration::ZERO,
        }
    }

    /// Time of the latest crash.
    pub(super) const fn latest(&self) -> Duration {
        self.latest
    }

    pub(super) fn add(&mut self, crash: SubjectCrash) {
        let known = self.crashed.get(crash.server).copied();
        let at = known.map_or(crash.at, |known| known.min(crash.at));
        self.crashed.insert(crash.server, at);
        self.latest = self.latest.max(crash.at);
    }

    /// True when the crashes beside a subject are enough for a block. Crashes after `until` and at
    /// servers in `explained`, for which other subjects account, don't count.
    pub(super) fn is_sufficient(
        &self,
        subject: CrashSubject,
        crashes: &[SubjectCrash],
        until: Duration,
        explained: &BTreeSet<u32>,
    ) -> bool {
        // Spares the rest for the many requests that were beside one crash.
        if crashes.len() < MIN_EPISODES.min(MIN_BURST) {
            return false;
        }
        let counts =
            |crash: &&SubjectCrash| crash.at <= until && !explained.contains(&crash.server);
        let counted: SmallVec<[SubjectCrash; 8]> = crashes.iter().filter(counts).copied().collect();
        let episodes = self.episodes(&counted, explained, EPISODE_SHARE);
        let own = self.episodes(&counted, explained, OWN_SHARE);
        if let CrashSubject::Request(_) = subject {
            return own.crashes >= MIN_REQUEST_CRASHES || episodes.count >= MIN_EPISODES;
        }
        let requests = count_requests(counted.iter());
        if requests >= MIN_REQUESTS
            && (episodes.count >= MIN_EPISODES || self.is_burst(&counted, requests, explained))
        {
            return true;
        }
        // The second request would crash all servers again before its own crashes count.
        let unexplained = crashes
            .iter()
            .filter(|crash| !explained.contains(&crash.server));
        own.crashes >= MIN_BURST && count_requests(unexplained) >= MIN_REQUESTS
    }

    /// The episodes in which the subject was at one in `share` of the crashed servers.
    fn episodes(
        &self,
        crashes: &[SubjectCrash],
        explained: &BTreeSet<u32>,
        share: usize,
    ) -> EpisodeSum {
        let mut episodes = EpisodeSum::default();
        let mut rest = crashes;
        while let Some(first) = rest.first() {
            let end = first.at + EPISODE_SPAN;
            let count = rest.partition_point(|crash| crash.at < end);
            let others = self.crashed_elsewhere(crashes, (first.at, end), explained);
            if count * share >= count + others {
                episodes.count += 1;
                episodes.crashes += count;
            }
            rest = &rest[count..];
        }
        episodes
    }

    fn is_burst(
        &self,
        crashes: &[SubjectCrash],
        requests: usize,
        explained: &BTreeSet<u32>,
    ) -> bool {
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return false;
        };
        let count = crashes.len();
        let others = self.crashed_elsewhere(crashes, (first.at, last.at), explained);
        count.min(requests) >= MIN_BURST && count * BURST_SHARE >= count + others
    }

    /// Number of servers that crashed from `first` to `last`, without those in `explained` and
    /// those that the subject was at. Nodes time one crash some milliseconds apart, so that a server
    /// of the subject may be known here under a time in another episode.
    fn crashed_elsewhere(
        &self,
        crashes: &[SubjectCrash],
        (first, last): (Duration, Duration),
        explained: &BTreeSet<u32>,
    ) -> usize {
        let counts = |(server, at): &(u32, &Duration)| {
            (first..=last).contains(*at)
                && !explained.contains(server)
                && !crashes.iter().any(|crash| crash.server == *server)
        };
        self.crashed.iter().filter(counts).count()
    }
}

/// Number of different requests that waited at the crashed servers.
fn count_requests<'a>(crashes: impl Iterator<Item = &'a SubjectCrash>) -> usize {
    let mut requests: SmallVec<[u32; 8]> = crashes.map(|crash| crash.request).collect();
    requests.sort_unstable();
    requests.dedup();
    requests.len()
}
