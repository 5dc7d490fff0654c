//! Time for a configuration to reach all processes, and cost of the exchange, by number of
//! processes.

use {
    super::{
        Figure, SpreadRun, SpreadSettings, sample_controller_heartbeat, sample_group, sample_text,
        sample_usage, sample_version,
    },
    std::{fs, time::Duration},
    toucanring::{
        conf::OperatorText,
        core::view::{ClusterView, ExchangeEvent, LocalUpdate},
    },
};

/// Numbers of processes, instances and groups of each deployment.
const SIZES: [(usize, usize, usize); 4] =
    [(6, 58, 12), (50, 120, 18), (150, 300, 36), (390, 750, 90)];
/// Virtual time in which the views fill before anything is counted.
const WARM_UP: Duration = Duration::from_secs(20);
/// Virtual time over which bytes are counted; one configuration change in it is the rate of 2,800 a
/// day.
const COUNTING_TIME: Duration = Duration::from_secs(31);
/// Time between two heartbeats of a lease holder.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of configuration changes that are timed for each size and loss.
const CHANGES: u64 = 5;
/// Number of copies of a view whose memory is measured.
const VIEW_COPIES: usize = 200;

/// Measures the spread of a configuration in virtual time, and the memory of a view, at four sizes.
#[must_use]
pub fn configuration(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    // Memory is measured before the runs, and all copies stay alive, so that no copy reuses freed
    // memory, which would hide its size.
    let mut copies = Vec::new();
    for (nodes, _, groups) in SIZES {
        let name = format!("configuration.view_bytes_per_group.n{nodes}");
        let memory = view_bytes_per_group(groups, failure_domains_for(nodes), &mut copies);
        figures.push(Figure::new(&name, memory, "B"));
    }
    drop(copies);
    for (nodes, instances, groups) in SIZES {
        let text = sample_text(instances, failure_domains_for(nodes));
        for (loss, label) in [(0.01, "loss1"), (0.10, "loss10")] {
            let mut run = filled_run(nodes, groups, loss, seed, &text);
            let name = |figure: &str| format!("configuration.{figure}.n{nodes}.{label}");
            let bytes = bytes_per_s(&mut run, nodes, &text);
            figures.push(Figure::new(&name("bytes_per_s_per_node"), bytes, "B/s"));
            let age = heartbeat_age_s(&run, nodes);
            figures.push(Figure::new(&name("heartbeat_age_s_p99"), age, "s"));
            let (p99, hops) = spread_s(&mut run, nodes, &text);
            figures.push(Figure::new(&name("spread_s_p99"), p99, "s"));
            figures.push(Figure::new(&name("spread_hops_max"), hops, "hops"));
            run.record_events(nodes - 1);
            run_load(&mut run, nodes, Duration::from_secs(10));
            let (time, datagrams) = run.replay_recorded();
            let step_us = time.as_secs_f64() * 1e6 / to_f64(datagrams.max(1));
            figures.push(Figure::new(&name("step_us_per_datagram"), step_us, "us"));
            let rate = to_f64(datagrams) / 10.0;
            figures.push(Figure::new(&name("datagrams_per_s"), rate, "1/s"));
        }
    }
    figures
}

/// Number of failure domains of a deployment with this many processes.
fn failure_domains_for(nodes: usize) -> usize {
    if nodes > 50 { 9 } else { 3 }
}

/// Starts the processes, stores a configuration and the groups, and runs until the views are
/// filled.
fn filled_run(nodes: usize, groups: usize, loss: f64, seed: u64, text: &OperatorText) -> SpreadRun {
    let failure_domains = failure_domains_for(nodes);
    let mut run = SpreadRun::new(SpreadSettings {
        nodes,
        failure_domains,
        seeds: 12,
        loss,
        seed,
    });
    run.run_for(Duration::from_secs(3));
    run.inject(0, ExchangeEvent::Stored(sample_version(1, text)));
    for group in 0..groups {
        let domain = group % failure_domains;
        let entry = sample_group(domain, group, 8, 1);
        run.inject(
            domain,
            ExchangeEvent::Local(LocalUpdate::Groups(vec![entry])),
        );
    }
    run_load(&mut run, nodes, WARM_UP);
    run
}

/// Runs for a span of virtual time; lease holders send a heartbeat twice a second and gateways
/// their account usage once a second.
fn run_load(run: &mut SpreadRun, nodes: usize, span: Duration) {
    let failure_domains = failure_domains_for(nodes);
    let end = run.now() + span;
    while run.now() < end {
        let half_seconds = u64::try_from(run.now().as_millis() / 500).unwrap_or(0);
        for domain in 0..failure_domains.min(nodes) {
            let heartbeat =
                LocalUpdate::Controller(sample_controller_heartbeat(domain, half_seconds));
            run.inject(domain, ExchangeEvent::Local(heartbeat));
        }
        if half_seconds % 2 == 0 {
            for node in (2 * failure_domains).min(nodes)..nodes {
                let usage = LocalUpdate::Usage(sample_usage(half_seconds));
                run.inject(node, ExchangeEvent::Local(usage));
            }
        }
        run.run_for(HEARTBEAT_INTERVAL);
    }
}

/// Mean bytes per second that a process sends, with one configuration change and three changed
/// groups.
fn bytes_per_s(run: &mut SpreadRun, nodes: usize, text: &OperatorText) -> f64 {
    run.sent_bytes.fill(0);
    run.inject(0, ExchangeEvent::Stored(sample_version(2, text)));
    for number in 0..3 {
        let entry = sample_group(number, number, 8, 100);
        run.inject(
            number,
            ExchangeEvent::Local(LocalUpdate::Groups(vec![entry])),
        );
    }
    run_load(run, nodes, COUNTING_TIME);
    let total: u64 = run.sent_bytes.iter().sum();
    to_f64(total) / to_f64(nodes as u64) / COUNTING_TIME.as_secs_f64()
}

/// 99th percentile of the age of the newest heartbeat that one process has of another.
fn heartbeat_age_s(run: &SpreadRun, nodes: usize) -> f64 {
    let mut ages: Vec<Duration> = Vec::new();
    for node in 0..nodes {
        for record in run.view(node).peers.values() {
            ages.push(run.now().saturating_sub(record.received_at));
        }
    }
    ages.sort();
    ages[(ages.len() - 1) * 99 / 100].as_secs_f64()
}

/// Returns the 99th percentile, over all changes and processes, of the time to adopt a new version,
/// and the largest number of hops. One process reads the version from the platform; the others get
/// it from their peers.
fn spread_s(run: &mut SpreadRun, nodes: usize, text: &OperatorText) -> (f64, f64) {
    let mut times: Vec<Duration> = Vec::new();
    let mut hops = 0;
    for change in 0..CHANGES {
        let version = 10 + change;
        let source = usize::try_from(change).unwrap_or(0) * 7 % nodes;
        let started = run.now();
        run.inject(source, ExchangeEvent::Stored(sample_version(version, text)));
        let limit = Duration::from_secs(30);
        run.run_until(limit, |run| {
            run.versions().iter().all(|found| *found >= version)
        });
        for node in 0..nodes {
            // A process that did not get the version counts with the limit.
            let reached = run.versions()[node] >= version;
            let time = run.adopted_at(node).saturating_sub(started);
            times.push(if reached { time } else { limit });
        }
        hops = hops.max(run.hops().iter().copied().max().unwrap_or(0));
        run.run_for(Duration::from_secs(1));
    }
    times.sort();
    let p99 = times[(times.len() - 1) * 99 / 100];
    (p99.as_secs_f64(), f64::from(hops))
}

/// Bytes of one group in a view, from the growth of resident memory; adds the copies to `copies`.
fn view_bytes_per_group(
    groups: usize,
    failure_domains: usize,
    copies: &mut Vec<ClusterView>,
) -> f64 {
    let mut view = ClusterView::default();
    for group in 0..groups {
        view.merge_group(sample_group(group % failure_domains, group, 8, 1));
    }
    copies.reserve(VIEW_COPIES);
    let before = resident_bytes();
    for _ in 0..VIEW_COPIES {
        copies.push(view.clone());
    }
    let growth = resident_bytes().saturating_sub(before);
    to_f64(growth) / to_f64((VIEW_COPIES * groups) as u64)
}

/// Resident memory of this process; 0 when it is not readable.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    for line in status.lines() {
        let Some(rest) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let kilobytes = rest.trim().trim_end_matches(" kB");
        return kilobytes.parse::<u64>().unwrap_or(0) * 1_024;
    }
    0
}

#[expect(clippy::cast_precision_loss)] // counts stay far below 2^52
fn to_f64(count: u64) -> f64 {
    count as f64
}
