use {
    super::{
        CapacitySlope, Figure,
        capacity_fixture::{ViewSize, account, view},
        capacity_timing::time_us,
    },
    std::{hint::black_box, time::Duration},
    toucanring::core::{
        admission::{AccountLimiter, FairQueue, QueuedRequest},
        burn::{FinishedRequest, LedgerEvent, LedgerSettings, MinuteLedger, RequestOutcome},
        routing::{GroupRouter, PickRequest},
    },
};

/// Numbers of groups in the view; the design scale is 90.
const GROUPS: [u32; 4] = [24, 48, 96, 192];
const DESIGN_GROUPS: f64 = 90.0;

/// Numbers of client accounts.
const ACCOUNTS: [u32; 4] = [10, 20, 40, 80];
const DESIGN_ACCOUNTS: f64 = 30.0;

/// Numbers of gateways.
const PEERS: [u32; 4] = [50, 100, 200, 400];
const DESIGN_PEERS: f64 = 390.0;

/// Measures the time that a gateway takes for each of its decisions.
pub(super) fn capacity_gateway() -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut add = |name: &str, sizes: [u32; 4], design: f64, measure: fn(u32) -> f64| {
        let points = sizes.map(|size| (f64::from(size), measure(size)));
        let line = CapacitySlope::fit(points.to_vec());
        figures.extend(line.figures(name, "us", design));
    };
    add(
        "capacity.gateway.pick_us_by_groups",
        GROUPS,
        DESIGN_GROUPS,
        pick_us,
    );
    add(
        "capacity.gateway.refresh_us_by_groups",
        GROUPS,
        DESIGN_GROUPS,
        refresh_us,
    );
    add(
        "capacity.gateway.apply_us_by_groups",
        GROUPS,
        DESIGN_GROUPS,
        apply_us,
    );
    add(
        "capacity.gateway.admit_us_by_accounts",
        ACCOUNTS,
        DESIGN_ACCOUNTS,
        admit_us,
    );
    add(
        "capacity.gateway.queue_us_by_accounts",
        ACCOUNTS,
        DESIGN_ACCOUNTS,
        queue_us,
    );
    add(
        "capacity.gateway.shares_us_by_peers",
        PEERS,
        DESIGN_PEERS,
        shares_us,
    );
    add(
        "capacity.gateway.burn_us_by_accounts",
        ACCOUNTS,
        DESIGN_ACCOUNTS,
        burn_us,
    );
    figures
}

fn group_view(groups: u32) -> toucanring::core::view::ClusterView {
    view(ViewSize {
        groups,
        span: 8,
        ..ViewSize::default()
    })
}

/// Time to choose a group for one request.
fn pick_us(groups: u32) -> f64 {
    let mut router = GroupRouter::new("domain-0");
    router.apply(Duration::ZERO, &group_view(groups));
    time_us(2_000, |number| {
        let request = PickRequest {
            service: "layouts",
            tokens: 500,
            prefix: u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            tried: &[],
            needs_room: false,
        };
        black_box(router.pick(Duration::ZERO, &request));
    })
}

/// Time to recompute which groups are usable; a gateway does so 20 times a second.
fn refresh_us(groups: u32) -> f64 {
    let view = group_view(groups);
    let mut router = GroupRouter::new("domain-0");
    router.apply(Duration::ZERO, &view);
    time_us(100, |_| router.refresh(Duration::ZERO, &view))
}

/// Time to update the router from a view.
fn apply_us(groups: u32) -> f64 {
    let view = group_view(groups);
    let mut router = GroupRouter::new("domain-0");
    time_us(50, |_| router.apply(Duration::ZERO, &view))
}

/// Time to admit and finish one request that stays within the limits of its account.
fn admit_us(accounts: u32) -> f64 {
    let limits: Vec<_> = (0..accounts).map(account).collect();
    let mut limiter = AccountLimiter::new("gateway-0");
    limiter.configure(Duration::ZERO, &limits);
    let mut now = Duration::ZERO;
    time_us(5_000, |number| {
        now += Duration::from_micros(100);
        let name = &limits[(number % accounts) as usize].name;
        let admitted = limiter.admit(now, name, 300.0);
        limiter.finish(name, 0.0);
        black_box(admitted.is_ok());
    })
}

/// Time to push one request and take one from a queue that holds 20 requests of each account.
fn queue_us(accounts: u32) -> f64 {
    let mut queue = FairQueue::default();
    for ticket in 0..accounts * 20 {
        queue.push(queued(ticket, accounts));
    }
    let mut ticket = accounts * 20;
    time_us(2_000, |_| {
        queue.push(queued(ticket, accounts));
        ticket += 1;
        if let Some(head) = queue.head().map(|request| request.ticket) {
            queue.take(head);
        }
    })
}

fn queued(ticket: u32, accounts: u32) -> QueuedRequest {
    QueuedRequest {
        ticket: u64::from(ticket),
        account: format!("account-{}", ticket % accounts),
        priority: 1,
        cost: 300.0,
        weight: 1.0,
        deadline: Duration::from_hours(1),
    }
}

/// Time to recompute this gateway's shares of the limits of 30 accounts; a gateway does so once a
/// second.
fn shares_us(peers: u32) -> f64 {
    let limits: Vec<_> = (0..30).map(account).collect();
    let view = view(ViewSize {
        peers,
        accounts: 30,
        ..ViewSize::default()
    });
    let mut limiter = AccountLimiter::new("gateway-0");
    limiter.configure(Duration::ZERO, &limits);
    let mut now = Duration::ZERO;
    // Every heartbeat stays recent: the limiter freezes its shares when a gateway is unreachable.
    let mut current_view = view;
    time_us(5, |_| {
        now += Duration::from_secs(1);
        for peer in current_view.peers.values_mut() {
            peer.received_at = now;
        }
        black_box(limiter.exchange(now, &current_view));
    })
}

/// Time to count one finished request in the minute ledger.
fn burn_us(accounts: u32) -> f64 {
    let mut ledger = MinuteLedger::new(LedgerSettings::new("gateway-0", 1, Duration::ZERO));
    let mut out = Vec::new();
    time_us(5_000, |number| {
        let request = FinishedRequest {
            service: "layouts".to_owned(),
            account: format!("account-{}", number % accounts),
            kind: "kind-1".to_owned(),
            weight: 1.0,
            outcome: RequestOutcome::Completed,
        };
        ledger.step(Duration::ZERO, LedgerEvent::Finished(request), &mut out);
    })
}
