//! Runs node runtimes, the platform stand-in and `toucanctl` in one process, over loopback.

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
        adapters::{JsonClient, ProcessRuntime, call_peer},
        cli::{EXIT_CONFLICT, EXIT_FAILED, EXIT_FAULTS, EXIT_NOT_IN_FORCE, run_ctl},
        conf::ProcessSettings,
        core::view::{EXCHANGE_VERSION, PeerCodec},
        wire::{PeerReply, PeerRequest, ProcessRole},
    },
};

/// Longest duration of each wait; far above the time that any of them needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A platform stand-in, node runtimes that use it, and a directory for an operator's files.
struct TestSystem {
    platform: SocketAddr,
    nodes: Vec<ProcessRuntime>,
    directory: PathBuf,
}

impl TestSystem {
    /// Starts the platform and `count` node runtimes. `name` names the directory.
    async fn start(name: &str, count: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let platform = listener.local_addr().expect("the address is valid");
        tokio::spawn(PlatformServer::new(PlatformSettings::default()).run(listener));
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).expect("the directory is created");
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
            listen: "127.0.0.1:0".parse().expect("the address is valid"),
            peer_listen: "127.0.0.1:0".parse().expect("the address is valid"),
            peers: self.nodes.iter().map(|node| node.peer_address).collect(),
            platform: self.platform,
            exchange_key: "5a".repeat(32),
            metrics: None,
            drain_ms: 0,
            memory_mb: None,
        }
    }

    async fn add_node(&mut self) {
        let settings = self.settings(&format!("node-{}", self.nodes.len()));
        let node = ProcessRuntime::start(&settings, ProcessRole::Gateway).await;
        self.nodes.push(node.expect("the process starts"));
    }

    async fn set_fault(&self, body: &str) {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let client = JsonClient::new("test");
        let call = client.call(
            Method::POST,
            self.platform,
            "/v1/faults",
            body,
            WAIT_TIMEOUT,
        );
        call.await.expect("the fault is set");
    }

    /// Runs `toucanctl` with the addresses of the platform and the node runtimes.
    async fn toucanctl(&self, words: &[&str]) -> Result<(), u8> {
        let peers: Vec<SocketAddr> = self.nodes.iter().map(|node| node.peer_address).collect();
        let settings = serde_json::json!({
            "platform": self.platform, "peers": peers, "exchange_key": "5a".repeat(32)
        });
        let path = self.directory.join("toucanctl.json");
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let mut arguments = vec!["--settings".to_owned(), path.display().to_string()];
        arguments.extend(words.iter().map(ToString::to_string));
        run_ctl(&arguments).await
    }

    /// Applies the example text, with another concurrency limit for its first account, on top of
    /// version `base`. `more` are further arguments of `toucanctl apply`.
    async fn apply(&self, base: u64, concurrency: u32, more: &[&str]) -> Result<(), u8> {
        let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/consorzio.json");
        let text = fs::read_to_string(example).expect("the example is readable");
        let mut document: serde_json::Value =
            serde_json::from_str(&text).expect("the example is JSON");
        document["client_accounts"][0]["concurrency"] = concurrency.into();
        let path = self.directory.join(format!("edited-{concurrency}.json"));
        fs::write(&path, document.to_string()).expect("the text is written");
        let (path, base) = (path.display().to_string(), base.to_string());
        let mut words = vec!["apply", &path, "--base", &base];
        words.extend(more);
        self.toucanctl(&words).await
    }

    fn versions(&self) -> Vec<u64> {
        let views = self
            .nodes
            .iter()
            .map(|node| node.view.borrow().config_version());
        views.collect()
    }

    async fn all_reach_version(&self, version: u64) -> bool {
        wait_until(|| self.versions().iter().all(|found| *found == version)).await
    }
}

/// Waits until the condition holds. Returns false if it does not within [`WAIT_TIMEOUT`].
async fn wait_until(holds: impl Fn() -> bool) -> bool {
    let begun = Instant::now();
    while !holds() {
        if begun.elapsed() > WAIT_TIMEOUT {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    true
}

/// Guards against an `apply --wait` that succeeds before the version is in force in every process,
/// and against two operators who both succeed in replacing the same version.
#[tokio::test]
async fn apply_waits_and_a_race_is_a_conflict() {
    let system = TestSystem::start("race", 3).await;

    let first = system.apply(0, 101, &["--wait", "--timeout", "20"]).await;
    let after_wait = system.versions();
    let (one, other) = tokio::join!(system.apply(1, 102, &[]), system.apply(1, 103, &[]));
    let reached = system.all_reach_version(2).await;

    assert_eq!((first, after_wait), (Ok(()), vec![1, 1, 1]));
    let mut outcomes = [one, other];
    outcomes.sort();
    assert_eq!(outcomes, [Ok(()), Err(EXIT_CONFLICT)]);
    assert!(reached, "{:?}", system.versions());
    assert_eq!(system.toucanctl(&["status"]).await, Ok(()));
    assert_eq!(system.toucanctl(&["history", "--json"]).await, Ok(()));
    assert_eq!(system.toucanctl(&["groups"]).await, Ok(()));
    assert_eq!(
        system
            .toucanctl(&["drain", "val-isarco-m03", "--wait"])
            .await,
        Ok(())
    );
    assert_eq!(system.versions(), [3, 3, 3]);
    assert_eq!(
        system.toucanctl(&["drain", "nowhere"]).await,
        Err(EXIT_FAULTS)
    );
}

/// Guards against a commit whose answer is lost and that is reported as a failure or makes two
/// versions.
#[tokio::test]
async fn apply_succeeds_despite_lost_answers() {
    let system = TestSystem::start("lost", 1).await;
    assert_eq!(system.apply(0, 101, &[]).await, Ok(()));

    // The answer to writing the object is lost first, then the answer to the commit.
    system.set_fault(r#"{"lost_answers": 2}"#).await;
    let outcome = system.apply(1, 102, &[]).await;

    assert_eq!(outcome, Ok(()));
    assert!(system.all_reach_version(2).await, "{:?}", system.versions());
}

/// Guards against an apply that reports a change although the platform is out.
#[tokio::test]
async fn an_outage_is_not_reported_as_a_change() {
    let system = TestSystem::start("outage", 1).await;
    assert_eq!(system.apply(0, 101, &[]).await, Ok(()));
    system.set_fault(r#"{"outage": true}"#).await;

    let outcome = system.apply(1, 102, &["--timeout", "1"]).await;

    assert_eq!(outcome, Err(EXIT_FAILED));
    system.set_fault(r#"{"outage": false}"#).await;
    assert_eq!(system.apply(1, 103, &["--wait"]).await, Ok(()));
}

/// Guards against a process that starts during an outage and does not get the configuration that
/// its peers have.
#[tokio::test]
async fn peers_serve_the_configuration_during_an_outage() {
    let mut system = TestSystem::start("peers", 2).await;
    assert_eq!(system.apply(0, 101, &["--wait"]).await, Ok(()));
    system.set_fault(r#"{"outage": true}"#).await;

    system.add_node().await;

    assert!(system.all_reach_version(1).await, "{:?}", system.versions());
    let (old, new) = (system.nodes[0].view.borrow(), system.nodes[2].view.borrow());
    assert_eq!(old.configuration, new.configuration);
}

/// Guards against a new or running process that goes back to an old version because the platform
/// answers reads with it.
#[tokio::test]
async fn stale_reads_do_not_roll_back_the_configuration() {
    let mut system = TestSystem::start("stale", 2).await;
    assert_eq!(system.apply(0, 101, &["--wait"]).await, Ok(()));
    assert_eq!(system.apply(1, 102, &["--wait"]).await, Ok(()));
    system.set_fault(r#"{"stale_reads": true}"#).await;

    system.add_node().await;
    let seen = RefCell::new(Vec::new());
    // The new process reads the platform's row about four times in eight rounds of heartbeats.
    let rounds = wait_until(|| {
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

/// Guards against an `apply --wait` that succeeds although live processes do not have the version,
/// and against a process that does not say why it has no configuration.
#[tokio::test]
async fn processes_without_configuration_report_the_reason() {
    let system = TestSystem::start("why", 2).await;
    system
        .set_fault(r#"{"partitioned": ["val-venosta"]}"#)
        .await;
    let explained = wait_until(|| {
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
    system.set_fault(r#"{"partitioned": []}"#).await;
    assert!(system.all_reach_version(1).await);
    assert_eq!(system.nodes[0].view.borrow().config_reason(), None);
}

/// Guards against datagrams that fail verification but are merged or not counted, and against calls
/// under another key that are answered.
#[tokio::test]
async fn forged_datagrams_are_counted() {
    let system = TestSystem::start("forged", 1).await;
    let socket = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let codec = PeerCodec::new([0x5a; 32]);
    let address = system.nodes[0].peer_address;

    for bytes in [&[EXCHANGE_VERSION; 60][..], &[9; 60], &[1; 5]] {
        socket
            .send_to(bytes, address)
            .await
            .expect("the datagram is sent");
    }
    let begun = Instant::now();
    let mut dropped = Vec::new();
    while dropped.len() < 3 && begun.elapsed() < WAIT_TIMEOUT {
        let reply = call_peer(&codec, address, PeerRequest::Status).await;
        let PeerReply::Status(status) = reply.expect("the process answers") else {
            panic!("the answer is not a status");
        };
        dropped = status.dropped.into_iter().map(|drop| drop.reason).collect();
    }
    let foreign = call_peer(&PeerCodec::new([1; 32]), address, PeerRequest::Status).await;

    assert_eq!(dropped, ["length", "version", "forged"]);
    assert!(foreign.is_err());
}

/// Guards against metrics that are not sent or do not carry the process name.
#[tokio::test]
async fn metrics_reach_the_statsd_address() {
    let mut system = TestSystem::start("metrics", 0).await;
    let socket = UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let mut settings = system.settings("node-0");
    settings.metrics = Some(socket.local_addr().expect("the address is valid"));

    let node = ProcessRuntime::start(&settings, ProcessRole::Gateway).await;
    system.nodes.push(node.expect("the process starts"));
    assert_eq!(system.apply(0, 101, &[]).await, Ok(()));
    let mut buffer = [0; 2_048];
    let mut found = false;
    while !found {
        let received = tokio::time::timeout(WAIT_TIMEOUT, socket.recv(&mut buffer)).await;
        let length = received
            .expect("a metric arrives")
            .expect("the metric is received");
        let metric = String::from_utf8_lossy(&buffer[..length]).into_owned();
        found = metric == "toucanring.configuration.version:1|g|#process:node-0";
    }

    assert!(found);
}
