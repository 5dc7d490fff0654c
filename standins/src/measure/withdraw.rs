use {
    super::{Figure, percentile, run_until_stopped},
    crate::{
        backend::BackendFault,
        deploy::{Deployment, DeploymentPlan, Result, wait_until},
    },
    serde_json::from_value,
    std::time::{Duration, Instant},
    toucanring::{
        adapters::ProcessRuntime,
        core::view::ClusterView,
        wire::{GroupState, ProcessRole},
    },
};

/// Number of times that a member is killed.
const KILLS: usize = 20;

/// Members of the group. There is a spare instance for each kill: killed instances do not return,
/// because an instance that returned after every kill would count as flapping.
const SPAN: usize = 4;

/// Longest wait for a withdrawal or a repair. A repair that takes longer fails the measurement; a
/// withdrawal that takes longer counts with this time.
const MAX_CHANGE_WAIT: Duration = Duration::from_secs(30);

/// Measures the time from the kill of a member until an observer sees that its group no longer
/// serves. The observer is a process that only takes part in the exchange.
///
/// # Errors
/// Returns the error of the first step that fails.
pub fn withdraw() -> Result<Vec<Figure>> {
    run_until_stopped(async {
        let deployment = Deployment::start(DeploymentPlan {
            model_instances: SPAN + KILLS,
            span: u32::try_from(SPAN).unwrap_or(u32::MAX),
            ..DeploymentPlan::default()
        })
        .await?;
        let peers = deployment.peer_addresses();
        let platform = deployment.platform_address;
        let settings = deployment
            .plan
            .process_settings("observer", "d0", platform, &peers);
        let settings = from_value(settings).map_err(std::io::Error::from)?;
        let node = ProcessRuntime::start(&settings, ProcessRole::Gateway).await;
        let node = node.map_err(std::io::Error::other)?;
        let mut times = Vec::with_capacity(KILLS);
        for number in 0..KILLS {
            let condition = format!("group serves before kill {number}");
            wait_until(&condition, MAX_CHANGE_WAIT, || async {
                has_serving_group(&node.view.borrow()).then_some(())
            })
            .await?;
            let instance = serving_member(&node.view.borrow(), number % SPAN);
            let started = Instant::now();
            deployment.fault(&instance, BackendFault::Die).await?;
            let mut view = node.view.clone();
            let change = view.wait_for(|view| !has_serving_group(view));
            let change = tokio::time::timeout(MAX_CHANGE_WAIT, change).await;
            if change.is_err() {
                eprintln!("no withdrawal within {MAX_CHANGE_WAIT:?} after kill {number}");
            }
            times.push(started.elapsed().as_secs_f64() * 1_000.0);
        }
        let value = percentile(&mut times, 0.99);
        Ok(vec![Figure::new("groups.withdraw_ms_p99", value, "ms")])
    })
}

/// Instance name of the member with this rank in the serving group; empty when no group serves.
fn serving_member(view: &ClusterView, rank: usize) -> String {
    let mut groups = view.groups.values();
    let group = groups.find(|group| group.state == GroupState::Serving);
    group.map_or_else(String::new, |group| group.members[rank].instance.clone())
}

/// Returns whether any group serves.
fn has_serving_group(view: &ClusterView) -> bool {
    let mut groups = view.groups.values();
    groups.any(|group| group.state == GroupState::Serving)
}
