use {
    super::{Figure, requests_chaos::run_chaos, requests_load::LoadState},
    crate::{
        backend::EngineSettings,
        deploy::{Deployment, DeploymentPlan, Result},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Number of requests in a run, without resends.
const REQUESTS: u64 = 20_000;

/// Number of callers, each of which sends one request at a time.
const CALLERS: u64 = 64;

/// Counts requests that were answered wrongly, run twice, refused as not run although they ran, or
/// cut off without an error, under faults.
///
/// The callers send to six gateways, which are real processes on loopback. Each backend stand-in
/// records the requests that it runs, independently of the gateways.
///
/// # Errors
/// See [`crate::deploy::DeployError`].
pub async fn count_faults(seed: u64) -> Result<Vec<Figure>> {
    let plan = DeploymentPlan {
        failure_domains: 3,
        model_instances: 5,
        span: 2,
        groups: 2,
        gateways: 2,
        controllers: 1,
        engine: EngineSettings {
            step_ms: 4.0,
            plain_ms: 10,
            ..EngineSettings::default()
        },
        ..DeploymentPlan::default()
    };
    let mut deployment = Deployment::start(plan).await?;
    let state = Arc::new(LoadState::new(&deployment, REQUESTS, seed));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let state = Arc::clone(&state);
        callers.push(tokio::spawn(
            async move { state.call_until_done(caller).await },
        ));
    }
    run_chaos(&mut deployment, &state, seed).await?;
    for caller in callers {
        let _ = caller.await;
    }
    // Waits for requests that still run after their caller gave up, so that they are counted.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let list = deployment.runs(None).await?;
    let mut by_key: HashMap<String, u32> = HashMap::new();
    let mut by_digest: HashMap<u64, u32> = HashMap::new();
    for run in &list.runs {
        if let Some(key) = &run.key {
            *by_key.entry(key.clone()).or_default() += 1;
        } else {
            *by_digest.entry(run.digest).or_default() += 1;
        }
    }
    let counts = state.counts();
    let double_runs = by_key.values().filter(|runs| **runs > 1).count();
    let false_keys = counts.not_run_keys.iter();
    let false_digests = counts.not_run_digests.iter();
    let false_not_run = false_keys.filter(|key| by_key.contains_key(*key)).count()
        + false_digests
            .filter(|digest| by_digest.contains_key(*digest))
            .count();
    let figure = |name: &str, value: u64| {
        #[allow(clippy::cast_precision_loss)]
        Figure::new(&format!("requests.{name}"), value as f64, "requests")
    };
    let refused = counts.not_run_keys.len() + counts.not_run_digests.len();
    Ok(vec![
        figure("wrong_answers", counts.wrong_answers),
        figure("double_runs", double_runs as u64),
        figure("false_not_run", false_not_run as u64),
        figure("silently_cut", counts.silently_cut),
        figure("sent", counts.sent),
        figure("completed", counts.completed),
        figure("refused_not_run", refused as u64),
        figure("ended_with_error", counts.ended_with_error),
        figure("connections_broken", counts.broken_connections),
    ])
}
