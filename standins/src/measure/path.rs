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

/// Number of streams that are compared on each path.
const COMPARED_STREAMS: usize = 500;

/// Tokens of each compared stream.
const COMPARED_TOKENS: u32 = 5;

/// Number of requests that are sent one after the other before the load. By their end the gateway
/// has a load report of the group, without which it refuses a burst.
const WARM_UP_REQUESTS: usize = 20;

/// Number of requests that load the gateway before its memory is read.
const LOAD_REQUESTS: usize = 10_000;

/// Number of callers that send these requests, each one request at a time.
const LOAD_CALLERS: usize = 100;

/// Number of streams that are open at the same time when the memory is read.
const OPEN_STREAMS: usize = 500;

/// Tokens of each open stream; enough that no stream ends before the measurement does.
const OPEN_TOKENS: u32 = 100_000;

/// Times of all streams on one path, in milliseconds.
#[derive(Debug, Default)]
struct StreamTimes {
    /// Time from sending the request to the first token.
    first_token_ms: Vec<f64>,
    /// Time between two tokens of the same stream.
    token_gaps_ms: Vec<f64>,
}

/// Measures the latency that the gateway adds to a stream, its request rate per core, and its
/// memory.
///
/// # Errors
/// Returns the error of the first step that fails.
pub fn path() -> Result<Vec<Figure>> {
    run_until_stopped(async {
        eprintln!("path: comparing {COMPARED_STREAMS} streams");
        let mut figures = compare_streams().await?;
        eprintln!("path: sending {LOAD_REQUESTS} requests");
        figures.extend(load_gateway().await?);
        Ok(figures)
    })
}

/// Sends each stream through the gateway and then directly to the head of the group.
async fn compare_streams() -> Result<Vec<Figure>> {
    let deployment = Deployment::start(plan(5.0)).await?;
    let gateway = deployment.gateways[0].address;
    let (head, group, epoch) = deployment.find_group_head().await?;
    let id = deployment.gateways[0].process.id();
    let (waited, spent) = (wait_seconds(id)?, cpu_seconds(id)?);
    let mut gateway_times = StreamTimes::default();
    let mut direct_times = StreamTimes::default();
    for number in 0..COMPARED_STREAMS {
        let call = chat_call(&format!("compare {number}"), COMPARED_TOKENS, true);
        let headers = [
            ("Group-Id", group.as_str()),
            ("Group-Epoch", epoch.as_str()),
            ("Attempt-Id", "direct"),
        ];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned()));
        let mut direct_call = call.clone();
        direct_call.headers.extend(headers);
        time_stream(&deployment, gateway, call, &mut gateway_times).await?;
        time_stream(&deployment, head, direct_call, &mut direct_times).await?;
    }
    let (waited, spent) = (wait_seconds(id)? - waited, cpu_seconds(id)? - spent);
    eprintln!("path: gateway spent {spent:.2} s on cores and waited {waited:.2} s for them");
    for (name, times) in [
        ("gateway", &mut gateway_times),
        ("direct", &mut direct_times),
    ] {
        for share in [0.5, 0.95, 0.99] {
            let first = percentile(&mut times.first_token_ms, share);
            let gap = percentile(&mut times.token_gaps_ms, share);
            eprintln!("path: {name} p{share}: first token {first:.2} ms, gap {gap:.2} ms");
        }
    }
    let first = percentile(&mut gateway_times.first_token_ms, 0.95)
        - percentile(&mut direct_times.first_token_ms, 0.95);
    let gap = percentile(&mut gateway_times.token_gaps_ms, 0.95)
        - percentile(&mut direct_times.token_gaps_ms, 0.95);
    Ok(vec![
        Figure::new("path.first_token_overhead_ms_p95", first, "ms"),
        Figure::new("path.stream_gap_overhead_ms_p95", gap, "ms"),
    ])
}

/// Reads one stream to its end and adds its times.
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
            None => times.first_token_ms.push(milliseconds(now - started)),
            Some(previous) => times.token_gaps_ms.push(milliseconds(now - previous)),
        }
    }
    Ok(())
}

/// Waits for the next chunk with a token; returns false at the end of the stream.
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

/// Measures the processor time of a gateway under short requests, and then its memory while many
/// streams are open.
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
    eprintln!("path: opening {OPEN_STREAMS} streams");
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

/// Opens all streams at once; returns them when each has received its first token.
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

/// Sends all requests of the load.
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
