use {
    super::{FakeWorld, WorldFault},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Schedules random faults, drawn from the seed, between `start` and `end`: one instance fault for
/// each failure domain and each 40 s, three controller faults, and sometimes faults of a fabric
/// domain and of the platform. Their times are independent, so that faults can overlap; about one
/// in ten begins a second time within 10 s.
pub fn seeded_faults(world: &mut FakeWorld, seed: u64, start: Duration, end: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let window_s = end.saturating_sub(start).as_secs();
    let domains = u64::try_from(world.text.failure_domains.len()).unwrap_or(1);
    let mut faults = Vec::new();
    for _ in 0..window_s * domains / 40 {
        let instance = rng.random_range(0..world.instances.len());
        let fault = match rng.random_range(0..10) {
            0..4 => WorldFault::Die(instance, random_time(&mut rng, 5, 120)),
            4..7 => WorldFault::Pause(instance, random_time(&mut rng, 1, 15)),
            7 => WorldFault::Straggle(instance, random_time(&mut rng, 10, 60)),
            8 => WorldFault::Impersonate(instance),
            _ => WorldFault::Leave(instance, random_time(&mut rng, 20, 60)),
        };
        faults.push(fault);
    }
    if rng.random_bool(0.3) {
        let domain =
            &world.text.failure_domains[rng.random_range(0..world.text.failure_domains.len())];
        let fabric = &domain.fabric_domains[rng.random_range(0..domain.fabric_domains.len())];
        faults.push(WorldFault::FabricDown(
            fabric.clone(),
            random_time(&mut rng, 10, 60),
        ));
    }
    if rng.random_bool(0.6) {
        faults.push(WorldFault::PlatformOut(random_time(&mut rng, 5, 60)));
    }
    if rng.random_bool(0.6) {
        faults.push(WorldFault::LoseAnswers(random_time(&mut rng, 2, 20)));
    }
    if rng.random_bool(0.4) {
        faults.push(WorldFault::SlowCommits(random_time(&mut rng, 2, 10)));
    }
    for _ in 0..3 {
        let node = rng.random_range(0..world.nodes.len());
        faults.push(match rng.random_range(0..4) {
            0 | 1 => WorldFault::PauseNode(node, random_time(&mut rng, 1, 20)),
            2 => WorldFault::CutNode(node, random_time(&mut rng, 5, 30)),
            _ => WorldFault::SlowOrders(
                node,
                Duration::from_millis(1_800),
                random_time(&mut rng, 5, 30),
            ),
        });
    }
    for fault in faults {
        let at = start + Duration::from_millis(rng.random_range(0..window_s * 1_000));
        if rng.random_bool(0.1) {
            let repeated_at = at + random_time(&mut rng, 0, 10);
            world.fault(repeated_at, fault.clone());
        }
        world.fault(at, fault);
    }
}

fn random_time(rng: &mut ChaCha8Rng, min_s: u64, max_s: u64) -> Duration {
    Duration::from_millis(rng.random_range(min_s * 1_000..max_s * 1_000))
}
