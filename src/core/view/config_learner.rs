use {
    super::{Configuration, ExchangeAction, PeerExchange, peer_exchange::FORWARD_FANOUT},
    crate::wire::{PeerMessage, PeerRequest},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Random peers that are asked for their configuration at the start.
const LEARN_FANOUT: usize = 8;
/// Longest wait for their answers, equal to the timeout of a call over TCP. On a busy machine an
/// answer may take more than a second.
const LEARN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a pull without an answer no longer counts as open.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Most configuration pulls open at the same time.
const MAX_CONFIG_PULLS: usize = 2;

/// Stages of learning the configuration after a start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LearnStage {
    /// The peers have not been asked yet.
    #[default]
    Idle,
    /// Some peers have not answered yet and the deadline has not passed.
    Asking,
    /// The highest version found was adopted, if any; newer ones are adopted at once.
    Done,
}

/// Progress of a process in learning the configuration.
///
/// A process does not store the version that it had before a restart, and the platform may return
/// an old version. A configuration therefore comes into force only after the peers have answered or
/// the deadline has passed.
#[derive(Debug, Clone, Default)]
pub(super) struct ConfigLearner {
    stage: LearnStage,
    /// Monotonic time at which the process stops waiting for `unanswered`.
    deadline: Duration,
    unanswered: BTreeSet<SocketAddr>,
    /// Highest version received before learning was done.
    candidate: Option<Arc<Configuration>>,
    /// Open pulls with the time at which each was sent.
    pulls: BTreeMap<SocketAddr, Duration>,
}

impl PeerExchange {
    /// Asks random peers for their configuration.
    pub(super) fn start_learning(&mut self, now: Duration, out: &mut Vec<ExchangeAction>) {
        let targets = self.table.choose(LEARN_FANOUT, None, &mut self.rng);
        self.learner.stage = LearnStage::Asking;
        self.learner.deadline = now + LEARN_TIMEOUT;
        for from in targets {
            self.learner.unanswered.insert(from);
            out.push(ExchangeAction::Pull {
                from,
                request: PeerRequest::Configuration,
            });
        }
        self.set_config_problem("the peers are being asked for theirs", out);
        self.finish_learning(now, out);
    }

    /// Adopts the candidate once all peers have answered or the deadline has passed.
    pub(super) fn finish_learning(&mut self, now: Duration, out: &mut Vec<ExchangeAction>) {
        let learner = &mut self.learner;
        let is_waiting = !learner.unanswered.is_empty() && now < learner.deadline;
        if learner.stage != LearnStage::Asking || is_waiting {
            return;
        }
        learner.stage = LearnStage::Done;
        if let Some(candidate) = learner.candidate.take() {
            self.adopt(candidate, out);
        }
    }

    /// Adopts a configuration from the platform or a peer, or keeps it as the candidate until
    /// learning is done.
    pub(super) fn receive_config(
        &mut self,
        now: Duration,
        configuration: Arc<Configuration>,
        out: &mut Vec<ExchangeAction>,
    ) {
        if self.learner.stage == LearnStage::Done {
            return self.adopt(configuration, out);
        }
        let candidate = self.learner.candidate.as_ref();
        if candidate.is_none_or(|candidate| candidate.version < configuration.version) {
            self.learner.candidate = Some(configuration);
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
        let targets = self.table.choose(FORWARD_FANOUT, None, &mut self.rng);
        self.send(&targets, vec![PeerMessage::ConfigOffer(version)], out);
    }

    /// Records why no configuration is in force; does nothing once one is.
    pub(super) fn set_config_problem(&mut self, problem: &str, out: &mut Vec<ExchangeAction>) {
        if self.view.configuration.is_some() {
            return;
        }
        if self.view.config_problem.as_deref() != Some(problem) {
            self.view.config_problem = Some(problem.to_owned());
            out.push(ExchangeAction::Publish);
        }
    }

    /// Asks `from` for its configuration when `version` is newer than the own one and
    /// fewer than [`MAX_CONFIG_PULLS`] pulls are open.
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
        pulls.retain(|_, requested_at| now.saturating_sub(*requested_at) < PULL_TIMEOUT);
        if pulls.len() >= MAX_CONFIG_PULLS || pulls.contains_key(&from) {
            return;
        }
        pulls.insert(from, now);
        out.push(ExchangeAction::Pull {
            from,
            request: PeerRequest::Configuration,
        });
    }

    /// Records that `from` has answered a configuration pull, or that the pull has failed.
    pub(super) fn finish_config_pull(
        &mut self,
        now: Duration,
        from: SocketAddr,
        out: &mut Vec<ExchangeAction>,
    ) {
        self.learner.unanswered.remove(&from);
        self.learner.pulls.remove(&from);
        self.finish_learning(now, out);
    }

    /// Pulls from the peer, other than `failed`, whose heartbeat shows the newest configuration.
    pub(super) fn pull_from_other_peer(
        &mut self,
        now: Duration,
        failed: SocketAddr,
        out: &mut Vec<ExchangeAction>,
    ) {
        let peers = self.view.peers.values();
        let best = peers
            .filter(|record| record.heartbeat.address != failed)
            .max_by_key(|record| (record.heartbeat.config_version, record.received_at));
        let best = best.map(|best| (best.heartbeat.address, best.heartbeat.config_version));
        if let Some((address, version)) = best {
            self.pull_newer(now, address, version, out);
        }
    }
}
