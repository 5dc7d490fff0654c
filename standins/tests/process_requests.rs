//! Requests through real processes: resends, a platform outage, shutdown and bad input.

use {
    standins::{
        backend::EngineSettings,
        deploy::{
            CallerCall, CallerReply, Deployment, DeploymentPlan, chat_call, event_data, wait_until,
        },
        platform::FaultChange,
    },
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Time limit of conditions whose duration the tests don't check.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn booking(key: &str) -> CallerCall {
    let call = CallerCall::post("/services/ledger/bookings", r#"{"day":12}"#);
    call.header("Idempotency-Key", key)
        .header("Request-Kind", "booking")
}

fn execution(reply: &CallerReply) -> String {
    let body: serde_json::Value = reply.decode().expect("answer is JSON");
    body["execution"].as_str().unwrap_or_default().to_owned()
}

async fn run_count(deployment: &Deployment, key: &str) -> usize {
    let list = deployment.runs(Some(key)).await.expect("runs are listed");
    list.runs.len()
}

// Guards against a second run of a booking when its gateway is killed and the caller resends it
// through another one.
#[tokio::test(flavor = "multi_thread")]
async fn resend_through_another_gateway_runs_once() {
    let engine = EngineSettings {
        plain_ms: 1_500,
        ..EngineSettings::default()
    };
    let plan = DeploymentPlan {
        gateways: 2,
        engine,
        ..DeploymentPlan::default()
    };
    let mut deployment = Deployment::start(plan).await.expect("deployment starts");
    let (client, address) = (deployment.client.clone(), deployment.gateways[0].address);
    let call = booking("resent").header("Authorization", "Bearer deployment-key");
    let first = tokio::spawn(async move { client.send(address, call).await });
    wait_until("the booking runs", WAIT_TIMEOUT, || async {
        (run_count(&deployment, "resent").await == 1).then_some(())
    })
    .await
    .expect("booking reaches the server");

    deployment.gateways[0].process.kill();
    let lost_reply = first.await.expect("caller task ends");
    assert!(
        lost_reply.is_err(),
        "the killed gateway responded: {lost_reply:?}"
    );
    let reply = deployment
        .call(1, booking("resent"))
        .await
        .expect("gateway answers");

    assert!(
        !reply.status.is_success(),
        "success without a recorded outcome: {reply:?}"
    );
    assert_eq!(execution(&reply), "unknown");
    assert_eq!(run_count(&deployment, "resent").await, 1);
}

// Guards against chat requests that fail, or a booking that runs without a claim, while the
// platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn platform_outage_stops_only_bookings() {
    let deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");
    let outage = |on| FaultChange {
        outage: Some(on),
        ..FaultChange::default()
    };

    deployment
        .change_platform_faults(&outage(true))
        .await
        .expect("fault is set");
    let chat = deployment
        .call(0, chat_call("outage", 2, false))
        .await
        .expect("answer");
    let refused = deployment.call(0, booking("outage")).await.expect("answer");
    deployment
        .change_platform_faults(&outage(false))
        .await
        .expect("fault is set");

    assert!(chat.status.is_success(), "{chat:?}");
    // The claim can't be read either, so an earlier attempt of the booking may have run.
    assert_eq!(execution(&refused), "unknown", "{refused:?}");
    assert_eq!(run_count(&deployment, "outage").await, 0);
    wait_until("a booking is answered again", WAIT_TIMEOUT, || async {
        let reply = deployment.call(0, booking("outage")).await.ok()?;
        reply.status.is_success().then_some(())
    })
    .await
    .expect("bookings resume");
    assert_eq!(run_count(&deployment, "outage").await, 1);
}

// Guards against a graceful shutdown that cuts an open stream or never ends.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_interrupts_no_stream() {
    let mut deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");
    let mut stream = deployment
        .stream(0, chat_call("long", 100, true))
        .await
        .expect("stream");
    stream.next().await.expect("stream has a first event");

    deployment.gateways[0]
        .process
        .signal("TERM")
        .expect("signal is sent");
    let events = stream.read_to_end().await;

    let tokens = events.iter().filter_map(|event| event_data(event));
    let tokens = tokens.filter(|data| data["choices"][0]["delta"]["content"].is_string());
    assert_eq!(tokens.count(), 99, "stream was cut");
    assert!(events.iter().any(|event| event.contains("[DONE]")));
    let process = std::cell::RefCell::new(&mut deployment.gateways[0].process);
    let status = wait_until("the gateway exits", WAIT_TIMEOUT, || async {
        process.borrow_mut().exit_status()
    });
    assert!(status.await.expect("exit").success());
}

/// Sends raw bytes and returns the first bytes of the response, up to 4096; empty when there is
/// none or with `close_early`, which closes the connection without reading.
async fn send_raw(deployment: &Deployment, bytes: &[u8], close_early: bool) -> String {
    let address = deployment.gateways[0].address;
    let mut stream = TcpStream::connect(address).await.expect("connection opens");
    // The gateway may close the connection before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    if close_early {
        return String::new();
    }
    let mut answer = vec![0; 4_096];
    let read = tokio::time::timeout(WAIT_TIMEOUT, stream.read(&mut answer)).await;
    let length = read.map_or(0, |read| read.unwrap_or(0));
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

// Guards against bad input that gets the wrong status, and against calls that still count towards
// the concurrency of the client account after they ended early.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_holds_no_slot() {
    let plan = DeploymentPlan {
        concurrency: 4,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    let path = "/v1/chat/completions";
    let unknown = r#"{"model":"none","messages":[{"role":"user","content":"x"}]}"#;
    let wrong_key = chat_call("x", 1, false).header("Authorization", "Bearer wrong");
    let long_header = chat_call("x", 1, false).header("Request-Kind", &"k".repeat(1 << 20));
    let oversized = format!(
        r#"{{"model":"chat","messages":"{}"}}"#,
        "x".repeat(64 << 20)
    );
    let cases = [
        ("wrong JSON", 400, CallerCall::post(path, "{\"model\":")),
        ("unknown model", 404, CallerCall::post(path, unknown)),
        ("unknown path", 404, CallerCall::get("/nothing")),
        ("wrong key", 401, wrong_key),
        ("oversized body", 413, CallerCall::post(path, oversized)),
        ("oversized header", 431, long_header),
    ];

    for (name, status, call) in cases {
        let Ok(reply) = deployment.call(0, call).await else {
            // The gateway may close the connection when the input is larger than its limits.
            assert!(name.starts_with("oversized"), "{name}: no answer");
            continue;
        };
        assert_eq!(reply.status.as_u16(), status, "{name}: {reply:?}");
        if status != 431 {
            assert_eq!(execution(&reply), "not_run", "{name}");
        }
    }
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\
        Authorization: Bearer deployment-key\r\nContent-Length: 100\r\n\r\n{\"model\"";
    for _ in 0..8 {
        send_raw(&deployment, head.as_bytes(), true).await;
    }
    let garbage = send_raw(&deployment, b"not http at all\r\n\r\n", false).await;
    assert!(garbage.is_empty() || garbage.contains("400"), "{garbage:?}");
    for number in 0..8 {
        let call = chat_call(&format!("leave {number}"), 500, true);
        let stream = deployment.stream(0, call).await;
        // The caller leaves with the stream open.
        drop(stream.ok());
    }
    wait_until(
        "all four concurrent requests are served",
        WAIT_TIMEOUT,
        || async {
            let call = |n| deployment.call(0, chat_call(&format!("last {n}"), 5, false));
            let replies = tokio::join!(call(0), call(1), call(2), call(3));
            let replies = [replies.0, replies.1, replies.2, replies.3];
            let answered = replies.iter().flatten();
            let served = answered.filter(|reply| reply.status.is_success()).count();
            (served == 4).then_some(())
        },
    )
    .await
    .expect("ended calls no longer count towards the concurrency");
    wait_until("the engine is idle", WAIT_TIMEOUT, || async {
        let report = deployment.report("d0-m0").await?;
        let other = deployment.report("d0-m1").await?;
        (report.load.running + other.load.running == 0).then_some(())
    })
    .await
    .expect("runs of callers that left are cancelled");
}
