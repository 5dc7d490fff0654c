//! Responses of real gateway processes under faults of backend servers and of the platform.

use {
    standins::{
        backend::{BackendFault, ChatRequest, EngineSettings, answer_text},
        deploy::{
            CallerCall, CallerReply, Deployment, DeploymentPlan, chat_call, event_data, wait_until,
        },
        platform::FaultChange,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// Time limit of conditions whose duration the tests don't check.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of requests in tests that look for wrong answers.
const REQUESTS: usize = 40;

fn expected_answer(call: &CallerCall) -> String {
    let request: ChatRequest = serde_json::from_slice(&call.body).expect("call has a chat body");
    answer_text(&request)
}

fn content(reply: &CallerReply) -> String {
    let body: serde_json::Value = reply.decode().expect("answer is JSON");
    let content = body["choices"][0]["message"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}

/// Reads a stream; returns its text and whether it ended with `[DONE]`.
async fn read_stream(deployment: &Deployment, call: CallerCall) -> (String, bool) {
    let mut stream = deployment.stream(0, call).await.expect("stream opens");
    let events = stream.read_to_end().await;
    let data = events.iter().filter_map(|event| event_data(event));
    let tokens = data.filter_map(|data| {
        let token = data["choices"][0]["delta"]["content"].as_str()?;
        Some(token.to_owned())
    });
    let done = events.iter().any(|event| event.contains("[DONE]"));
    (tokens.collect(), done)
}

// Guards against a gateway that passes chunks of a previous attempt, or chunks in the wrong order,
// to a caller, or that shows a truncated answer as complete.
#[tokio::test(flavor = "multi_thread")]
async fn late_and_swapped_chunks_never_reach_a_caller() {
    let deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");
    for instance in ["d0-m0", "d0-m1"] {
        let late = BackendFault::LateChunks(u32::MAX);
        deployment
            .fault(instance, late)
            .await
            .expect("fault is set");
    }

    for number in 0..REQUESTS {
        if number % 4 == 0 {
            for instance in ["d0-m0", "d0-m1"] {
                let swap = BackendFault::OutOfOrder(1);
                deployment
                    .fault(instance, swap)
                    .await
                    .expect("fault is set");
            }
        }
        let call = chat_call(&format!("{number} chunk"), 5, true);
        let expected = expected_answer(&call);
        let (text, done) = read_stream(&deployment, call).await;

        assert!(
            expected.starts_with(&text),
            "wrong answer {text:?}, expected {expected:?}"
        );
        assert_eq!(done, text == expected, "truncated answer shown as complete");
        assert!(done || number % 4 == 0, "stream {number} was not completed");
    }
}

// Guards against a booking that runs twice, or is refused as not run although it ran, when the
// platform's response to the write of its claim is lost.
#[tokio::test(flavor = "multi_thread")]
async fn claims_with_lost_responses_are_settled() {
    let deployment = Deployment::start(DeploymentPlan::default())
        .await
        .expect("start");

    for number in 0..10 {
        let change = FaultChange {
            lost_answers: Some(1),
            ..FaultChange::default()
        };
        deployment
            .change_platform_faults(&change)
            .await
            .expect("fault is set");
        let key = format!("lost-{number}");
        let booking = || {
            CallerCall::post("/services/ledger/bookings", r#"{"day":3}"#)
                .header("Idempotency-Key", &key)
        };
        let first = deployment
            .call(0, booking())
            .await
            .expect("gateway answers");
        let second = deployment
            .call(0, booking())
            .await
            .expect("gateway answers");

        let runs = deployment
            .runs(Some(&key))
            .await
            .expect("runs are listed")
            .runs;
        let refused = first.decode::<serde_json::Value>().expect("JSON")["execution"] == "not_run";
        assert!(runs.len() <= 1, "{key} ran {} times", runs.len());
        assert!(
            !first.status.is_success() || first.body == second.body,
            "{second:?}"
        );
        // After a refusal as `not_run`, the resend may run, so the only run is that of a successful
        // resend.
        let second_ran = usize::from(second.status.is_success());
        assert!(!refused || runs.len() == second_ran, "{first:?} {second:?}");
    }
}

// Guards against a request that crashes group after group when its caller resends it through both
// gateways.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_takes_two_groups_at_most() {
    let plan = DeploymentPlan {
        model_instances: 8,
        groups: 4,
        gateways: 2,
        engine: EngineSettings {
            crash_marker: Some("CRASH".to_owned()),
            ..EngineSettings::default()
        },
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    let number = std::cell::Cell::new(0);
    wait_until("all groups serve", WAIT_TIMEOUT, || async {
        number.set(number.get() + 1);
        let call = chat_call(&format!("{} warm up", number.get()), 1, false);
        deployment.call(0, call).await.ok()?;
        let runs = deployment.runs(None).await.ok()?.runs;
        let heads: BTreeSet<String> = runs.into_iter().map(|run| run.instance).collect();
        (heads.len() == 4).then_some(())
    })
    .await
    .expect("groups form");

    let mut replies = Vec::new();
    for attempt in 0..6 {
        let call = chat_call("CRASH", 3, false);
        let reply = deployment
            .call(attempt % 2, call)
            .await
            .expect("gateway answers");
        assert!(!reply.status.is_success(), "{reply:?}");
        replies.push(reply);
    }

    let crashes = wait_until("all servers are up again", WAIT_TIMEOUT, || async {
        let mut crashes = 0;
        for instance in deployment.addresses.keys() {
            crashes += deployment.report(instance).await?.crashes;
        }
        Some(crashes)
    })
    .await
    .expect("crashed engines restart");
    // A crash of a group is counted by both of its members.
    let runs = deployment.runs(None).await.expect("runs are listed").runs;
    let cut_runs = runs.iter().filter(|run| !run.completed).collect::<Vec<_>>();
    assert!(
        (2..=4).contains(&crashes),
        "{crashes} crashes of members: {cut_runs:#?} {replies:#?}"
    );
    let last: serde_json::Value = replies[5].decode().expect("JSON");
    assert_eq!(last["execution"], "ran", "{last}");
    let other = chat_call("innocent", 3, false);
    let expected = expected_answer(&other);
    let reply = deployment.call(0, other).await.expect("gateway answers");
    assert_eq!(content(&reply), expected);
}

// Guards against a failure domain that stops serving, or gives wrong answers, while it is
// partitioned from the platform.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_domain_serves_its_callers() {
    let plan = DeploymentPlan {
        failure_domains: 2,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    let change = FaultChange {
        partitioned: Some(vec!["d0".to_owned()]),
        ..FaultChange::default()
    };

    deployment
        .change_platform_faults(&change)
        .await
        .expect("fault is set");
    for number in 0..REQUESTS {
        for gateway in 0..2 {
            let call = chat_call(&format!("{number} cut"), 2, false);
            let expected = expected_answer(&call);
            let reply = deployment
                .call(gateway, call)
                .await
                .expect("gateway answers");
            assert_eq!(content(&reply), expected, "gateway {gateway}: {reply:?}");
        }
    }
}
