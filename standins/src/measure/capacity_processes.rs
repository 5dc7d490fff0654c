use {
    super::{CapacitySlope, Figure, cpu_seconds, resident_mb},
    crate::{
        backend::EngineSettings,
        deploy::{
            CallerCall, Deployment, DeploymentPlan, NodeProcess, Result, chat_call, wait_until,
        },
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::Runtime,
        task::JoinSet,
    },
};

/// Numbers of model instances, all of them in groups of [`SPAN`].
const MEMBERS: [usize; 4] = [8, 16, 32, 64];
const SPAN: u32 = 4;

/// Numbers of open streams of one gateway.
const STREAMS: [u32; 4] = [125, 250, 375, 500];

/// Time between two tokens of a stream.
const TOKEN_MS: f64 = 60.0;

/// Time over which processor time is counted.
const COUNTING_TIME: Duration = Duration::from_secs(8);

/// Longest wait for all groups to serve.
const MAX_FORMATION_WAIT: Duration = Duration::from_secs(30);

/// Measures processor time and memory of real processes: of a controller by number of members, of a
/// gateway by number of groups and of open streams.
pub(super) fn capacity_processes() -> Result<Vec<Figure>> {
    Runtime::new()?.block_on(async {
        let mut figures = measure_by_members().await?;
        figures.extend(measure_by_streams().await?);
        Ok(figures)
    })
}

async fn measure_by_members() -> Result<Vec<Figure>> {
    let mut controller = [Vec::new(), Vec::new()];
    let mut gateway = [Vec::new(), Vec::new()];
    let mut report_bytes = 0.0;
    for members in MEMBERS {
        let groups = u32::try_from(members).unwrap_or(0) / SPAN;
        let deployment = Deployment::start(DeploymentPlan {
            model_instances: members,
            span: SPAN,
            groups,
            ..DeploymentPlan::default()
        })
        .await?;
        wait_for_groups(&deployment, groups).await?;
        let usage = measure_usage(&deployment).await?;
        let size = f64::from(groups * SPAN);
        for (line, value) in controller.iter_mut().zip(usage[0]) {
            line.push((size, value));
        }
        for (line, value) in gateway.iter_mut().zip(usage[1]) {
            line.push((f64::from(groups), value));
        }
        let (head, ..) = deployment.find_group_head().await?;
        report_bytes = report_call_bytes(head).await?;
    }
    let mut figures = vec![Figure::new("capacity.report_call_bytes", report_bytes, "B")];
    let [core, memory] = controller.map(CapacitySlope::fit);
    figures.extend(core.figures("capacity.controller.core_percent_by_members", "%", 84.0));
    figures.extend(memory.figures("capacity.controller.rss_mb_by_members", "MB", 84.0));
    let [core, memory] = gateway.map(CapacitySlope::fit);
    figures.extend(core.figures("capacity.gateway.core_percent_by_groups", "%", 90.0));
    figures.extend(memory.figures("capacity.gateway.rss_mb_by_groups", "MB", 90.0));
    Ok(figures)
}

async fn wait_for_groups(deployment: &Deployment, groups: u32) -> Result<()> {
    wait_until("all groups serve", MAX_FORMATION_WAIT, || async {
        let call = CallerCall::get("/status");
        let address = deployment.gateways[0].address;
        let reply = deployment.client.send(address, call).await.ok()?;
        let status: serde_json::Value = reply.decode().ok()?;
        let usable = status["dispatcher"]["usable_groups"].as_u64().unwrap_or(0);
        (usable >= u64::from(groups)).then_some(())
    })
    .await
}

/// Percent of a core and megabytes of memory, first of the controller and then of the gateway.
async fn measure_usage(deployment: &Deployment) -> Result<[[f64; 2]; 2]> {
    let nodes = [&deployment.controllers[0], &deployment.gateways[0]];
    let mut before = [0.0; 2];
    for (cpu_s, node) in before.iter_mut().zip(nodes) {
        *cpu_s = cpu_seconds(node.process.id())?;
    }
    tokio::time::sleep(COUNTING_TIME).await;
    let mut usage = [[0.0; 2]; 2];
    for ((values, node), before) in usage.iter_mut().zip(nodes).zip(before) {
        *values = [core_percent(node, before)?, resident_mb(node.process.id())?];
    }
    Ok(usage)
}

/// Percent of a core that the process used since `before`, its processor seconds at the start of
/// the counted time.
fn core_percent(node: &NodeProcess, before: f64) -> Result<f64> {
    let spent = cpu_seconds(node.process.id())? - before;
    Ok(spent / COUNTING_TIME.as_secs_f64() * 100.0)
}

/// Bytes of one report request: a minimal HTTP request and the whole response.
#[allow(clippy::cast_precision_loss)] // hundreds of bytes
async fn report_call_bytes(server: SocketAddr) -> Result<f64> {
    let request = format!(
        "GET /control/report HTTP/1.1\r\nhost: {server}\r\ncontent-type: application/json\r\n\
         failure-domain: d0\r\nconnection: close\r\n\r\n"
    );
    let mut stream = TcpStream::connect(server).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    Ok((request.len() + response.len()) as f64)
}

async fn measure_by_streams() -> Result<Vec<Figure>> {
    let deployment = Deployment::start(DeploymentPlan {
        engine: EngineSettings {
            max_running: 1_024,
            max_waiting: 1_024,
            step_ms: TOKEN_MS,
            prefill_tokens_per_s: 1e7,
            ..EngineSettings::default()
        },
        ..DeploymentPlan::default()
    })
    .await?;
    let node = &deployment.gateways[0];
    let mut readers = JoinSet::new();
    let mut open = 0;
    let mut core = Vec::new();
    let mut memory = Vec::new();
    for streams in STREAMS {
        while open < streams {
            let call = chat_call(&format!("stream {open}"), 100_000, true);
            let mut stream = deployment.stream(0, call).await?;
            readers.spawn(async move { while stream.next().await.is_some() {} });
            open += 1;
        }
        let before = cpu_seconds(node.process.id())?;
        tokio::time::sleep(COUNTING_TIME).await;
        core.push((f64::from(streams), core_percent(node, before)?));
        memory.push((f64::from(streams), resident_mb(node.process.id())?));
    }
    // 540,000 tokens/s at 60 ms a token make 32,400 streams over 390 gateways.
    let core = CapacitySlope::fit(core);
    let mut figures = core.figures("capacity.gateway.core_percent_by_streams", "%", 83.0);
    let memory = CapacitySlope::fit(memory);
    figures.extend(memory.figures("capacity.gateway.rss_mb_by_streams", "MB", 83.0));
    Ok(figures)
}
