use {
    super::{
        CapacitySlope, Figure,
        capacity_fixture::{configuration, group, text},
        capacity_mesh::CapacityMesh,
        capacity_timing::time_us,
        percentile,
    },
    std::{hint::black_box, time::Duration},
    toucanring::{
        core::view::{ExchangeEvent, LocalUpdate, PeerExchange},
        wire::GroupState,
    },
};

/// Numbers of processes, 18 of them controllers and the others gateways.
const SIZES: [u32; 5] = [34, 68, 136, 272, 408];
const DESIGN_PROCESSES: f64 = 408.0;

/// Virtual time in which all processes learn of each other.
const WARM_UP: Duration = Duration::from_secs(30);

/// Virtual time over which traffic is counted.
const COUNTING_TIME: Duration = Duration::from_secs(10);

/// Virtual time over which traffic is counted with some messages switched off.
const PARTIAL_COUNTING_TIME: Duration = Duration::from_secs(5);

/// Longest wait for a change to reach every process, in virtual time; a slower change counts with
/// this value.
const MAX_SPREAD: Duration = Duration::from_mins(1);

/// Names and units of the values that [`measure`] returns, in the same order.
const NAMES: [(&str, &str); 12] = [
    ("capacity.peers.sent_bytes_per_s", "B/s"),
    ("capacity.peers.sent_bytes_per_s_without_usage", "B/s"),
    ("capacity.peers.sent_bytes_per_s_rounds_only", "B/s"),
    ("capacity.peers.received_datagrams_per_s", "1/s"),
    ("capacity.peers.datagram_us", "us"),
    ("capacity.peers.core_percent", "%"),
    ("capacity.peers.publishes_per_s", "1/s"),
    ("capacity.peers.view_clone_us", "us"),
    ("capacity.peers.heartbeat_age_s_p95", "s"),
    ("capacity.peers.controller_age_s_p999", "s"),
    ("capacity.peers.config_spread_s", "s"),
    ("capacity.peers.group_spread_s", "s"),
];

/// Measures traffic, processor time and delays of the exchange between processes.
pub(super) fn capacity_peers() -> Vec<Figure> {
    let mut points = vec![Vec::new(); NAMES.len()];
    for size in SIZES {
        for (line, value) in points.iter_mut().zip(measure(size)) {
            line.push((f64::from(size), value));
        }
    }
    let mut figures = Vec::new();
    for ((name, unit), points) in NAMES.into_iter().zip(points) {
        let line = CapacitySlope::fit(points);
        figures.extend(line.figures(name, unit, DESIGN_PROCESSES));
    }
    figures
}

/// Measures one size; returns the values in the order of [`NAMES`].
#[allow(clippy::cast_precision_loss)] // counts are far below 2^52
fn measure(processes: u32) -> [f64; 12] {
    let mut mesh = CapacityMesh::new(processes, 90);
    mesh.run(WARM_UP);
    let before = mesh.counts;
    mesh.run(COUNTING_TIME);
    let counts = mesh.counts;
    let per_s = 1.0 / (f64::from(processes) * COUNTING_TIME.as_secs_f64());
    let datagrams = (counts.datagrams - before.datagrams) as f64;
    let receive_s = counts
        .receive_time
        .saturating_sub(before.receive_time)
        .as_secs_f64();
    let step_s = counts
        .step_time
        .saturating_sub(before.step_time)
        .as_secs_f64();
    let clone_us = time_us(20, |_| {
        black_box(mesh.nodes[0].view().clone());
    });
    let age = heartbeat_age_s(&mesh);
    let controller_age = controller_age_s(&mesh);
    mesh.sends_usage = false;
    let without_usage = sent_bytes_per_s(&mut mesh);
    mesh.sends_heartbeats = false;
    let rounds_only = sent_bytes_per_s(&mut mesh);
    [
        (counts.datagram_bytes - before.datagram_bytes) as f64 * per_s,
        without_usage,
        rounds_only,
        datagrams * per_s,
        receive_s * 1e6 / datagrams,
        step_s * per_s * 100.0,
        (counts.publishes - before.publishes) as f64 * per_s,
        clone_us,
        age,
        controller_age,
        config_spread_s(&mut mesh),
        group_spread_s(&mut mesh),
    ]
}

/// Bytes that one process sends per second.
#[allow(clippy::cast_precision_loss)] // counts are far below 2^52
fn sent_bytes_per_s(mesh: &mut CapacityMesh) -> f64 {
    let before = mesh.counts.datagram_bytes;
    mesh.run(PARTIAL_COUNTING_TIME);
    let bytes = (mesh.counts.datagram_bytes - before) as f64;
    bytes / (mesh.nodes.len() as f64 * PARTIAL_COUNTING_TIME.as_secs_f64())
}

/// 95th percentile of the age of the newest heartbeat that one process has of another.
fn heartbeat_age_s(mesh: &CapacityMesh) -> f64 {
    let mut ages = Vec::new();
    for node in &mesh.nodes {
        for record in node.view().peers.values() {
            ages.push(mesh.now.saturating_sub(record.received_at).as_secs_f64());
        }
    }
    percentile(&mut ages, 0.95)
}

/// 99.9th percentile of the age of the newest heartbeat that a process has of a lease holder.
fn controller_age_s(mesh: &CapacityMesh) -> f64 {
    let mut ages = Vec::new();
    for node in &mesh.nodes {
        for record in node.view().controllers.values() {
            ages.push(mesh.now.saturating_sub(record.received_at).as_secs_f64());
        }
    }
    percentile(&mut ages, 0.999)
}

/// Time from a lease holder suspending a group until all processes know; at most [`MAX_SPREAD`].
fn group_spread_s(mesh: &mut CapacityMesh) -> f64 {
    let started = mesh.now;
    let mut entry = group(0, 8);
    entry.version.sequence = 1_000_000;
    entry.state = GroupState::Suspended;
    let update = LocalUpdate::Groups(vec![entry.clone()]);
    mesh.push(0, ExchangeEvent::Local(update));
    while mesh.now < started + MAX_SPREAD {
        mesh.run(Duration::from_millis(100));
        let known = |node: &PeerExchange| node.view().groups.get(&entry.id) == Some(&entry);
        if mesh.nodes.iter().all(known) {
            break;
        }
    }
    mesh.now.saturating_sub(started).as_secs_f64()
}

/// Time from one process learning a configuration until all processes have it from their peers, as
/// in an outage of the platform; at most [`MAX_SPREAD`].
fn config_spread_s(mesh: &mut CapacityMesh) -> f64 {
    let started = mesh.now;
    let newer = configuration(2, text(84, 10));
    mesh.push(0, ExchangeEvent::Stored(newer));
    while mesh.now < started + MAX_SPREAD {
        mesh.run(Duration::from_millis(100));
        let known_by_all = mesh
            .nodes
            .iter()
            .all(|node| node.view().config_version() == 2);
        if known_by_all {
            break;
        }
    }
    mesh.now.saturating_sub(started).as_secs_f64()
}
