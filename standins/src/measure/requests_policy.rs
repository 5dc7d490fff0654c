use {
    super::Figure,
    crate::{
        fakes::requests::{DispatchPort, RequestWorld, WorldFault, WorldOutcome, WorldPlan},
        naive::NaiveDispatcher,
    },
    std::time::Duration,
    toucanring::core::dispatch::RequestDispatcher,
};

/// Creates one real request dispatcher for each gateway of the plan, in three failure domains.
#[must_use]
pub fn real_dispatch_ports(plan: &WorldPlan) -> Vec<DispatchPort> {
    let port = |number: usize| {
        let name = format!("gateway{number}");
        let domain = format!("d{}", number % 3);
        let mut dispatcher = RequestDispatcher::new(&name, &domain, plan.seed + number as u64);
        DispatchPort {
            step: Box::new(move |now, event, out| dispatcher.step(now, event, out)),
        }
    };
    (0..plan.gateways).map(port).collect()
}

/// Creates one naive dispatcher for each gateway of the plan.
#[must_use]
pub fn naive_dispatch_ports(plan: &WorldPlan) -> Vec<DispatchPort> {
    let port = |_| {
        let mut dispatcher = NaiveDispatcher::default();
        DispatchPort {
            step: Box::new(move |now, event, out| dispatcher.step(now, event, out)),
        }
    };
    (0..plan.gateways).map(port).collect()
}

/// Weight per second of the requests that arrived after the warm-up and completed, with their first
/// token before its deadline.
#[must_use]
pub fn weight_per_s(plan: &WorldPlan, outcome: &WorldOutcome) -> f64 {
    let counted = outcome
        .records
        .iter()
        .filter(|record| record.arrived > plan.warm_up && record.completed());
    let weight: f64 = counted.map(|record| plan.kinds[record.kind].weight).sum();
    weight / plan.duration.saturating_sub(plan.warm_up).as_secs_f64()
}

/// Arrivals per second after the warm-up, by request kind.
fn arrivals_per_s(plan: &WorldPlan, outcome: &WorldOutcome) -> Vec<f64> {
    let mut counts = vec![0.0; plan.kinds.len()];
    for record in &outcome.records {
        if record.arrived > plan.warm_up {
            counts[record.kind] += 1.0;
        }
    }
    let seconds = plan.duration.saturating_sub(plan.warm_up).as_secs_f64();
    counts.iter().map(|count| count / seconds).collect()
}

fn run_real(plan: &WorldPlan) -> WorldOutcome {
    RequestWorld::new(plan.clone(), real_dispatch_ports(plan)).run()
}

fn run_naive(plan: &WorldPlan) -> WorldOutcome {
    RequestWorld::new(plan.clone(), naive_dispatch_ports(plan)).run()
}

/// Measures goodput at twice the capacity and, with faults, at 0.8 of it, and latencies at 0.8 of
/// it. All runs are in virtual time with fake engines.
#[must_use]
pub fn goodput(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    let overload = WorldPlan::at_load(2.0, seed);
    compare("", &overload, &mut figures);
    let mut straggler = WorldPlan::at_load(0.8, seed);
    straggler.faults = vec![(Duration::from_secs(5), WorldFault::Straggle(1, 4.0))];
    compare("_straggler", &straggler, &mut figures);
    let mut group_lost = WorldPlan::at_load(0.8, seed);
    group_lost.faults = vec![(Duration::from_secs(20), WorldFault::Lose(2))];
    compare("_group_lost", &group_lost, &mut figures);
    let mut both = WorldPlan::at_load(0.8, seed);
    both.faults = [straggler.faults, group_lost.faults].concat();
    compare("_straggler_and_loss", &both, &mut figures);
    latencies(seed, &mut figures);
    figures
}

/// Adds the goodput of the real dispatcher relative to the naive one and to the best that the
/// engines can do with the same arrivals.
fn compare(suffix: &str, plan: &WorldPlan, figures: &mut Vec<Figure>) {
    let outcome = run_real(plan);
    let real = weight_per_s(plan, &outcome);
    let naive = weight_per_s(plan, &run_naive(plan));
    let name = |name: &str| format!("requests.{name}{suffix}");
    figures.push(Figure::new(&name("goodput_ratio"), real / naive, "ratio"));
    let share = real / plan.best_weight_per_s(&arrivals_per_s(plan, &outcome));
    figures.push(Figure::new(&name("goodput_of_capacity"), share, "ratio"));
}

fn latencies(seed: u64, figures: &mut Vec<Figure>) {
    let plan = WorldPlan::at_load(0.8, seed);
    let outcome = run_real(&plan);
    let mut first_token_s: Vec<f64> = outcome
        .records
        .iter()
        .filter(|record| record.arrived > plan.warm_up)
        .filter_map(|record| {
            Some(
                record
                    .first_token?
                    .saturating_sub(record.arrived)
                    .as_secs_f64(),
            )
        })
        .collect();
    let mut token_gaps_ms = outcome.token_gaps_ms;
    let first = quantile(&mut first_token_s, 0.95);
    let gap = quantile(&mut token_gaps_ms, 0.95);
    figures.push(Figure::new("requests.first_token_s_p95", first, "s"));
    figures.push(Figure::new("requests.token_gap_ms_p95", gap, "ms"));
}

/// Measures, in virtual time, how many groups one crashing request takes down at most, and which
/// share of the other requests is answered completely.
#[must_use]
pub fn crashes(seed: u64) -> Vec<Figure> {
    let mut plan = WorldPlan::at_load(0.5, seed);
    plan.poison_interval = Some(500);
    let outcome = run_real(&plan);
    let crashing = outcome.records.iter().filter(|record| record.poison);
    let max_crashed = crashing.map(|record| record.crashed).max().unwrap_or(0);
    let harmless = outcome.records.iter().filter(|record| !record.poison);
    let (mut all, mut completed) = (0_u32, 0_u32);
    for record in harmless {
        all += 1;
        completed += u32::from(record.done.is_some());
    }
    vec![
        Figure::new(
            "requests.groups_lost_per_crashing_request",
            f64::from(max_crashed),
            "groups",
        ),
        Figure::new(
            "requests.completed_beside_crashes",
            f64::from(completed) / f64::from(all),
            "ratio",
        ),
    ]
}

/// Measures, in virtual time, which share of their completed requests the accounts lose when
/// another account sends ten times its limit through all gateways.
#[must_use]
pub fn account_share(seed: u64) -> Vec<Figure> {
    let mut calm = WorldPlan::at_load(0.8, seed);
    let fair = calm.rate() / 10.0;
    for account in &mut calm.accounts {
        account.limit = fair * 1.25;
    }
    let mut greedy = calm.clone();
    greedy.accounts[0].rate = calm.accounts[0].limit * 10.0;
    // Arrived and completed requests after the warm-up, by account.
    let count_by_account = |plan: &WorldPlan| {
        let outcome = run_real(plan);
        let mut counts = vec![(0.0_f64, 0.0_f64); plan.accounts.len()];
        for record in &outcome.records {
            if record.arrived <= plan.warm_up {
                continue;
            }
            counts[record.account].0 += 1.0;
            counts[record.account].1 += f64::from(u8::from(record.completed()));
        }
        counts
    };
    let (before, after) = (count_by_account(&calm), count_by_account(&greedy));
    let losses = before.iter().zip(&after).skip(1).map(|(before, after)| {
        let (before, after) = (before.1 / before.0, after.1 / after.0);
        (before - after) / before
    });
    let worst = losses.fold(0.0, f64::max);
    // Completed share of the requests of all accounts but the first, the greedy one.
    let completed_share = |counts: &[(f64, f64)]| {
        let (arrived, completed) = counts[1..]
            .iter()
            .fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        completed / arrived
    };
    let error = (completed_share(&before) - completed_share(&after)) / completed_share(&before);
    let figure = |name: &str, value| Figure::new(&format!("requests.{name}"), value, "ratio");
    vec![
        figure("account_share_error", error.max(0.0)),
        figure("account_share_error_worst_account", worst),
        figure("others_completed", completed_share(&after)),
    ]
}

/// Returns the sample whose rank is closest to the given quantile, from 0 to 1, and 0 without
/// samples; sorts the samples.
pub fn quantile(samples: &mut [f64], level: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    samples.sort_by(f64::total_cmp);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let index = ((samples.len() - 1) as f64 * level).round() as usize;
    samples[index]
}
