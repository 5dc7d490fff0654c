use {
    super::LimitShare,
    crate::{
        conf::ClientAccount,
        core::view::ClusterView,
        wire::{ProcessRole, UsageEntry},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Seconds of unused limit that an account can accumulate for a burst. With 2 s, one request in
/// twelve of accounts at 0.8 of a limit of 6 requests/s was refused.
const BURST_S: f64 = 4.0;

/// Interval between two exchanges of usage with the other gateways.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time since a gateway was last heard after which it counts as unreachable. The shares of all
/// limits are frozen while any gateway is unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);

/// Time since an unreachable gateway was last heard after which it is ignored, as if it had been
/// replaced.
const REPLACED_AFTER: Duration = Duration::from_mins(1);

value_type! {
    /// Limit that does not allow a request of an account now.
    pub struct LimitRefusal {
        /// Name of the limit: `requests`, `tokens` or `concurrency`.
        pub limit: &'static str,
        /// Delay after which the limit may allow the request; at least 1 ms, at most an hour.
        pub retry_after: Duration,
    }
}

#[derive(Debug, Clone)]
struct AccountState {
    limits: ClientAccount,
    requests: LimitShare,
    tokens: LimitShare,
    concurrency: LimitShare,
    /// Requests that may be admitted at once; infinite until the first request caps it.
    request_credit: f64,
    /// Tokens that may be admitted at once; infinite until the first request caps it.
    token_credit: f64,
    refilled_at: Duration,
    in_flight: u32,
    /// Requests since the last exchange, refused ones included.
    arrivals: f64,
    /// Tokens of these requests.
    arrived_tokens: f64,
    /// Highest number of requests in flight since the last exchange.
    peak_in_flight: u32,
}

/// Enforces this gateway's share of the limits of each client account, with a token bucket for
/// requests and one for prompt and answer tokens.
#[derive(Debug, Clone)]
pub struct AccountLimiter {
    process: String,
    accounts: BTreeMap<String, AccountState>,
    /// Number of gateways, this one included.
    gateways: usize,
    /// Number of the last exchange.
    round: u64,
    exchanged_at: Duration,
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
            exchanged_at: Duration::ZERO,
        }
    }

    /// Replaces the accounts by those of a new configuration. Accounts that remain keep their
    /// usage.
    pub fn configure(&mut self, now: Duration, accounts: &[ClientAccount]) {
        let mut known = std::mem::take(&mut self.accounts);
        for limits in accounts {
            let mut state = known.remove(&limits.name).unwrap_or(AccountState {
                limits: limits.clone(),
                requests: LimitShare::default(),
                tokens: LimitShare::default(),
                concurrency: LimitShare::default(),
                request_credit: f64::INFINITY,
                token_credit: f64::INFINITY,
                refilled_at: now,
                in_flight: 0,
                arrivals: 0.0,
                arrived_tokens: 0.0,
                peak_in_flight: 0,
            });
            state.limits = limits.clone();
            self.accounts.insert(limits.name.clone(), state);
        }
    }

    /// Requests of an account that were admitted and have not finished; 0 if the account is
    /// unknown.
    #[must_use]
    pub fn in_flight(&self, account: &str) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |state| state.in_flight)
    }

    /// Admits a request and charges it with `tokens`, its estimated prompt and answer tokens.
    ///
    /// # Errors
    /// Returns the first limit that the request would exceed; `requests` for an unknown account.
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
                retry_after: EXCHANGE_INTERVAL,
            });
        };
        state.arrivals += 1.0;
        state.arrived_tokens += tokens;
        let request_rate = state
            .requests
            .allowance(state.limits.requests_per_s, gateways);
        let token_rate = state.tokens.allowance(state.limits.tokens_per_s, gateways);
        let concurrency = state
            .concurrency
            .allowance(f64::from(state.limits.concurrency), gateways);
        let elapsed_s = now.saturating_sub(state.refilled_at).as_secs_f64();
        state.refilled_at = now;
        let max_request_credit = (request_rate * BURST_S).max(1.0);
        let max_token_credit = (token_rate * BURST_S).max(tokens);
        state.request_credit =
            (state.request_credit + elapsed_s * request_rate).min(max_request_credit);
        state.token_credit = (state.token_credit + elapsed_s * token_rate).min(max_token_credit);
        if state.request_credit < 1.0 {
            let missing = 1.0 - state.request_credit;
            return Err(limit_refusal("requests", missing / request_rate));
        }
        if state.token_credit < tokens {
            let missing = tokens - state.token_credit;
            return Err(limit_refusal("tokens", missing / token_rate));
        }
        if f64::from(state.in_flight) >= concurrency.ceil() {
            return Err(limit_refusal("concurrency", 1.0));
        }
        state.request_credit -= 1.0;
        state.token_credit -= tokens;
        state.in_flight += 1;
        state.peak_in_flight = state.peak_in_flight.max(state.in_flight);
        Ok(())
    }

    /// Ends an admitted request and returns the tokens that it did not use.
    pub fn finish(&mut self, account: &str, unused_tokens: f64) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.token_credit += unused_tokens.max(0.0);
        }
    }

    /// Exchanges usage once per second; does nothing and returns `None` in between.
    ///
    /// Recomputes the shares from the usage of the other gateways, and returns this gateway's usage
    /// of each active account to send to them.
    pub fn exchange(&mut self, now: Duration, view: &ClusterView) -> Option<Vec<UsageEntry>> {
        let elapsed = now.saturating_sub(self.exchanged_at);
        if elapsed < EXCHANGE_INTERVAL {
            return None;
        }
        self.exchanged_at = now;
        self.round += 1;
        let others = other_gateways(now, view, &self.process);
        let frozen = others
            .iter()
            .any(|(_, silence)| *silence > UNREACHABLE_AFTER);
        self.gateways = others.len() + 1;
        let elapsed_s = elapsed.as_secs_f64();
        let mut entries = Vec::new();
        for (account, state) in &mut self.accounts {
            state.requests.record_demand(state.arrivals / elapsed_s);
            state.tokens.record_demand(state.arrived_tokens / elapsed_s);
            state
                .concurrency
                .record_demand(f64::from(state.peak_in_flight));
            state.arrivals = 0.0;
            state.arrived_tokens = 0.0;
            state.peak_in_flight = state.in_flight;
            if !frozen {
                update_shares(state, account, &others, view);
            }
            if state.requests.own_demand() < 0.001 && state.in_flight == 0 {
                continue;
            }
            entries.push(UsageEntry {
                account: account.clone(),
                round: self.round,
                requests_per_s: state.requests.own_demand(),
                tokens_per_s: state.tokens.own_demand(),
                in_flight: state.in_flight,
            });
        }
        Some(entries)
    }
}

fn update_shares(
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

/// Names of the other gateways, except replaced ones, with the time since they were last heard.
fn other_gateways(now: Duration, view: &ClusterView, own_process: &str) -> Vec<(String, Duration)> {
    let gateways = view
        .peers
        .iter()
        .filter(|(name, peer)| peer.heartbeat.role == ProcessRole::Gateway && *name != own_process);
    gateways
        .map(|(name, peer)| (name.clone(), now.saturating_sub(peer.received_at)))
        .filter(|(_, silence)| *silence < REPLACED_AFTER)
        .collect()
}

fn limit_refusal(limit: &'static str, wait_s: f64) -> LimitRefusal {
    LimitRefusal {
        limit,
        retry_after: Duration::from_secs_f64(wait_s.clamp(0.001, 3_600.0)),
    }
}
