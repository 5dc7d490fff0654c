use {
    super::LimitShare,
    crate::{
        conf::ClientAccount,
        core::view::ClusterView,
        wire::{ProcessRole, UsageEntry},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Seconds of a limit that can be saved up. With 2 s, one request in twelve of
/// accounts at 0.8 of a limit of 6 requests/s was refused.
const BURST_S: f64 = 4.0;

/// Time between two exchanges of usage.
const ROUND: Duration = Duration::from_secs(1);

/// Silence after which a gateway counts as unreachable and shares are frozen.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

/// Silence after which an unreachable gateway counts as replaced.
const REPLACED_AFTER: Duration = Duration::from_mins(1);

value_type! {
    /// Why an account may not send a request now.
    pub struct LimitRefusal {
        /// The limit: `requests`, `tokens` or `concurrency`.
        pub limit: &'static str,
        /// When it is worth trying again.
        pub retry_after: Duration,
    }
}

#[derive(Debug, Clone)]
struct AccountState {
    limits: ClientAccount,
    requests: LimitShare,
    tokens: LimitShare,
    concurrency: LimitShare,
    saved_requests: f64,
    saved_tokens: f64,
    filled_at: Duration,
    in_flight: u32,
    arrivals: f64,
    arrived_tokens: f64,
    peak_in_flight: u32,
}

/// Enforces this gateway's parts of the limits of client accounts.
#[derive(Debug, Clone)]
pub struct AccountLimiter {
    process: String,
    accounts: BTreeMap<String, AccountState>,
    gateways: usize,
    round: u64,
    round_at: Duration,
}

impl AccountLimiter {
    /// Creates the limiter of the gateway `process`.
    #[must_use]
    pub fn new(process: &str) -> Self {
        Self {
            process: process.to_owned(),
            accounts: BTreeMap::new(),
            gateways: 1,
            round: 0,
            round_at: Duration::ZERO,
        }
    }

    /// Takes the accounts of a new configuration; use so far is kept.
    pub fn configure(&mut self, now: Duration, accounts: &[ClientAccount]) {
        let mut former = std::mem::take(&mut self.accounts);
        for limits in accounts {
            let mut state = former.remove(&limits.name).unwrap_or(AccountState {
                limits: limits.clone(),
                requests: LimitShare::default(),
                tokens: LimitShare::default(),
                concurrency: LimitShare::default(),
                saved_requests: f64::INFINITY,
                saved_tokens: f64::INFINITY,
                filled_at: now,
                in_flight: 0,
                arrivals: 0.0,
                arrived_tokens: 0.0,
                peak_in_flight: 0,
            });
            state.limits = limits.clone();
            self.accounts.insert(limits.name.clone(), state);
        }
    }

    /// Requests in flight of an account.
    #[must_use]
    pub fn in_flight(&self, account: &str) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |state| state.in_flight)
    }

    /// Counts a request in, or says which limit it would exceed.
    ///
    /// # Errors
    /// [`LimitRefusal`] with the time after which the limit allows a request.
    pub fn admit(
        &mut self,
        now: Duration,
        account: &str,
        tokens: f64,
    ) -> std::result::Result<(), LimitRefusal> {
        let gateways = self.gateways;
        let Some(state) = self.accounts.get_mut(account) else {
            return Err(LimitRefusal {
                limit: "requests",
                retry_after: ROUND,
            });
        };
        state.arrivals += 1.0;
        state.arrived_tokens += tokens;
        let request_rate = state.requests.part(state.limits.requests_per_s, gateways);
        let token_rate = state.tokens.part(state.limits.tokens_per_s, gateways);
        let concurrency = state
            .concurrency
            .part(f64::from(state.limits.concurrency), gateways);
        let passed = now.saturating_sub(state.filled_at).as_secs_f64();
        state.filled_at = now;
        let most_requests = (request_rate * BURST_S).max(1.0);
        let most_tokens = (token_rate * BURST_S).max(tokens);
        state.saved_requests = (state.saved_requests + passed * request_rate).min(most_requests);
        state.saved_tokens = (state.saved_tokens + passed * token_rate).min(most_tokens);
        if state.saved_requests < 1.0 {
            let missing = 1.0 - state.saved_requests;
            return Err(refusal("requests", missing / request_rate));
        }
        if state.saved_tokens < tokens {
            let missing = tokens - state.saved_tokens;
            return Err(refusal("tokens", missing / token_rate));
        }
        if f64::from(state.in_flight) >= concurrency.ceil() {
            return Err(refusal("concurrency", 1.0));
        }
        state.saved_requests -= 1.0;
        state.saved_tokens -= tokens;
        state.in_flight += 1;
        state.peak_in_flight = state.peak_in_flight.max(state.in_flight);
        Ok(())
    }

    /// Counts a request out and gives back the tokens that it did not use.
    pub fn finish(&mut self, account: &str, unused_tokens: f64) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.saved_tokens += unused_tokens.max(0.0);
        }
    }

    /// Once a second: computes the parts again and returns the own usage.
    pub fn exchange(&mut self, now: Duration, view: &ClusterView) -> Option<Vec<UsageEntry>> {
        let passed = now.saturating_sub(self.round_at);
        if passed < ROUND {
            return None;
        }
        self.round_at = now;
        self.round += 1;
        let others = other_gateways(now, view, &self.process);
        let frozen = others
            .iter()
            .any(|(_, silence)| *silence > UNREACHABLE_AFTER);
        self.gateways = others.len() + 1;
        let seconds = passed.as_secs_f64();
        let mut entries = Vec::new();
        for (account, state) in &mut self.accounts {
            state.requests.note_own(state.arrivals / seconds);
            state.tokens.note_own(state.arrived_tokens / seconds);
            state.concurrency.note_own(f64::from(state.peak_in_flight));
            state.arrivals = 0.0;
            state.arrived_tokens = 0.0;
            state.peak_in_flight = state.in_flight;
            if !frozen {
                update_parts(state, account, &others, view);
            }
            if state.requests.own() < 0.001 && state.in_flight == 0 {
                continue;
            }
            entries.push(UsageEntry {
                account: account.clone(),
                round: self.round,
                requests_per_s: state.requests.own(),
                tokens_per_s: state.tokens.own(),
                in_flight: state.in_flight,
            });
        }
        Some(entries)
    }
}

fn update_parts(
    state: &mut AccountState,
    account: &str,
    others: &[(String, Duration)],
    view: &ClusterView,
) {
    let (mut requests, mut tokens, mut running) = (0.0, 0.0, 0.0);
    for (process, _) in others {
        let Some(entry) = view.usage.get(&(process.clone(), account.to_owned())) else {
            continue;
        };
        requests += entry.usage.requests_per_s;
        tokens += entry.usage.tokens_per_s;
        running += f64::from(entry.usage.in_flight);
    }
    let gateways = others.len() + 1;
    let limits = &state.limits;
    state
        .requests
        .update(limits.requests_per_s, requests, gateways);
    state.tokens.update(limits.tokens_per_s, tokens, gateways);
    state
        .concurrency
        .update(f64::from(limits.concurrency), running, gateways);
}

/// Other gateways that are not long gone, with the time since they were heard.
fn other_gateways(now: Duration, view: &ClusterView, own: &str) -> Vec<(String, Duration)> {
    let gateways = view
        .peers
        .iter()
        .filter(|(name, peer)| peer.heartbeat.role == ProcessRole::Gateway && *name != own);
    gateways
        .map(|(name, peer)| (name.clone(), now.saturating_sub(peer.heard_at)))
        .filter(|(_, silence)| *silence < REPLACED_AFTER)
        .collect()
}

fn refusal(limit: &'static str, seconds: f64) -> LimitRefusal {
    LimitRefusal {
        limit,
        retry_after: Duration::from_secs_f64(seconds.clamp(0.001, 3_600.0)),
    }
}
