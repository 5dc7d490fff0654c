use {
    super::{Figure, percentile, run_until_stopped},
    crate::{
        backend::BackendFault,
        deploy::{Deployment, DeploymentPlan, Result, wait_until},
    },
    serde_json::from_value,
    std::time::{Duration, Instant},
    toucanring::{
        adapters::NodeRuntime,
        core::view::ClusterView,
        wire::{GroupState, ProcessRole},
    },
};

/// Kills of a member.
const KILLS: usize = 20;

/// Members of the group; each kill uses up one of the spare instances, since
/// an instance that returns after every kill counts as flapping.
const SPAN: usize = 4;

/// Longest wait for a withdrawal or repair before the measurement fails.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);

/// Measures the time from the kill of a member until its group is shown as out
/// of service to a process that only listens to the exchange.
///
/// # Errors
/// The first step of a deployment that failed.
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
        let node = NodeRuntime::start(&settings, ProcessRole::Gateway).await;
        let node = node.map_err(std::io::Error::other)?;
        let mut times = Vec::with_capacity(KILLS);
        for number in 0..KILLS {
            let what = format!("group serves before kill {number}");
            wait_until(&what, CHANGE_LIMIT, || async {
                serves(&node.view.borrow()).then_some(())
            })
            .await?;
            let instance = member(&node.view.borrow(), number % SPAN);
            let started = Instant::now();
            deployment.fault(&instance, BackendFault::Die).await?;
            let mut view = node.view.clone();
            let change = view.wait_for(|view| !serves(view));
            let change = tokio::time::timeout(CHANGE_LIMIT, change).await;
            if change.is_err() {
                eprintln!("no withdrawal within {CHANGE_LIMIT:?} after kill {number}");
            }
            times.push(started.elapsed().as_secs_f64() * 1_000.0);
        }
        let value = percentile(&mut times, 0.99);
        Ok(vec![Figure::new("groups.withdraw_ms_p99", value, "ms")])
    })
}

/// Name of the serving group's member of this rank.
fn member(view: &ClusterView, rank: usize) -> String {
    let mut groups = view.groups.values();
    let group = groups.find(|group| group.state == GroupState::Serving);
    group.map_or_else(String::new, |group| group.members[rank].instance.clone())
}

fn serves(view: &ClusterView) -> bool {
    let mut groups = view.groups.values();
    groups.any(|group| group.state == GroupState::Serving)
}
