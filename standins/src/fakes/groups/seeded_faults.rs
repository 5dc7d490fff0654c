use {
    super::{FakeWorld, WorldFault},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Schedules a random history of faults between `start` and `end`: about one
/// instance fault for each failure domain and 40 s, and rarer faults of fabric
/// domains, the platform and the controllers, at any moment, together or twice.
pub fn seeded_faults(world: &mut FakeWorld, seed: u64, start: Duration, end: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let span_s = end.saturating_sub(start).as_secs();
    let domains = u64::try_from(world.text.failure_domains.len()).unwrap_or(1);
    let mut faults = Vec::new();
    for _ in 0..span_s * domains / 40 {
        let instance = rng.random_range(0..world.instances.len());
        let fault = match rng.random_range(0..10) {
            0..4 => WorldFault::Die(instance, seconds(&mut rng, 5, 120)),
            4..7 => WorldFault::Pause(instance, seconds(&mut rng, 1, 15)),
            7 => WorldFault::Straggle(instance, seconds(&mut rng, 10, 60)),
            8 => WorldFault::Impersonate(instance),
            _ => WorldFault::Leave(instance, seconds(&mut rng, 20, 60)),
        };
        faults.push(fault);
    }
    if rng.random_bool(0.3) {
        let domain =
            &world.text.failure_domains[rng.random_range(0..world.text.failure_domains.len())];
        let fabric = &domain.fabric_domains[rng.random_range(0..domain.fabric_domains.len())];
        faults.push(WorldFault::FabricDown(
            fabric.clone(),
            seconds(&mut rng, 10, 60),
        ));
    }
    if rng.random_bool(0.6) {
        faults.push(WorldFault::PlatformOut(seconds(&mut rng, 5, 60)));
    }
    if rng.random_bool(0.6) {
        faults.push(WorldFault::LoseAnswers(seconds(&mut rng, 2, 20)));
    }
    if rng.random_bool(0.4) {
        faults.push(WorldFault::SlowCommits(seconds(&mut rng, 2, 10)));
    }
    for _ in 0..3 {
        let node = rng.random_range(0..world.nodes.len());
        faults.push(match rng.random_range(0..4) {
            0 | 1 => WorldFault::PauseNode(node, seconds(&mut rng, 1, 20)),
            2 => WorldFault::CutNode(node, seconds(&mut rng, 5, 30)),
            _ => {
                WorldFault::SlowOrders(node, Duration::from_millis(1_800), seconds(&mut rng, 5, 30))
            }
        });
    }
    for fault in faults {
        let at = start + Duration::from_millis(rng.random_range(0..span_s * 1_000));
        if rng.random_bool(0.1) {
            let again = at + seconds(&mut rng, 0, 10);
            world.fault(again, fault.clone());
        }
        world.fault(at, fault);
    }
}

fn seconds(rng: &mut ChaCha8Rng, least: u64, most: u64) -> Duration {
    Duration::from_millis(rng.random_range(least * 1_000..most * 1_000))
}
