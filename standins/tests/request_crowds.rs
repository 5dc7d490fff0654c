//! Callers of a gateway that send more than it holds in memory: many legal bodies at once, whole or
//! short of their end, and bodies far above the limit.

use {
    rstest::rstest,
    standins::deploy::{Deployment, DeploymentPlan, chat_call, wait_until},
    std::{fs, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::{Mutex, mpsc},
        task::JoinSet,
        time::timeout,
    },
};

/// Memory of the gateway in MiB.
const MEMORY_MB: u64 = 64;

/// Most open files of the gateway beside a crowd.
const MAX_OPEN_FILES: usize = 200;

/// Largest body that a gateway accepts, in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// Length of a body that is far above the limit.
const HUGE_BODY: usize = 8 * BODY_LIMIT;

/// Length of a body in chunks of one byte.
const TINY_CHUNKS_BODY: usize = 64 * 1024;

/// Bytes that a caller writes at once.
const PIECE: usize = 64 * 1024;

const CALLERS: usize = 24;

/// Callers without a whole request, whose heads are together more than the memory.
const IDLE_CALLERS: usize = 3_000;

/// Most open files of the gateway beside a crowd of them.
const MAX_IDLE_FILES: usize = 400;

/// Length of a head that stops short, just below the largest that a gateway reads.
const LONG_HEAD: usize = 31 * 1024;

/// Longest time for which a caller sends, or waits for a response.
const CALLER_LIMIT: Duration = Duration::from_secs(30);

/// Only one crowd runs at a time, since each needs much memory and processor time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// What every caller of a crowd sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pattern {
    /// A whole body whose messages are numbers.
    NumberMessages,
    /// A whole body whose messages are empty objects.
    ObjectMessages,
    /// A whole body whose messages are empty lists.
    ListMessages,
    /// A whole body with many fields beside the known ones.
    ManyFields,
    /// A whole body with lists in one another.
    DeepLists,
    /// A whole body with one long message in escapes.
    EscapedMessage,
    /// A whole body for a plain service.
    PlainService,
    /// A body without its last byte.
    WholeButLastByte,
    /// The same in large chunks, without the last one.
    LargeChunks,
    /// The same in chunks of one byte.
    TinyChunks,
    /// A length far above the limit, and the body.
    AnnouncedTooLong,
    /// Chunks without an end that add up to far more than the limit.
    ChunksTooLong,
}

impl Pattern {
    const fn path(self) -> &'static str {
        match self {
            Self::PlainService => "/services/ledger/notes",
            _ => "/v1/chat/completions",
        }
    }

    const fn is_chunked(self) -> bool {
        matches!(
            self,
            Self::LargeChunks | Self::TinyChunks | Self::ChunksTooLong
        )
    }

    /// The bytes of the body, without framing.
    fn body(self) -> Vec<u8> {
        match self {
            Self::NumberMessages => filled("\"messages\":[0", ",0", "]}"),
            Self::ObjectMessages => filled("\"messages\":[{}", ",{}", "]}"),
            Self::ListMessages => filled("\"messages\":[[]", ",[]", "]}"),
            Self::ManyFields => filled("\"messages\":[0],\"a\":0", ",\"a\":0", "}"),
            Self::DeepLists => filled("\"messages\":[", "[", "}"),
            Self::EscapedMessage => filled("\"messages\":[{\"content\":\"", "\\u0041", "\"}]}"),
            Self::TinyChunks => vec![b'a'; TINY_CHUNKS_BODY],
            Self::AnnouncedTooLong | Self::ChunksTooLong => vec![b'a'; HUGE_BODY],
            Self::PlainService => vec![b'a'; BODY_LIMIT],
            Self::WholeButLastByte | Self::LargeChunks => vec![b'a'; BODY_LIMIT - 1],
        }
    }

    fn head(self, body_length: usize) -> String {
        let framing = match self {
            Self::WholeButLastByte => format!("Content-Length: {}", body_length + 1),
            _ if self.is_chunked() => "Transfer-Encoding: chunked".to_owned(),
            _ => format!("Content-Length: {body_length}"),
        };
        format!(
            "POST {} HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer deployment-key\r\n\
             {framing}\r\n\r\n",
            self.path()
        )
    }

    /// What a caller writes after the head.
    fn parts(self) -> Vec<Vec<u8>> {
        let body = self.body();
        let size = if self == Self::TinyChunks { 1 } else { PIECE };
        if !self.is_chunked() {
            return body.chunks(size).map(<[u8]>::to_vec).collect();
        }
        let framed: Vec<Vec<u8>> = body.chunks(size).map(as_chunk).collect();
        framed.concat().chunks(PIECE).map(<[u8]>::to_vec).collect()
    }
}

/// A request for a chat completion of the largest legal length, in which `filling` is repeated.
fn filled(start: &str, filling: &str, end: &str) -> Vec<u8> {
    let mut body = format!(r#"{{"model":"chat","max_tokens":4,"stream":false,{start}"#);
    while body.len() + filling.len() + end.len() <= BODY_LIMIT {
        body.push_str(filling);
    }
    body.push_str(end);
    body.into_bytes()
}

fn as_chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Sends a request and reads what comes back; the gateway may close the connection at any time.
async fn send_all(stream: &mut TcpStream, head: &str, parts: &[Vec<u8>]) -> io::Result<()> {
    stream.write_all(head.as_bytes()).await?;
    for part in parts {
        stream.write_all(part).await?;
    }
    let mut buffer = [0; 1024];
    stream.read(&mut buffer).await.map(|_| ())
}

/// Callers that keep their connections open until they are dropped; returns when each has a response,
/// has been closed, or has waited for long.
async fn crowd(address: SocketAddr, pattern: Pattern) -> JoinSet<()> {
    let parts = Arc::new(pattern.parts());
    let head = pattern.head(pattern.body().len());
    let (sender, mut finished) = mpsc::channel(CALLERS);
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let (head, parts, sender) = (head.clone(), Arc::clone(&parts), sender.clone());
        callers.spawn(async move {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            let _ = timeout(CALLER_LIMIT, send_all(&mut stream, &head, &parts)).await;
            let _ = sender.send(()).await;
            std::future::pending::<()>().await;
        });
    }
    for _ in 0..CALLERS {
        finished.recv().await;
    }
    callers
}

/// Largest resident memory that a process has had, in KiB; none when it has ended.
fn peak_memory_kib(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Guards against a gateway that runs out of memory by the requests of callers that its operators do
/// not control: eight bodies of 4 MiB with short list entries took 1.1 GiB in parsed form.
#[rstest]
#[case::number_messages(Pattern::NumberMessages)]
#[case::object_messages(Pattern::ObjectMessages)]
#[case::list_messages(Pattern::ListMessages)]
#[case::many_fields(Pattern::ManyFields)]
#[case::deep_lists(Pattern::DeepLists)]
#[case::escaped_message(Pattern::EscapedMessage)]
#[case::plain_service(Pattern::PlainService)]
#[case::whole_but_last_byte(Pattern::WholeButLastByte)]
#[case::large_chunks(Pattern::LargeChunks)]
#[case::tiny_chunks(Pattern::TinyChunks)]
#[case::announced_too_long(Pattern::AnnouncedTooLong)]
#[case::chunks_too_long(Pattern::ChunksTooLong)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crowd_leaves_memory_to_a_gateway(#[case] pattern: Pattern) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let plan = DeploymentPlan {
        memory_mb: Some(MEMORY_MB),
        ..DeploymentPlan::default()
    };
    let mut deployment = Deployment::start(plan).await.expect("deployment starts");
    let gateway = deployment.gateways[0].process.id();

    let callers = crowd(deployment.gateways[0].address, pattern).await;
    let files = fs::read_dir(format!("/proc/{gateway}/fd")).map(Iterator::count);
    let ordinary = wait_until("an ordinary request", CALLER_LIMIT, || async {
        let reply = deployment.call(0, chat_call("hello", 4, false)).await;
        reply.is_ok_and(|reply| reply.status == 200).then_some(())
    });
    let ordinary = ordinary.await;

    let peak = peak_memory_kib(gateway);
    println!("{pattern:?}: peak {peak:?} KiB, {files:?} open files");
    assert!(deployment.gateways[0].process.exit_status().is_none());
    assert!(
        peak.is_some_and(|peak| peak < MEMORY_MB * 1024),
        "{peak:?} KiB"
    );
    assert!(files.is_ok_and(|files| files < MAX_OPEN_FILES));
    ordinary.expect("an ordinary request is served");
    drop(callers);
}

/// Guards against callers that fill the memory and the connections of a gateway without a whole
/// request, and keep others away.
#[rstest]
#[case::idle(0)]
#[case::heads_stop_short(LONG_HEAD)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_a_request_leave_memory_to_a_gateway(#[case] head_bytes: usize) {
    let _turn = ONE_AT_A_TIME.lock().await;
    let plan = DeploymentPlan {
        memory_mb: Some(MEMORY_MB),
        ..DeploymentPlan::default()
    };
    let mut deployment = Deployment::start(plan).await.expect("deployment starts");
    let gateway = deployment.gateways[0].process.id();
    let head = format!(
        "GET /v1/models HTTP/1.1\r\nX-Long: {}",
        "a".repeat(head_bytes)
    );

    let mut callers = Vec::new();
    for _ in 0..IDLE_CALLERS {
        let stream = TcpStream::connect(deployment.gateways[0].address).await;
        let mut stream = stream.expect("a connection");
        if head_bytes > 0 {
            // The gateway may have closed the connection.
            let _ = stream.write_all(head.as_bytes()).await;
        }
        callers.push(stream);
    }
    let files = fs::read_dir(format!("/proc/{gateway}/fd")).map(Iterator::count);
    let ordinary = wait_until("an ordinary request", CALLER_LIMIT, || async {
        let reply = deployment.call(0, chat_call("hello", 4, false)).await;
        reply.is_ok_and(|reply| reply.status == 200).then_some(())
    });
    let ordinary = ordinary.await;

    let peak = peak_memory_kib(gateway);
    println!("heads of {head_bytes} bytes: peak {peak:?} KiB, {files:?} open files");
    assert!(deployment.gateways[0].process.exit_status().is_none());
    assert!(
        peak.is_some_and(|peak| peak < MEMORY_MB * 1024),
        "{peak:?} KiB"
    );
    assert!(files.is_ok_and(|files| files < MAX_IDLE_FILES));
    ordinary.expect("an ordinary request is served");
    drop(callers);
}
