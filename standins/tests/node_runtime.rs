//! Processes on loopback: peer ports, platform stand-in and `toucanctl`.

use {
    bytes::Bytes,
    hyper::Method,
    standins::platform::{PlatformServer, PlatformSettings},
    std::{
        cell::RefCell,
        fs,
        net::SocketAddr,
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::net::{TcpListener, UdpSocket},
    toucanring::{
        adapters::{JsonClient, NodeRuntime, call_peer},
        cli::{EXIT_CONFLICT, EXIT_FAILED, EXIT_FAULTS, EXIT_NOT_IN_FORCE, run_ctl},
        conf::ProcessSettings,
        core::view::PeerCodec,
        wire::{PeerReply, PeerRequest, ProcessRole},
    },
};

/// Generous limit of each wait.
const LIMIT: Duration = Duration::from_secs(20);

/// Platform stand-in, processes and an operator's directory.
struct TestSystem {
    platform: SocketAddr,
    nodes: Vec<NodeRuntime>,
    directory: PathBuf,
}

impl TestSystem {
    /// Starts the platform and some processes.
    async fn start(name: &str, count: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let platform = listener.local_addr().expect("address");
        tokio::spawn(PlatformServer::new(PlatformSettings::default()).run(listener));
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).expect("directory");
        let mut system = Self {
            platform,
            nodes: Vec::new(),
            directory,
        };
        for _ in 0..count {
            system.add_node().await;
        }
        system
    }

    fn settings(&self, name: &str) -> ProcessSettings {
        ProcessSettings {
            name: name.to_owned(),
            failure_domain: "val-venosta".to_owned(),
            listen: "127.0.0.1:0".parse().expect("address"),
            peer_listen: "127.0.0.1:0".parse().expect("address"),
            peers: self.nodes.iter().map(|node| node.peer_address).collect(),
            platform: self.platform,
            exchange_key: "5a".repeat(32),
            metrics: None,
            drain_ms: 0,
        }
    }

    async fn add_node(&mut self) {
        let settings = self.settings(&format!("node-{}", self.nodes.len()));
        let node = NodeRuntime::start(&settings, ProcessRole::Gateway).await;
        self.nodes.push(node.expect("process starts"));
    }

    async fn fault(&self, body: &str) {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let client = JsonClient::new("test");
        let call = client.call(Method::POST, self.platform, "/v1/faults", body, LIMIT);
        call.await.expect("fault is set");
    }

    /// Runs `toucanctl` with access to the processes.
    async fn ctl(&self, words: &[&str]) -> Result<(), u8> {
        let peers: Vec<SocketAddr> = self.nodes.iter().map(|node| node.peer_address).collect();
        let settings = serde_json::json!({
            "platform": self.platform, "peers": peers, "exchange_key": "5a".repeat(32)
        });
        let path = self.directory.join("toucanctl.json");
        fs::write(&path, settings.to_string()).expect("settings");
        let mut arguments = vec!["--settings".to_owned(), path.display().to_string()];
        arguments.extend(words.iter().map(ToString::to_string));
        run_ctl(&arguments).await
    }

    /// Applies the example text with one account limit changed.
    async fn apply(&self, base: u64, concurrency: u32, more: &[&str]) -> Result<(), u8> {
        let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/consorzio.json");
        let text = fs::read_to_string(example).expect("example");
        let mut document: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        document["client_accounts"][0]["concurrency"] = concurrency.into();
        let path = self.directory.join(format!("edited-{concurrency}.json"));
        fs::write(&path, document.to_string()).expect("text");
        let (path, base) = (path.display().to_string(), base.to_string());
        let mut words = vec!["apply", &path, "--base", &base];
        words.extend(more);
        self.ctl(&words).await
    }

    fn versions(&self) -> Vec<u64> {
        let views = self
            .nodes
            .iter()
            .map(|node| node.view.borrow().config_version());
        views.collect()
    }

    async fn all_have(&self, version: u64) -> bool {
        wait(|| self.versions().iter().all(|found| *found == version)).await
    }
}

/// Waits until a condition holds; false when it does not within the limit.
async fn wait(holds: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > LIMIT {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    true
}

/// Guards against an apply that reports success before the version is in force
/// in every process, or two operators who both succeed.
#[tokio::test]
async fn apply_waits_and_a_race_is_a_conflict() {
    let system = TestSystem::start("race", 3).await;

    let first = system.apply(0, 101, &["--wait", "--timeout", "20"]).await;
    let after_wait = system.versions();
    let (one, other) = tokio::join!(system.apply(1, 102, &[]), system.apply(1, 103, &[]));
    let reached = system.all_have(2).await;

    assert_eq!((first, after_wait), (Ok(()), vec![1, 1, 1]));
    let mut outcomes = [one, other];
    outcomes.sort();
    assert_eq!(outcomes, [Ok(()), Err(EXIT_CONFLICT)]);
    assert!(reached, "{:?}", system.versions());
    assert_eq!(system.ctl(&["status"]).await, Ok(()));
    assert_eq!(system.ctl(&["history", "--json"]).await, Ok(()));
    assert_eq!(system.ctl(&["groups"]).await, Ok(()));
    assert_eq!(
        system.ctl(&["drain", "val-isarco-m03", "--wait"]).await,
        Ok(())
    );
    assert_eq!(system.versions(), [3, 3, 3]);
    assert_eq!(system.ctl(&["drain", "nowhere"]).await, Err(EXIT_FAULTS));
}

/// Guards against a lost commit answer that is reported as a failure or makes
/// two versions.
#[tokio::test]
async fn a_lost_answer_is_settled() {
    let system = TestSystem::start("lost", 1).await;
    assert_eq!(system.apply(0, 101, &[]).await, Ok(()));

    // The first lost answer is that of the object, the second that of the commit.
    system.fault(r#"{"lost_answers": 2}"#).await;
    let outcome = system.apply(1, 102, &[]).await;

    assert_eq!(outcome, Ok(()));
    assert!(system.all_have(2).await, "{:?}", system.versions());
}

/// Guards against an apply during an outage that claims more than it knows.
#[tokio::test]
async fn an_outage_is_not_reported_as_a_change() {
    let system = TestSystem::start("outage", 1).await;
    assert_eq!(system.apply(0, 101, &[]).await, Ok(()));
    system.fault(r#"{"outage": true}"#).await;

    let outcome = system.apply(1, 102, &["--timeout", "1"]).await;

    assert_eq!(outcome, Err(EXIT_FAILED));
    system.fault(r#"{"outage": false}"#).await;
    assert_eq!(system.apply(1, 103, &["--wait"]).await, Ok(()));
}

/// Guards against a process that starts during an outage without the
/// configuration that its peers have.
#[tokio::test]
async fn peers_serve_the_configuration_during_an_outage() {
    let mut system = TestSystem::start("peers", 2).await;
    assert_eq!(system.apply(0, 101, &["--wait"]).await, Ok(()));
    system.fault(r#"{"outage": true}"#).await;

    system.add_node().await;

    assert!(system.all_have(1).await, "{:?}", system.versions());
    let (old, new) = (system.nodes[0].view.borrow(), system.nodes[2].view.borrow());
    assert_eq!(old.configuration, new.configuration);
}

/// Guards against a restarted process that goes back to the old version which
/// the platform answers, and against one that does so later.
#[tokio::test]
async fn stale_answers_undo_nothing() {
    let mut system = TestSystem::start("stale", 2).await;
    assert_eq!(system.apply(0, 101, &["--wait"]).await, Ok(()));
    assert_eq!(system.apply(1, 102, &["--wait"]).await, Ok(()));
    system.fault(r#"{"stale_reads": true}"#).await;

    system.add_node().await;
    let seen = RefCell::new(Vec::new());
    // Eight rounds of the new process take four reads of the platform's row.
    let rounds = wait(|| {
        seen.borrow_mut().extend(system.versions());
        let view = system.nodes[0].view.borrow();
        let new = view.peers.get("node-2");
        new.is_some_and(|known| known.heartbeat.sequence >= 8)
    });
    assert!(rounds.await);
    let seen = seen.into_inner();

    assert!(!seen.contains(&1), "a process went back to version 1");
    assert_eq!(system.versions(), [2, 2, 2]);
}

/// Guards against a wait that ends although a live process does not answer,
/// and against a process that does not say why it has no configuration.
#[tokio::test]
async fn processes_without_configuration_say_why() {
    let system = TestSystem::start("why", 2).await;
    system.fault(r#"{"partitioned": ["val-venosta"]}"#).await;
    let explained = wait(|| {
        let view = system.nodes[0].view.borrow();
        let reason = view.config_reason().unwrap_or_default();
        reason.contains("no configuration is in force: the platform does not answer")
    });

    assert!(
        explained.await,
        "{:?}",
        system.nodes[0].view.borrow().config_problem
    );
    let outcome = system.apply(0, 101, &["--wait", "--timeout", "2"]).await;
    assert_eq!(outcome, Err(EXIT_NOT_IN_FORCE));
    system.fault(r#"{"partitioned": []}"#).await;
    assert!(system.all_have(1).await);
    assert_eq!(system.nodes[0].view.borrow().config_reason(), None);
}

/// Guards against forged datagrams that are merged, or not counted.
#[tokio::test]
async fn forged_datagrams_are_counted() {
    let system = TestSystem::start("forged", 1).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("port");
    let codec = PeerCodec::new([0x5a; 32]);
    let address = system.nodes[0].peer_address;

    for bytes in [&[1_u8; 60][..], &[9; 60], &[1; 5]] {
        socket.send_to(bytes, address).await.expect("sent");
    }
    let begun = Instant::now();
    let mut dropped = Vec::new();
    while dropped.len() < 3 && begun.elapsed() < LIMIT {
        let reply = call_peer(&codec, address, PeerRequest::Status).await;
        let PeerReply::Status(status) = reply.expect("answer") else {
            panic!("another answer");
        };
        dropped = status.dropped.into_iter().map(|drop| drop.reason).collect();
    }
    let foreign = call_peer(&PeerCodec::new([1; 32]), address, PeerRequest::Status).await;

    assert_eq!(dropped, ["length", "version", "forged"]);
    assert!(foreign.is_err());
}

/// Guards against metrics that are not sent, or not told apart by process.
#[tokio::test]
async fn metrics_reach_the_statsd_address() {
    let mut system = TestSystem::start("metrics", 0).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("port");
    let mut settings = system.settings("node-0");
    settings.metrics = Some(socket.local_addr().expect("address"));

    let node = NodeRuntime::start(&settings, ProcessRole::Gateway).await;
    system.nodes.push(node.expect("process starts"));
    assert_eq!(system.apply(0, 101, &[]).await, Ok(()));
    let mut buffer = [0; 2_048];
    let mut found = false;
    while !found {
        let received = tokio::time::timeout(LIMIT, socket.recv(&mut buffer)).await;
        let length = received.expect("a metric arrives").expect("received");
        let metric = String::from_utf8_lossy(&buffer[..length]).into_owned();
        found = metric == "toucanring.configuration.version:1|g|#process:node-0";
    }

    assert!(found);
}
