//! Calls through real gateway processes: late and swapped chunks, stalled connections, crashes,
//! leaving servers, resends and golden sessions.

use {
    bytes::Bytes,
    http_body_util::Empty,
    hyper::Request,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    standins::{
        backend::{BackendFault, ChatRequest, EngineSettings, answer_text},
        deploy::{CallerCall, Deployment, DeploymentPlan, chat_call, event_data, wait_until},
        platform::FaultChange,
    },
    std::{
        fs,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Time limit of conditions whose duration the tests don't check.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn expected_answer(prompt: &str, tokens: u32) -> String {
    answer_text(&ChatRequest {
        model: "chat".to_owned(),
        messages: serde_json::json!([{"role": "user", "content": prompt}]),
        max_tokens: tokens,
        stream: true,
    })
}

fn content(events: &[String]) -> String {
    let chunks = events.iter().filter_map(|event| event_data(event));
    let parts = chunks.filter_map(|chunk| {
        let part = chunk["choices"][0]["delta"]["content"].as_str();
        part.map(str::to_owned)
    });
    parts.collect()
}

fn models(deployment: &Deployment) -> Vec<String> {
    let names = deployment.addresses.keys();
    names.filter(|name| name.contains("-m")).cloned().collect()
}

async fn inject_into_models(deployment: &Deployment, fault: BackendFault) {
    for model in models(deployment) {
        let set = deployment.fault(&model, fault.clone()).await;
        set.expect("fault is set");
    }
}

// Guards against a gateway that passes chunks of a previous attempt, or chunks in the wrong order,
// to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn late_and_swapped_chunks_never_reach_the_caller() {
    let deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");
    inject_into_models(&deployment, BackendFault::LateChunks(20)).await;
    inject_into_models(&deployment, BackendFault::OutOfOrder(2)).await;

    for number in 0..10 {
        let prompt = format!("mixed {number}");
        let stream = deployment.stream(0, chat_call(&prompt, 12, true)).await;
        let events = stream.expect("stream opens").read_to_end().await;
        assert_eq!(content(&events), expected_answer(&prompt, 12), "{events:?}");
        assert!(events.iter().any(|event| event == "data: [DONE]"));
    }
}

// Guards against a stream that ends, stalls or repeats tokens when the open connections to all
// backend servers stop carrying data without being closed.
#[tokio::test(flavor = "multi_thread")]
async fn stream_on_a_silent_connection_continues_within_three_seconds() {
    let deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");
    let stream = deployment.stream(0, chat_call("silence", 200, true)).await;
    let mut stream = stream.expect("stream opens");
    let mut events = vec![stream.next().await.expect("first event")];

    inject_into_models(&deployment, BackendFault::Silence).await;
    let mut longest_gap = Duration::ZERO;
    let mut last_event = Instant::now();
    while let Some(event) = stream.next().await {
        longest_gap = longest_gap.max(last_event.elapsed());
        last_event = Instant::now();
        events.push(event);
    }

    assert_eq!(content(&events), expected_answer("silence", 200));
    assert!(events.iter().any(|event| event == "data: [DONE]"));
    assert!(
        longest_gap < Duration::from_secs(3),
        "stream stalled for {longest_gap:?}"
    );
}

/// Two groups of two instances, with a fifth instance free.
fn two_groups() -> DeploymentPlan {
    DeploymentPlan {
        groups: 2,
        model_instances: 5,
        ..DeploymentPlan::default()
    }
}

// Guards against a stream that loses or repeats tokens, or is generated from its beginning again,
// when the head of its group dies and another group continues it.
#[tokio::test(flavor = "multi_thread")]
async fn stream_continues_on_another_group() {
    let deployment = Deployment::start(two_groups()).await.expect("start");
    let stream = deployment.stream(0, chat_call("moved", 150, true)).await;
    let mut stream = stream.expect("stream opens");
    let mut events = vec![stream.next().await.expect("first event")];
    let runs = deployment.runs(None).await.expect("runs").runs;
    let head = runs.last().expect("the request runs").instance.clone();

    let died = deployment.fault(&head, BackendFault::Die).await;
    died.expect("fault is set");
    events.extend(stream.read_to_end().await);

    assert_eq!(content(&events), expected_answer("moved", 150));
    let runs = deployment.runs(None).await.expect("runs").runs;
    assert!(
        runs.last().expect("second run").resumed_from > 0,
        "the resumed run generated the delivered tokens again"
    );
    assert!(events.iter().any(|event| event == "data: [DONE]"));
}

// Guards against a request that crashes more than two groups when the caller resends it through
// both gateways, and against other streams that end with it.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_takes_two_groups_at_most() {
    let plan = DeploymentPlan {
        gateways: 2,
        groups: 3,
        model_instances: 6,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(plan).await.expect("start");
    let marker = BackendFault::CrashMarker(Some("crash-me".to_owned()));
    inject_into_models(&deployment, marker).await;
    let bystander = deployment.stream(0, chat_call("beside", 60, true)).await;
    let mut bystander = bystander.expect("stream opens");

    let mut last = None;
    for gateway in [0, 1, 0, 1, 0, 1] {
        let reply = deployment.call(gateway, chat_call("crash-me", 5, false));
        last = Some(reply.await.expect("answer"));
    }

    let last: serde_json::Value = last.expect("answers").decode().expect("JSON");
    assert_eq!(last["execution"], "ran", "{last}");
    let mut crashes = 0;
    for model in models(&deployment) {
        let report = wait_until("the instance is back", WAIT_TIMEOUT, || {
            deployment.report(&model)
        });
        crashes += report.await.expect("report").crashes;
    }
    let span = deployment.plan.span;
    assert!(
        crashes <= 2 * span,
        "{crashes} crashes of instances, with groups of {span}"
    );
    let events = bystander.read_to_end().await;
    assert!(events.iter().any(|event| event == "data: [DONE]"));
}

// Guards against requests to a server more than two seconds after it announced that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_nothing_after_two_seconds() {
    let engine = EngineSettings {
        step_ms: 5.0,
        ..EngineSettings::default()
    };
    let plan = DeploymentPlan {
        engine,
        ..two_groups()
    };
    let deployment = Deployment::start(plan).await.expect("start");
    let leaving = deployment.fault("d0-m0", BackendFault::Leaving(true)).await;
    leaving.expect("fault is set");

    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(4) {
        number += 1;
        let call = chat_call(&format!("leaving {number}"), 3, false);
        let reply = deployment.call(0, call).await.expect("answer");
        assert!(reply.status.is_success(), "{reply:?}");
    }

    let runs = deployment.runs(None).await.expect("runs").runs;
    let delays_ms = runs.iter().filter_map(|run| run.after_leaving_ms);
    assert_eq!(delays_ms.filter(|ms| *ms > 2_000).count(), 0);
}

// Guards against a resend that runs again, or that gets another outcome than the recorded one,
// while responses of the platform are lost and delayed.
#[tokio::test(flavor = "multi_thread")]
async fn resend_gets_the_recorded_outcome() {
    let plan = DeploymentPlan {
        gateways: 2,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(plan).await.expect("start");
    let faults = FaultChange {
        lost_answers: Some(4),
        delay_ms: Some(60),
        ..FaultChange::default()
    };
    deployment
        .change_platform_faults(&faults)
        .await
        .expect("faults");
    let booking = || {
        let call = CallerCall::post("/services/ledger/bookings", r#"{"day":3}"#);
        call.header("Idempotency-Key", "once")
    };

    let first = deployment.call(0, booking()).await.expect("answer");
    let second = wait_until("the outcome is recorded", WAIT_TIMEOUT, || async {
        let reply = deployment.call(1, booking()).await.ok()?;
        reply.status.is_success().then_some(reply)
    });
    let second = second.await.expect("resend is answered");

    assert_eq!(first.body, second.body);
    let runs = deployment.runs(Some("once")).await.expect("runs").runs;
    assert_eq!(runs.len(), 1);
    let other = CallerCall::post("/services/ledger/bookings", r#"{"day":4}"#);
    let other = other.header("Idempotency-Key", "once");
    let reused = deployment.call(1, other).await.expect("answer");
    assert_eq!(reused.status.as_u16(), 409, "key was used for another body");
}

// Guards against a gateway that does not serve HTTP/2 callers.
#[tokio::test(flavor = "multi_thread")]
async fn http2_callers_are_served() {
    let deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");
    let client = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http::<Empty<Bytes>>();
    let request = Request::get(format!(
        "http://{}/v1/models",
        deployment.gateways[0].address
    ))
    .header("Authorization", "Bearer deployment-key")
    .body(Empty::new())
    .expect("request");

    let answer = client.request(request).await.expect("answer");

    assert_eq!(answer.version(), hyper::Version::HTTP_2);
    assert_eq!(answer.status(), 200);
}

/// Sends one raw request and returns everything that the gateway sends until it closes.
async fn exchange_raw(deployment: &Deployment, request: &str) -> String {
    let address = deployment.gateways[0].address;
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(request.as_bytes()).await.expect("writes");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer);
    let read = tokio::time::timeout(WAIT_TIMEOUT, read).await;
    read.expect("answer ends").expect("answer is text");
    answer
}

/// Removes the date and masks the fields that differ from run to run.
fn mask_varying_parts(answer: &str) -> String {
    let lines = answer.lines().filter(|line| !line.starts_with("date:"));
    // The instance, the attempt and the run number differ from run to run.
    let lines = lines.map(|line| match serde_json::from_str(line) {
        Ok(serde_json::Value::Object(mut fields)) if fields.contains_key("attempt") => {
            for name in ["attempt", "instance", "run"] {
                fields.insert(name.to_owned(), "*".into());
            }
            serde_json::Value::Object(fields).to_string()
        }
        _ => line.to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n") + "\n"
}

// Guards against a change of what callers see. Compares whole sessions over HTTP/1.1 byte for byte,
// except for the date and the fields attempt, instance and run.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_match_their_golden_files() {
    let deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../tests/golden/requests");
    let mut names: Vec<_> = fs::read_dir(directory)
        .expect("golden files")
        .map(|entry| entry.expect("entry").path())
        .filter(|path| path.extension().is_some_and(|kind| kind == "request"))
        .collect();
    names.sort();
    assert!(names.len() >= 6);
    for path in names {
        let request = fs::read_to_string(&path).expect("request");
        let (head, body) = request.split_once("\n\n").expect("head and body");
        let body = body.trim_end();
        let head = head.replace('\n', "\r\n");
        let request = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let answer = mask_varying_parts(&exchange_raw(&deployment, &request).await);
        let golden = path.with_extension("answer");
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            fs::write(&golden, &answer).expect("golden file is written");
        }
        let expected = fs::read_to_string(&golden).expect("golden answer");
        assert_eq!(answer, expected, "{}", path.display());
    }
}

// Guards against calls that the gateway still counts as open, and claims that it never settles,
// after their callers have left or been served.
#[tokio::test(flavor = "multi_thread")]
async fn counts_of_open_calls_return_to_zero() {
    let deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");
    for number in 0..20 {
        let call = chat_call(&format!("left {number}"), 300, true);
        drop(deployment.stream(0, call).await);
        let call = CallerCall::post("/services/ledger/bookings", "{}");
        let _ = deployment.call(0, call).await;
    }

    wait_until("all counts are zero", WAIT_TIMEOUT, || async {
        let reply = deployment.call(0, CallerCall::get("/status")).await.ok()?;
        let status: serde_json::Value = reply.decode().ok()?;
        let none_open = status["open_calls"] == 0 && status["dispatcher"]["open"] == 0;
        let claims_settled = status["dispatcher"]["unsettled_claims"] == 0;
        (none_open && claims_settled).then_some(())
    })
    .await
    .expect("counts return to zero");
}
