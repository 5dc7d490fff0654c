use {
    super::{
        CapacitySlope, Figure,
        capacity_fixture::{setup, text},
        capacity_poll::config_reads_per_s,
    },
    crate::{deploy::Result, fakes::groups::FakeWorld},
    std::time::Duration,
    toucanring::core::claims::{
        ClaimAction, ClaimDecision, ClaimEvent, ClaimManager, ClaimRequest, CommitResult,
        RecordedOutcome,
    },
};

/// Numbers of failure domains.
const DOMAINS: [u32; 4] = [1, 3, 6, 9];

/// Rates of claims at one gateway, per second.
const CLAIM_RATES: [u32; 5] = [1, 2, 4, 8, 16];

/// Virtual time over which commits are counted.
const COUNTING_TIME_S: u32 = 20;

/// Numbers of servers in a configuration.
const SERVERS: [u32; 4] = [96, 192, 384, 768];

/// Measures the rate of calls to the platform and the size of what it stores.
pub(super) fn capacity_store() -> Result<Vec<Figure>> {
    let mut figures = Vec::new();
    let points = DOMAINS.map(|domains| (f64::from(domains), lease_writes(domains)));
    let line = CapacitySlope::fit(points.to_vec());
    figures.extend(line.figures("capacity.store.lease_writes_per_s", "1/s", 9.0));
    let points = CLAIM_RATES.map(|rate| (f64::from(rate), claim_commits(rate)));
    let line = CapacitySlope::fit(points.to_vec());
    // A tenth of 1,500 requests/s makes a claim; the claims are spread over 390 gateways.
    figures.extend(line.figures("capacity.store.claim_commits_per_s", "1/s", 0.385));
    let points = SERVERS.map(|servers| (f64::from(servers), text_bytes(servers)));
    let line = CapacitySlope::fit(points.to_vec());
    figures.extend(line.figures("capacity.store.operator_text_bytes", "B", 750.0));
    let line = CapacitySlope::fit(config_reads_per_s()?);
    figures.extend(line.figures("capacity.store.config_reads_per_s", "1/s", 408.0));
    Ok(figures)
}

/// Table commits per second of all lease holders while no group changes.
fn lease_writes(domains: u32) -> f64 {
    let mut world = setup(8, 4);
    let fabrics = world.domains[0].1.clone();
    world.domains = (0..domains)
        .map(|number| (format!("domain-{number}"), fabrics.clone()))
        .collect();
    world.controllers = 2;
    let mut world = world.build();
    world.run_until(Duration::from_secs(30));
    let before = newest_version(&world);
    world.run_until(Duration::from_secs(90));
    f64::from(u32::try_from(newest_version(&world) - before).unwrap_or(u32::MAX)) / 60.0
}

/// Newest version of a lease row; each commit gives its rows the next version of the whole table.
fn newest_version(world: &FakeWorld) -> u64 {
    let rows = world.table.scan("lease/");
    rows.iter().map(|row| row.version).max().unwrap_or(0)
}

/// Table commits per second of one gateway that gets `rate` claims per second.
fn claim_commits(rate: u32) -> f64 {
    let mut manager = ClaimManager::default();
    let mut commits = 0;
    let mut version = 0;
    let mut runs: Vec<(Duration, u64)> = Vec::new();
    let interval = Duration::from_secs(1) / rate;
    let mut next_claim_at = Duration::ZERO;
    let mut ticket = 0;
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(u64::from(COUNTING_TIME_S)) {
        now += Duration::from_millis(1);
        let mut events = vec![ClaimEvent::Tick];
        while next_claim_at <= now {
            next_claim_at += interval;
            ticket += 1;
            events.push(ClaimEvent::Request(claim(ticket, now)));
        }
        runs.retain(|(end, ticket)| {
            if *end <= now {
                events.push(ClaimEvent::Record(*ticket, outcome()));
            }
            *end > now
        });
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            manager.step(now, event, &mut out);
            for action in out {
                match action {
                    ClaimAction::Commit(batch, _) => {
                        commits += 1;
                        version += 1;
                        let result = CommitResult::Committed(version);
                        events.push(ClaimEvent::Committed(batch, result));
                    }
                    ClaimAction::Decision(ticket, ClaimDecision::Granted) => {
                        runs.push((now + run_time(ticket), ticket));
                    }
                    _ => {}
                }
            }
        }
    }
    f64::from(commits) / f64::from(COUNTING_TIME_S)
}

/// Time from the grant of a claim to its outcome. It varies by ticket: with a constant time and
/// regular arrivals, each outcome could coincide with a later claim and share its commit.
const fn run_time(ticket: u64) -> Duration {
    Duration::from_millis(500 + ticket * 37 % 211)
}

fn claim(ticket: u64, now: Duration) -> ClaimRequest {
    ClaimRequest {
        ticket,
        key: format!("claim/account/{ticket}"),
        token: ticket,
        fingerprint: ticket,
        deadline: now + Duration::from_secs(2),
    }
}

fn outcome() -> RecordedOutcome {
    RecordedOutcome {
        status: 200,
        content_type: "application/json".to_owned(),
        body: "{}".to_owned(),
    }
}

/// Size of an operator text with 30 accounts, as JSON.
#[allow(clippy::cast_precision_loss)] // below a megabyte
fn text_bytes(servers: u32) -> f64 {
    serde_json::to_vec(&text(servers, 30)).map_or(0.0, |json| json.len() as f64)
}
