use {
    super::requests_load::LoadState,
    crate::{
        backend::BackendFault,
        deploy::{Deployment, Result},
        platform::FaultChange,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{sync::PoisonError, time::Duration},
};

/// Number of fault kinds that [`inject`] knows.
const FAULT_KINDS: u32 = 9;

/// Injects faults until all requests have been started; the kinds take turns, and the seed decides
/// the targets and pauses.
///
/// # Errors
/// See [`crate::deploy::DeployError`].
pub async fn run_chaos(deployment: &mut Deployment, state: &LoadState, seed: u64) -> Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut round = 0;
    while !state.all_started() {
        pause(rng.random_range(200..600)).await;
        inject(deployment, state, round % FAULT_KINDS, &mut rng).await?;
        round += 1;
    }
    eprintln!("{round} faults injected");
    Ok(())
}

/// Injects one fault and, where the fault does not pass by itself, ends it after a pause.
async fn inject(
    deployment: &mut Deployment,
    state: &LoadState,
    kind: u32,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    let model_instances: Vec<String> = instances_with(deployment, "-m");
    let plain_instances: Vec<String> = instances_with(deployment, "-p");
    let model_instance = &model_instances[rng.random_range(0..model_instances.len())];
    let plain_instance = &plain_instances[rng.random_range(0..plain_instances.len())];
    match kind {
        0 => return restart_gateway(deployment, state, rng).await,
        1 => {
            let gateway = rng.random_range(0..deployment.gateways.len());
            deployment.gateways[gateway].process.signal("STOP")?;
            pause(700).await;
            deployment.gateways[gateway].process.signal("CONT")?;
        }
        2 => {
            deployment.fault(model_instance, BackendFault::Die).await?;
            pause(800).await;
            deployment
                .fault(model_instance, BackendFault::Return)
                .await?;
        }
        3 => {
            deployment
                .fault(model_instance, BackendFault::Silence)
                .await?;
            deployment
                .fault(plain_instance, BackendFault::Silence)
                .await?;
        }
        4 => {
            deployment
                .fault(model_instance, BackendFault::Pause)
                .await?;
            pause(600).await;
            deployment
                .fault(model_instance, BackendFault::Resume)
                .await?;
        }
        5 => {
            for instance in &model_instances {
                deployment
                    .fault(instance, BackendFault::LateChunks(10))
                    .await?;
                deployment
                    .fault(instance, BackendFault::OutOfOrder(2))
                    .await?;
            }
        }
        6 => {
            deployment
                .fault(plain_instance, BackendFault::LoseAnswers(5))
                .await?;
        }
        7 => {
            let outage = |on| FaultChange {
                outage: Some(on),
                ..FaultChange::default()
            };
            deployment.change_platform_faults(&outage(true)).await?;
            // Longer than a gateway waits for a claim.
            pause(2_800).await;
            deployment.change_platform_faults(&outage(false)).await?;
        }
        _ => {
            let change = FaultChange {
                lost_answers: Some(10),
                delay_ms: Some(100),
                ..FaultChange::default()
            };
            deployment.change_platform_faults(&change).await?;
            pause(500).await;
            let change = FaultChange {
                delay_ms: Some(0),
                ..FaultChange::default()
            };
            deployment.change_platform_faults(&change).await?;
        }
    }
    Ok(())
}

/// Kills a gateway, starts another one in its failure domain and gives its address to the callers.
async fn restart_gateway(
    deployment: &mut Deployment,
    state: &LoadState,
    rng: &mut ChaCha8Rng,
) -> Result<()> {
    let index = rng.random_range(0..deployment.gateways.len());
    let mut killed = deployment.gateways.remove(index);
    killed.process.kill();
    let name_parts: Vec<&str> = killed.name.split("-gateway").collect();
    let domain = name_parts[0].to_owned();
    let number: usize = name_parts[1].parse().unwrap_or(0);
    pause(200).await;
    deployment.start_gateway(&domain, number + 2)?;
    let addresses = deployment.gateways.iter().map(|node| node.address);
    let mut gateways = state
        .gateways
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    *gateways = addresses.collect();
    Ok(())
}

/// Names of the instances whose name contains `part`; `-m` stands for model instances and `-p` for
/// servers of plain services.
fn instances_with(deployment: &Deployment, part: &str) -> Vec<String> {
    let names = deployment.addresses.keys();
    names.filter(|name| name.contains(part)).cloned().collect()
}

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
