use {
    super::{Figure, requests_policy::quantile},
    crate::fakes::requests::{WorldPlan, healthy_cluster_view},
    std::time::{Duration, Instant},
    toucanring::core::routing::{GroupRouter, PickRequest},
};

/// Number of picks that are timed for each number of groups.
const PICKS: u64 = 50_000;

/// Number of distinct prompt prefixes.
const PREFIXES: u64 = 500;

/// Measures the real time to pick a group at four sizes, with the load of 1,500 requests per second
/// recorded in virtual time.
#[must_use]
pub fn pick_times() -> Vec<Figure> {
    let mut figures = Vec::new();
    for groups in [30, 90, 270, 810] {
        let p99 = pick_p99_us(groups);
        let name = if groups == 90 {
            "requests.pick_us_p99".to_owned()
        } else {
            format!("requests.pick_us_p99_{groups}_groups")
        };
        figures.push(Figure::new(&name, p99, "us"));
    }
    figures
}

/// 99th percentile of the time of a pick, in microseconds. Each picked request runs for 1 s.
fn pick_p99_us(groups: usize) -> f64 {
    let mut plan = WorldPlan::at_load(0.5, 1);
    plan.groups = groups;
    let mut now = Duration::from_secs(1);
    let view = healthy_cluster_view(&plan, now);
    let mut router = GroupRouter::new("d0");
    router.apply(now, &view);
    let mut samples = Vec::new();
    let mut running = std::collections::VecDeque::new();
    for number in 0..PICKS {
        now += Duration::from_nanos(666_667);
        let request = PickRequest {
            service: "chat",
            tokens: 800,
            prefix: number % PREFIXES,
            tried: &[],
            needs_room: false,
        };
        let started = Instant::now();
        let picked = router.pick(now, &request);
        samples.push(started.elapsed().as_secs_f64() * 1e6);
        let Some(picked) = picked else {
            continue;
        };
        router.record_sent(now, picked.key, 800, number % PREFIXES);
        running.push_back((now + Duration::from_secs(1), picked));
        while running.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, ended)) = running.pop_front() else {
                break;
            };
            let run_time = Some(Duration::from_secs(1));
            router.record_ended(now, ended.key, ended.epoch, run_time);
        }
    }
    quantile(&mut samples, 0.99)
}
