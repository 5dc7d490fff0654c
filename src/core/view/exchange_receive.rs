use {
    super::{
        Configuration, DropReason, ExchangeAction, MAX_DATAGRAM_BYTES, PeerDatagram, PeerExchange,
        PeerSighting, SealKind, peer_exchange::FORWARD_PEERS,
    },
    crate::wire::{
        ControllerBeat, DomainDigest, GroupEntry, PeerHeartbeat, PeerMessage, PeerReply,
        PeerRequest, UsageEntry, ViewDigest,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Heartbeats of one lease holder are forwarded at most this often.
const BEAT_PERIOD: Duration = Duration::from_millis(450);
/// A pull without an answer counts as lost after this time.
const PULL_LIMIT: Duration = Duration::from_secs(3);
/// Pulled entries are forwarded only when they are few: a process that has just
/// started pulls the whole view, which the others have already.
const FORWARD_PULLED: usize = 16;

/// Time without a heartbeat after which another boot may follow.
const REPLACED_AGE: Duration = Duration::from_secs(3);

/// True when a process answers itself with another boot than the one that has
/// fallen silent, although its clock may show an earlier start.
fn is_replaced(known: &PeerSighting, beat: &PeerHeartbeat, now: Duration) -> bool {
    let silent = now.saturating_sub(known.heard_at) >= REPLACED_AGE;
    silent && known.heartbeat.boot != beat.boot
}

impl PeerExchange {
    /// Checks and merges a datagram and forwards what was new.
    pub(super) fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<ExchangeAction>,
    ) {
        let opened = self
            .codec
            .open(SealKind::Datagram, bytes, MAX_DATAGRAM_BYTES);
        let datagram: PeerDatagram = match opened {
            Ok(datagram) => datagram,
            Err(reason) => return self.drop_datagram(reason),
        };
        let boot = datagram.boot;
        let own = boot == self.heartbeat.boot;
        if own || !self.replay.admit(boot, datagram.sequence, now) {
            return self.drop_datagram(DropReason::Replayed);
        }
        let mut changes = Vec::new();
        for message in datagram.messages {
            match message {
                PeerMessage::Heartbeat(beat) => {
                    let direct = beat.boot == boot;
                    self.take_heartbeat(now, beat, direct, out);
                }
                PeerMessage::Alive(marks) => {
                    for mark in marks {
                        self.dirty |= self.alive.take(mark, now, &mut self.view);
                    }
                }
                PeerMessage::Controller(beat) => self.take_beat(now, beat, &mut changes),
                PeerMessage::Groups(entries) => self.take_groups(entries, &mut changes, out),
                PeerMessage::Usage { process, entries } => {
                    self.take_usage(now, boot, &process, entries);
                }
                PeerMessage::Suspects(entries) => {
                    for entry in entries {
                        if self.learn_suspect(now, entry.clone()) {
                            changes.push(PeerMessage::Suspects(vec![entry]));
                            out.push(ExchangeAction::Publish);
                        }
                    }
                }
                PeerMessage::ConfigOffer(version) => self.pull_newer(now, from, version, out),
                PeerMessage::Digest(digest) => self.compare(now, from, digest, out),
                PeerMessage::DomainDigests { domains, last } => {
                    self.compare_domains(now, from, domains, last, out);
                }
            }
        }
        let targets = self.table.choose(FORWARD_PEERS, Some(from), &mut self.rng);
        self.send(&targets, changes, out);
    }

    /// Merges the answer of a call over TCP.
    pub(super) fn take_reply(
        &mut self,
        now: Duration,
        from: SocketAddr,
        reply: PeerReply,
        out: &mut Vec<ExchangeAction>,
    ) {
        match reply {
            PeerReply::Configuration(found) => {
                if let Some(found) = found {
                    let configuration = Configuration {
                        version: found.version,
                        text: found.text,
                    };
                    self.hold(now, Arc::new(configuration), out);
                }
                self.config_answered(now, from, out);
            }
            PeerReply::Groups(entries) => {
                self.group_pulls.remove(&from);
                let mut changes = Vec::new();
                self.take_groups(entries, &mut changes, out);
                if changes.len() <= FORWARD_PULLED {
                    let targets = self.table.choose(FORWARD_PEERS, Some(from), &mut self.rng);
                    self.send(&targets, changes, out);
                }
            }
            PeerReply::Status(_) => {}
        }
    }

    /// Notes that a call over TCP failed.
    pub(super) fn pull_failed(
        &mut self,
        now: Duration,
        from: SocketAddr,
        request: &PeerRequest,
        out: &mut Vec<ExchangeAction>,
    ) {
        match request {
            PeerRequest::Configuration => {
                self.config_answered(now, from, out);
                self.pull_elsewhere(now, from, out);
            }
            PeerRequest::Groups(_) => {
                self.group_pulls.remove(&from);
            }
            PeerRequest::Status => {}
        }
    }

    fn take_heartbeat(
        &mut self,
        now: Duration,
        beat: PeerHeartbeat,
        direct: bool,
        out: &mut Vec<ExchangeAction>,
    ) {
        if beat.process == self.heartbeat.process {
            return;
        }
        let (address, version) = (beat.address, beat.config_version);
        self.alive.note(&beat);
        let known = self.view.peers.get(&beat.process);
        let moved = known.is_none_or(|known| known.heartbeat.address != address);
        if direct && known.is_some_and(|known| is_replaced(known, &beat, now)) {
            self.view.peers.remove(&beat.process);
        }
        if !self.view.merge_heartbeat(beat, now) {
            return;
        }
        self.dirty = true;
        if moved {
            self.learn_addresses();
        }
        self.pull_newer(now, address, version, out);
    }

    fn take_beat(&mut self, now: Duration, beat: ControllerBeat, changes: &mut Vec<PeerMessage>) {
        if !self.view.merge_controller(beat.clone(), now) {
            return;
        }
        self.dirty = true;
        let last = self.forwarded_beats.get(&beat.failure_domain);
        if last.is_some_and(|last| now.saturating_sub(*last) < BEAT_PERIOD) {
            return;
        }
        self.forwarded_beats
            .insert(beat.failure_domain.clone(), now);
        changes.push(PeerMessage::Controller(beat));
    }

    fn take_groups(
        &mut self,
        entries: Vec<GroupEntry>,
        changes: &mut Vec<PeerMessage>,
        out: &mut Vec<ExchangeAction>,
    ) {
        let before = changes.len();
        for entry in entries {
            if self.view.merge_group(entry.clone()) {
                changes.push(PeerMessage::Groups(vec![entry]));
            }
        }
        if changes.len() > before {
            self.domains = self.view.domain_digests();
            out.push(ExchangeAction::Publish);
        }
    }

    /// Takes usage from the gateway itself; rounds count within its boot.
    fn take_usage(&mut self, now: Duration, boot: u64, process: &str, entries: Vec<UsageEntry>) {
        let sighting = self.view.peers.get(process);
        if sighting.is_some_and(|sighting| sighting.heartbeat.boot != boot) {
            return;
        }
        if self.usage_boots.insert(process.to_owned(), boot) != Some(boot) {
            self.view.usage.retain(|(gateway, _), _| gateway != process);
        }
        for entry in entries {
            self.dirty |= self.view.merge_usage(process, entry, now);
        }
    }

    fn compare(
        &mut self,
        now: Duration,
        from: SocketAddr,
        digest: ViewDigest,
        out: &mut Vec<ExchangeAction>,
    ) {
        self.pull_newer(now, from, digest.config_version, out);
        if digest.groups != self.view.digest(&self.domains).groups {
            self.send_domains(from, false, out);
        }
    }

    /// Pulls the failure domains in which `from` may have newer entries, and
    /// answers when it may lack some.
    fn compare_domains(
        &mut self,
        now: Duration,
        from: SocketAddr,
        theirs: Vec<DomainDigest>,
        last: bool,
        out: &mut Vec<ExchangeAction>,
    ) {
        let mut own: BTreeMap<&str, &DomainDigest> = BTreeMap::new();
        for domain in &self.domains {
            own.insert(&domain.failure_domain, domain);
        }
        let mut wanted = Vec::new();
        let mut offered = false;
        for domain in theirs {
            let Some(known) = own.remove(&*domain.failure_domain) else {
                wanted.push(domain.failure_domain);
                continue;
            };
            if known.hash == domain.hash {
                continue;
            }
            offered |= known.highest >= domain.highest;
            if domain.highest >= known.highest {
                wanted.push(domain.failure_domain);
            }
        }
        offered |= !own.is_empty();
        if offered && !last {
            self.send_domains(from, true, out);
        }
        let pulls = &mut self.group_pulls;
        pulls.retain(|_, asked| now.saturating_sub(*asked) < PULL_LIMIT);
        if wanted.is_empty() || pulls.contains_key(&from) {
            return;
        }
        pulls.insert(from, now);
        out.push(ExchangeAction::Pull {
            from,
            request: PeerRequest::Groups(wanted),
        });
    }

    fn send_domains(&mut self, to: SocketAddr, last: bool, out: &mut Vec<ExchangeAction>) {
        let domains = self.domains.clone();
        let message = PeerMessage::DomainDigests { domains, last };
        self.send(&[to], vec![message], out);
    }
}
