use {
    super::{Figure, cpu_seconds, percentile, resident_mb, run_until_stopped, wait_seconds},
    crate::{
        backend::EngineSettings,
        deploy::{
            CallerCall, Deployment, DeploymentPlan, EventStream, Result, chat_call, event_data,
        },
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Streams through each path in the comparison.
const COMPARED_STREAMS: usize = 500;

/// Tokens of a compared stream.
const COMPARED_TOKENS: u32 = 5;

/// Requests one after the other before the load; by their end the gateway has
/// a load report of the group, without which it refuses a burst.
const WARM_UP_REQUESTS: usize = 20;

/// Requests before the memory of the gateway is read.
const LOAD_REQUESTS: usize = 10_000;

/// Callers that send these requests, one at a time each.
const LOAD_CALLERS: usize = 100;

/// Streams open at the same time.
const OPEN_STREAMS: usize = 500;

/// Tokens of an open stream; longer than the whole measurement.
const OPEN_TOKENS: u32 = 100_000;

/// Times of one stream in milliseconds.
#[derive(Debug, Default)]
struct StreamTimes {
    first: Vec<f64>,
    gaps: Vec<f64>,
}

/// Measures what the gateway adds to the path of a request.
///
/// # Errors
/// The first step of a deployment that failed.
pub fn path() -> Result<Vec<Figure>> {
    run_until_stopped(async {
        eprintln!("path: compares {COMPARED_STREAMS} streams");
        let mut figures = compare_streams().await?;
        eprintln!("path: sends {LOAD_REQUESTS} requests");
        figures.extend(load_gateway().await?);
        Ok(figures)
    })
}

/// Sends the same streams through the gateway and straight to the lead instance, in turn.
async fn compare_streams() -> Result<Vec<Figure>> {
    let deployment = Deployment::start(plan(5.0)).await?;
    let gateway = deployment.gateways[0].address;
    let (lead, group, epoch) = deployment.lead_group().await?;
    let id = deployment.gateways[0].process.id();
    let (waited, spent) = (wait_seconds(id)?, cpu_seconds(id)?);
    let mut through = StreamTimes::default();
    let mut direct = StreamTimes::default();
    for number in 0..COMPARED_STREAMS {
        let call = chat_call(&format!("compare {number}"), COMPARED_TOKENS, true);
        let headers = [
            ("Group-Id", group.as_str()),
            ("Group-Epoch", epoch.as_str()),
            ("Attempt-Id", "direct"),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        let mut straight = call.clone();
        straight.headers.extend(headers);
        time_stream(&deployment, gateway, call, &mut through).await?;
        time_stream(&deployment, lead, straight, &mut direct).await?;
    }
    let (waited, spent) = (wait_seconds(id)? - waited, cpu_seconds(id)? - spent);
    eprintln!("path: gateway spent {spent:.2} s on cores and waited {waited:.2} s for them");
    for (name, times) in [("gateway", &mut through), ("direct", &mut direct)] {
        for share in [0.5, 0.95, 0.99] {
            let first = percentile(&mut times.first, share);
            let gap = percentile(&mut times.gaps, share);
            eprintln!("path: {name} p{share}: first token {first:.2} ms, gap {gap:.2} ms");
        }
    }
    let first = percentile(&mut through.first, 0.95) - percentile(&mut direct.first, 0.95);
    let gap = percentile(&mut through.gaps, 0.95) - percentile(&mut direct.gaps, 0.95);
    Ok(vec![
        Figure::new("path.first_token_overhead_ms_p95", first, "ms"),
        Figure::new("path.stream_gap_overhead_ms_p95", gap, "ms"),
    ])
}

async fn time_stream(
    deployment: &Deployment,
    address: SocketAddr,
    call: CallerCall,
    times: &mut StreamTimes,
) -> Result<()> {
    let started = Instant::now();
    let mut stream = deployment.stream_from(address, call).await?;
    let mut last = None;
    while next_token(&mut stream).await {
        let now = Instant::now();
        match last.replace(now) {
            None => times.first.push(milliseconds(now - started)),
            Some(former) => times.gaps.push(milliseconds(now - former)),
        }
    }
    Ok(())
}

/// Waits for the next chunk with a token; false at the end.
async fn next_token(stream: &mut EventStream) -> bool {
    while let Some(event) = stream.next().await {
        let token = event_data(&event)
            .is_some_and(|data| data["choices"][0]["delta"]["content"].is_string());
        if token {
            return true;
        }
    }
    false
}

/// Loads one gateway with short requests while many streams stay open.
async fn load_gateway() -> Result<Vec<Figure>> {
    let deployment = Arc::new(Deployment::start(plan(100.0)).await?);
    for number in 0..WARM_UP_REQUESTS {
        let call = chat_call(&format!("warm up {number}"), 1, false);
        deployment.call(0, call).await?.expect_success()?;
    }
    let id = deployment.gateways[0].process.id();
    let before = cpu_seconds(id)?;
    run_requests(&deployment).await?;
    let spent = cpu_seconds(id)? - before;
    eprintln!("path: opens {OPEN_STREAMS} streams");
    let streams = open_streams(&deployment).await?;
    let resident = resident_mb(id)?;
    drop(streams);
    #[allow(clippy::cast_precision_loss)]
    let rate = LOAD_REQUESTS as f64 / spent;
    Ok(vec![
        Figure::new("path.requests_per_core_second", rate, "1/s"),
        Figure::new("path.gateway_rss_mb", resident, "MB"),
    ])
}

/// Opens all streams at once; returns them after the first token of each.
async fn open_streams(deployment: &Arc<Deployment>) -> Result<Vec<EventStream>> {
    let mut openings = JoinSet::new();
    for number in 0..OPEN_STREAMS {
        let deployment = Arc::clone(deployment);
        openings.spawn(async move {
            let call = chat_call(&format!("open {number}"), OPEN_TOKENS, true);
            let mut stream = deployment.stream(0, call).await?;
            next_token(&mut stream).await;
            Ok(stream)
        });
    }
    openings.join_all().await.into_iter().collect()
}

async fn run_requests(deployment: &Arc<Deployment>) -> Result<()> {
    let next = Arc::new(AtomicUsize::new(0));
    let mut callers = JoinSet::<Result<()>>::new();
    for _ in 0..LOAD_CALLERS {
        let (deployment, next) = (Arc::clone(deployment), Arc::clone(&next));
        callers.spawn(async move {
            while next.fetch_add(1, Ordering::Relaxed) < LOAD_REQUESTS {
                let call = chat_call("load", 1, false);
                let reply = deployment.call(0, call).await?;
                reply.expect_success()?;
            }
            Ok(())
        });
    }
    for outcome in callers.join_all().await {
        outcome?;
    }
    Ok(())
}

fn plan(step_ms: f64) -> DeploymentPlan {
    DeploymentPlan {
        engine: EngineSettings {
            max_running: 1_024,
            max_waiting: 1_024,
            step_ms,
            prefill_tokens_per_s: 1e7,
            ..EngineSettings::default()
        },
        ..DeploymentPlan::default()
    }
}

fn milliseconds(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
