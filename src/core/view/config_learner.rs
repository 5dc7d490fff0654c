use {
    super::{Configuration, ExchangeAction, PeerExchange, peer_exchange::FORWARD_PEERS},
    crate::wire::{PeerMessage, PeerRequest},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Peers asked for their configuration at the start.
const ASKED_PEERS: usize = 8;
/// Longest wait for their answers; the limit of a call over TCP. On a busy
/// machine an answer may take more than a second.
const LEARN_LIMIT: Duration = Duration::from_millis(2_500);
/// A pull without an answer counts as lost after this time.
const PULL_LIMIT: Duration = Duration::from_secs(3);
/// Peers asked for a configuration at the same time.
const CONFIG_PULLS: usize = 2;

/// Stages of a start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LearnStage {
    /// The peers have not been asked.
    #[default]
    Idle,
    /// Answers of peers are awaited.
    Asking,
    /// The highest version found is in force.
    Done,
}

/// How far a process is in learning the configuration.
///
/// A process that starts has no memory of the version it had. The platform may
/// answer an old version, so that a configuration comes into force only after
/// the peers were asked, or did not answer in time.
#[derive(Debug, Clone, Default)]
pub(super) struct ConfigLearner {
    stage: LearnStage,
    deadline: Duration,
    waiting: BTreeSet<SocketAddr>,
    held: Option<Arc<Configuration>>,
    pulls: BTreeMap<SocketAddr, Duration>,
}

impl PeerExchange {
    /// Asks peers for their configuration.
    pub(super) fn start_learning(&mut self, now: Duration, out: &mut Vec<ExchangeAction>) {
        let targets = self.table.choose(ASKED_PEERS, None, &mut self.rng);
        self.learner.stage = LearnStage::Asking;
        self.learner.deadline = now + LEARN_LIMIT;
        for from in targets {
            self.learner.waiting.insert(from);
            out.push(ExchangeAction::Pull {
                from,
                request: PeerRequest::Configuration,
            });
        }
        self.explain("the peers are being asked for theirs", out);
        self.finish_learning(now, out);
    }

    /// Ends learning once all peers have answered or the time is up.
    pub(super) fn finish_learning(&mut self, now: Duration, out: &mut Vec<ExchangeAction>) {
        let learner = &mut self.learner;
        let waits = !learner.waiting.is_empty() && now < learner.deadline;
        if learner.stage != LearnStage::Asking || waits {
            return;
        }
        learner.stage = LearnStage::Done;
        if let Some(held) = learner.held.take() {
            self.adopt(held, out);
        }
    }

    /// Takes a configuration from the platform or a peer.
    pub(super) fn hold(
        &mut self,
        now: Duration,
        configuration: Arc<Configuration>,
        out: &mut Vec<ExchangeAction>,
    ) {
        if self.learner.stage == LearnStage::Done {
            return self.adopt(configuration, out);
        }
        let held = self.learner.held.as_ref();
        if held.is_none_or(|held| held.version < configuration.version) {
            self.learner.held = Some(configuration);
        }
        self.finish_learning(now, out);
    }

    fn adopt(&mut self, configuration: Arc<Configuration>, out: &mut Vec<ExchangeAction>) {
        let version = configuration.version;
        if !self.view.merge_configuration(configuration) {
            return;
        }
        self.view.config_problem = None;
        self.heartbeat.config_version = version;
        self.update_readiness();
        out.push(ExchangeAction::Publish);
        out.push(ExchangeAction::Adopted(version));
        let targets = self.table.choose(FORWARD_PEERS, None, &mut self.rng);
        self.send(&targets, vec![PeerMessage::ConfigOffer(version)], out);
    }

    /// Notes why no configuration is in force.
    pub(super) fn explain(&mut self, problem: &str, out: &mut Vec<ExchangeAction>) {
        if self.view.configuration.is_some() {
            return;
        }
        if self.view.config_problem.as_deref() != Some(problem) {
            self.view.config_problem = Some(problem.to_owned());
            out.push(ExchangeAction::Publish);
        }
    }

    /// Asks `from` for its configuration when it is newer than the own one.
    pub(super) fn pull_newer(
        &mut self,
        now: Duration,
        from: SocketAddr,
        version: u64,
        out: &mut Vec<ExchangeAction>,
    ) {
        if version <= self.view.config_version() {
            return;
        }
        let pulls = &mut self.learner.pulls;
        pulls.retain(|_, asked| now.saturating_sub(*asked) < PULL_LIMIT);
        if pulls.len() >= CONFIG_PULLS || pulls.contains_key(&from) {
            return;
        }
        pulls.insert(from, now);
        out.push(ExchangeAction::Pull {
            from,
            request: PeerRequest::Configuration,
        });
    }

    /// Notes that `from` has answered a request for its configuration, or cannot.
    pub(super) fn config_answered(
        &mut self,
        now: Duration,
        from: SocketAddr,
        out: &mut Vec<ExchangeAction>,
    ) {
        self.learner.waiting.remove(&from);
        self.learner.pulls.remove(&from);
        self.finish_learning(now, out);
    }

    /// Asks another peer whose heartbeat shows a newer configuration.
    pub(super) fn pull_elsewhere(
        &mut self,
        now: Duration,
        failed: SocketAddr,
        out: &mut Vec<ExchangeAction>,
    ) {
        let peers = self.view.peers.values();
        let best = peers
            .filter(|sighting| sighting.heartbeat.address != failed)
            .max_by_key(|sighting| (sighting.heartbeat.config_version, sighting.heard_at));
        let best = best.map(|best| (best.heartbeat.address, best.heartbeat.config_version));
        if let Some((address, version)) = best {
            self.pull_newer(now, address, version, out);
        }
    }
}
