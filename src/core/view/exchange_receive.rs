use {
    super::{
        Configuration, DropReason, ExchangeAction, HeartbeatRecord, MAX_DATAGRAM_BYTES,
        PeerDatagram, PeerExchange, SealKind, peer_exchange::FORWARD_FANOUT,
    },
    crate::wire::{
        ControllerHeartbeat, DomainDigest, GroupEntry, PeerHeartbeat, PeerMessage, PeerReply,
        PeerRequest, UsageEntry, ViewDigest,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Shortest time between two forwarded heartbeats of the same lease holder.
const HEARTBEAT_FORWARD_INTERVAL: Duration = Duration::from_millis(450);
/// Time after which a pull without an answer no longer counts as open.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Most changed entries of one pull that are still forwarded. A process that has just started pulls
/// the whole view, which the other processes have already.
const MAX_FORWARDED_PULL: usize = 16;

/// Time without a heartbeat after which a heartbeat of another boot replaces the known one.
const REPLACEMENT_SILENCE: Duration = Duration::from_secs(3);

/// Returns true when `heartbeat` is of another boot than the known one, which has been silent for
/// [`REPLACEMENT_SILENCE`]. The start time is not compared, because the clock of a replacement may
/// be behind.
fn is_replaced(known: &HeartbeatRecord, heartbeat: &PeerHeartbeat, now: Duration) -> bool {
    let silent = now.saturating_sub(known.received_at) >= REPLACEMENT_SILENCE;
    silent && known.heartbeat.boot != heartbeat.boot
}

impl PeerExchange {
    /// Authenticates and merges a datagram and forwards the changes to random peers.
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
            Err(reason) => return self.count_drop(reason),
        };
        let boot = datagram.boot;
        let own = boot == self.heartbeat.boot;
        if own || !self.replay.admit(boot, datagram.sequence, now) {
            return self.count_drop(DropReason::Replayed);
        }
        let mut changes = Vec::new();
        for message in datagram.messages {
            match message {
                PeerMessage::Heartbeat(heartbeat) => {
                    let is_from_sender = heartbeat.boot == boot;
                    self.handle_heartbeat(now, heartbeat, is_from_sender, out);
                }
                PeerMessage::Alive(heartbeats) => {
                    for compact in heartbeats {
                        self.dirty |= self.alive.apply_compact(compact, now, &mut self.view);
                    }
                }
                PeerMessage::Controller(sent) => self.handle_controller(now, sent, &mut changes),
                PeerMessage::Groups(entries) => self.handle_groups(entries, &mut changes, out),
                PeerMessage::Usage { process, entries } => {
                    self.handle_usage(now, boot, &process, entries);
                }
                PeerMessage::Suspects(entries) => {
                    for entry in entries {
                        if self.record_suspect(now, entry.clone()) {
                            changes.push(PeerMessage::Suspects(vec![entry]));
                            out.push(ExchangeAction::Publish);
                        }
                    }
                }
                PeerMessage::ConfigOffer(version) => self.pull_newer(now, from, version, out),
                PeerMessage::Digest(digest) => self.compare_digest(now, from, digest, out),
                PeerMessage::DomainDigests { domains, last } => {
                    self.compare_domains(now, from, domains, last, out);
                }
            }
        }
        let targets = self.table.choose(FORWARD_FANOUT, Some(from), &mut self.rng);
        self.send(&targets, changes, out);
    }

    /// Merges the answer to a pull.
    pub(super) fn handle_reply(
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
                    self.receive_config(now, Arc::new(configuration), out);
                }
                self.finish_config_pull(now, from, out);
            }
            PeerReply::Groups(entries) => {
                self.group_pulls.remove(&from);
                let mut changes = Vec::new();
                self.handle_groups(entries, &mut changes, out);
                if changes.len() <= MAX_FORWARDED_PULL {
                    let targets = self.table.choose(FORWARD_FANOUT, Some(from), &mut self.rng);
                    self.send(&targets, changes, out);
                }
            }
            PeerReply::Status(_) => {}
        }
    }

    /// Frees the pull that failed; a configuration is then pulled from another peer.
    pub(super) fn handle_pull_failure(
        &mut self,
        now: Duration,
        from: SocketAddr,
        request: &PeerRequest,
        out: &mut Vec<ExchangeAction>,
    ) {
        match request {
            PeerRequest::Configuration => {
                self.finish_config_pull(now, from, out);
                self.pull_from_other_peer(now, from, out);
            }
            PeerRequest::Groups(_) => {
                self.group_pulls.remove(&from);
            }
            PeerRequest::Status => {}
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: PeerHeartbeat,
        is_from_sender: bool,
        out: &mut Vec<ExchangeAction>,
    ) {
        if heartbeat.process == self.heartbeat.process {
            return;
        }
        let (address, version) = (heartbeat.address, heartbeat.config_version);
        self.alive.record_heartbeat(&heartbeat);
        let known = self.view.peers.get(&heartbeat.process);
        let address_changed = known.is_none_or(|known| known.heartbeat.address != address);
        if is_from_sender && known.is_some_and(|known| is_replaced(known, &heartbeat, now)) {
            self.view.peers.remove(&heartbeat.process);
        }
        if !self.view.merge_heartbeat(heartbeat, now) {
            return;
        }
        self.dirty = true;
        if address_changed {
            self.update_addresses();
        }
        self.pull_newer(now, address, version, out);
    }

    fn handle_controller(
        &mut self,
        now: Duration,
        heartbeat: ControllerHeartbeat,
        changes: &mut Vec<PeerMessage>,
    ) {
        if !self.view.merge_controller(heartbeat.clone(), now) {
            return;
        }
        self.dirty = true;
        let last = self.forwarded_heartbeats.get(&heartbeat.failure_domain);
        if last.is_some_and(|last| now.saturating_sub(*last) < HEARTBEAT_FORWARD_INTERVAL) {
            return;
        }
        self.forwarded_heartbeats
            .insert(heartbeat.failure_domain.clone(), now);
        changes.push(PeerMessage::Controller(heartbeat));
    }

    fn handle_groups(
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

    /// Merges usage that was sent by the gateway itself. Rounds count within a boot, so that the
    /// first usage of a new boot replaces all entries of the former one.
    fn handle_usage(&mut self, now: Duration, boot: u64, process: &str, entries: Vec<UsageEntry>) {
        let record = self.view.peers.get(process);
        if record.is_some_and(|record| record.heartbeat.boot != boot) {
            return;
        }
        if self.usage_boots.insert(process.to_owned(), boot) != Some(boot) {
            self.view.usage.retain(|(gateway, _), _| gateway != process);
        }
        for entry in entries {
            self.dirty |= self.view.merge_usage(process, entry, now);
        }
    }

    fn compare_digest(
        &mut self,
        now: Duration,
        from: SocketAddr,
        digest: ViewDigest,
        out: &mut Vec<ExchangeAction>,
    ) {
        self.pull_newer(now, from, digest.config_version, out);
        if digest.groups != self.view.digest(&self.domains).groups {
            self.send_domain_digests(from, false, out);
        }
    }

    /// Pulls the failure domains in which `from` may have newer entries, and sends the own digests
    /// when `from` may lack entries; `last` is true when `from` expects no such answer.
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
        let mut may_lack_entries = false;
        for domain in theirs {
            let Some(known) = own.remove(&*domain.failure_domain) else {
                wanted.push(domain.failure_domain);
                continue;
            };
            if known.hash == domain.hash {
                continue;
            }
            may_lack_entries |= known.highest >= domain.highest;
            if domain.highest >= known.highest {
                wanted.push(domain.failure_domain);
            }
        }
        may_lack_entries |= !own.is_empty();
        if may_lack_entries && !last {
            self.send_domain_digests(from, true, out);
        }
        let pulls = &mut self.group_pulls;
        pulls.retain(|_, requested_at| now.saturating_sub(*requested_at) < PULL_TIMEOUT);
        if wanted.is_empty() || pulls.contains_key(&from) {
            return;
        }
        pulls.insert(from, now);
        out.push(ExchangeAction::Pull {
            from,
            request: PeerRequest::Groups(wanted),
        });
    }

    fn send_domain_digests(&mut self, to: SocketAddr, last: bool, out: &mut Vec<ExchangeAction>) {
        let domains = self.domains.clone();
        let message = PeerMessage::DomainDigests { domains, last };
        self.send(&[to], vec![message], out);
    }
}
