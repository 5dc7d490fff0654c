//! One request that crashes each server which runs it, sent to as few servers as it has attempts,
//! and sound requests beside lost failure domains, in virtual time.

mod crash_fixtures;

use {
    crash_fixtures::{CrashCounts, CrashLoad, RepeatedRequest, play},
    rstest::rstest,
    std::time::Duration,
};

/// Sends that may follow later than the settling time after the third crash.
const MAX_LATE_SENDS: usize = 3;

const SEEDS: std::ops::Range<u64> = 1..4;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn repeated_load(servers: usize, request: RepeatedRequest) -> CrashLoad {
    CrashLoad {
        servers,
        rate: 18.0,
        deadly_share: 0.0,
        repeated: Some(request),
        end: Duration::from_secs(40),
        deadly: (Duration::from_secs(4), Duration::from_secs(36)),
        ..CrashLoad::default()
    }
}

/// The load of each request with each seed.
fn seeded_loads(servers: usize, requests: &[RepeatedRequest]) -> Vec<CrashLoad> {
    let mut loads = Vec::new();
    for request in requests {
        for seed in SEEDS {
            loads.push(CrashLoad {
                seed,
                ..repeated_load(servers, request.clone())
            });
        }
    }
    loads
}

/// What broke in a run: too many late sends, or more than a few sound requests refused.
fn broken_promise(load: &CrashLoad, counts: &CrashCounts) -> Option<String> {
    let is_rare = counts.sound_refused * 100 <= counts.sound_arrivals;
    if counts.late_sends <= MAX_LATE_SENDS && is_rare {
        return None;
    }
    let (servers, seed) = (load.servers, load.seed);
    let request = load.repeated.as_ref();
    Some(format!(
        "{servers} servers, {request:?}, seed {seed}: {counts:?}"
    ))
}

/// Plays the loads; panics with all runs in which a promise broke.
fn assert_stopped(loads: &[CrashLoad]) {
    let mut broken = Vec::new();
    for load in loads {
        broken.extend(broken_promise(load, &play(load.clone())));
    }
    let (count, runs) = (broken.len(), loads.len());
    assert!(
        broken.is_empty(),
        "{count} of {runs} runs:\n{}",
        broken.join("\n")
    );
}

/// Guards against a request that goes on crashing all servers, wave after wave, since the crashes of
/// a wave count as one (BUDGET on campanari-rete, issue 32).
#[rstest]
fn a_request_that_crashes_few_servers_at_once_is_stopped(#[values(1, 2, 3, 6)] servers: usize) {
    assert_stopped(&seeded_loads(servers, &repeated_requests()));
}

/// Callers that come once to three times, alone or three at a time, whose request crashes a server
/// soon or late.
fn repeated_requests() -> Vec<RepeatedRequest> {
    let mut requests = Vec::new();
    for (visits, copies) in [(1, 1), (2, 1), (3, 1), (1, 2), (2, 2), (1, 3), (3, 3)] {
        for run in [20, 60, 140, 200, 450] {
            for pause in [100, 700, 1_500, 3_050, 3_450, 8_000] {
                requests.push(RepeatedRequest {
                    visits,
                    copies,
                    pause: millis(pause),
                    run: millis(run),
                    was_sound: false,
                    is_part: false,
                });
            }
        }
    }
    requests
}

/// Guards against a verdict that never comes for a request that was sound until shortly before.
#[rstest]
fn a_request_that_begins_to_crash_servers_is_stopped(#[values(1, 2, 3, 6)] servers: usize) {
    let mut requests = repeated_requests();
    requests.retain(|request| request.copies == 1);
    for request in &mut requests {
        request.was_sound = true;
    }

    assert_stopped(&seeded_loads(servers, &requests));
}

/// Guards against a part of prompts that goes on crashing all servers, wave after wave, with another
/// request each time.
#[rstest]
fn a_part_that_crashes_few_servers_at_once_is_stopped(#[values(1, 2, 3, 6)] servers: usize) {
    let mut requests = repeated_requests();
    for request in &mut requests {
        request.is_part = true;
    }

    assert_stopped(&seeded_loads(servers, &requests));
}

/// Guards against a verdict that needs all nodes to have run since the first crash, or a network
/// without loss, or few nodes.
#[rstest]
#[case::many_gateways(90, 0.02, None, None)]
#[case::lossy_network(6, 0.3, None, None)]
#[case::rolled_nodes(6, 0.02, Some(5), None)]
#[case::lost_domain(6, 0.02, None, Some(5))]
#[case::lost_domain_and_rolled_nodes(6, 0.1, Some(5), Some(5))]
fn a_repeated_request_is_stopped_beside_other_trouble(
    #[case] gateways: usize,
    #[case] loss: f64,
    #[case] rolled_at_s: Option<u64>,
    #[case] crash_interval_s: Option<u64>,
) {
    let mut loads = Vec::new();
    for (servers, visits) in [(3, 1), (3, 2), (9, 1), (9, 2)] {
        let request = RepeatedRequest {
            visits,
            copies: 1,
            pause: millis(3_450),
            run: millis(60),
            was_sound: false,
            is_part: false,
        };
        loads.push(CrashLoad {
            gateways,
            loss,
            rolled_at: rolled_at_s.map(Duration::from_secs),
            crash_interval: crash_interval_s.map(Duration::from_secs),
            crash_share: 0.34,
            ..repeated_load(servers, request)
        });
    }

    assert_stopped(&loads);
}

/// Guards against a sound request that is blocked since copies of it waited at several servers when
/// these were lost together, or one after the other.
#[rstest]
fn lost_servers_block_hardly_a_request_that_comes_often(
    #[values(3, 12)] servers: usize,
    #[values(0, 40, 120, 400)] spread_ms: u64,
) {
    let mut loads = Vec::new();
    for (interval_ms, share) in [(300, 0.08), (400, 0.15), (1_500, 0.5), (8_000, 1.0)] {
        for count in [1, 5, 40] {
            for seed in SEEDS {
                loads.push(CrashLoad {
                    servers,
                    parts: 40,
                    deadly_share: 0.0,
                    sound_requests: Some(count),
                    crash_interval: Some(millis(interval_ms)),
                    crash_share: share,
                    crash_spread: millis(spread_ms),
                    seed,
                    ..CrashLoad::default()
                });
            }
        }
    }

    assert_stopped(&loads);
}
