use {
    crate::deploy::{DeployError, Result},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::Runtime,
    },
    toucanring::{adapters::ProcessRuntime, conf::ProcessSettings, wire::ProcessRole},
};

/// Numbers of processes that read the configuration.
const NODES: [u32; 4] = [4, 8, 16, 32];

/// Time over which reads are counted.
const COUNTING_TIME_S: u32 = 5;

/// Response of a platform to which no configuration has been applied yet.
const NOT_FOUND_RESPONSE: &[u8] = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// Measures reads of the row `config/current` per second by number of processes.
pub(super) fn config_reads_per_s() -> Result<Vec<(f64, f64)>> {
    Runtime::new()?.block_on(async {
        let mut points = Vec::new();
        for nodes in NODES {
            points.push((f64::from(nodes), count_reads(nodes).await?));
        }
        Ok(points)
    })
}

async fn count_reads(nodes: u32) -> Result<f64> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let platform = listener.local_addr()?;
    let reads = Arc::new(AtomicU32::new(0));
    let server = tokio::spawn(serve(listener, Arc::clone(&reads)));
    let mut running = Vec::new();
    for number in 0..nodes {
        let settings = settings(number, platform);
        let node = ProcessRuntime::start(&settings, ProcessRole::Gateway).await;
        running.push(node.map_err(|report| DeployError::Program(report.to_string()))?);
    }
    // Counting starts after the first reads, which all nodes send at their start.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = reads.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(u64::from(COUNTING_TIME_S))).await;
    let counted = reads.load(Ordering::Relaxed) - before;
    server.abort();
    Ok(f64::from(counted) / f64::from(COUNTING_TIME_S))
}

fn settings(number: u32, platform: SocketAddr) -> ProcessSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    ProcessSettings {
        name: format!("poll-{number}"),
        failure_domain: "d0".to_owned(),
        listen: any,
        peer_listen: any,
        peers: Vec::new(),
        platform,
        exchange_key: "11".repeat(32),
        metrics: None,
        drain_ms: 0,
        memory_mb: None,
    }
}

async fn serve(listener: TcpListener, reads: Arc<AtomicU32>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(answer(stream, Arc::clone(&reads)));
    }
}

/// Answers every request of a connection with 404 and counts the reads of `config/current`.
async fn answer(mut stream: TcpStream, reads: Arc<AtomicU32>) {
    let mut request = Vec::new();
    while let Ok(byte) = stream.read_u8().await {
        request.push(byte);
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        if request.starts_with(b"GET /v1/rows/config/current ") {
            reads.fetch_add(1, Ordering::Relaxed);
        }
        request.clear();
        if stream.write_all(NOT_FOUND_RESPONSE).await.is_err() {
            return;
        }
    }
}
