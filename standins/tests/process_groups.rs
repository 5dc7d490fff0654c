//! Replica groups of real processes: lost members, repair, silent connections, leaving servers and
//! lost controllers.

use {
    standins::{
        backend::{BackendFault, ChatRequest, RunRecord, answer_text},
        deploy::{CallerReply, Deployment, DeploymentPlan, chat_call, event_data, wait_until},
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Time limit of conditions whose duration the tests don't check.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a busy test machine may add to a time limit of the design.
const BUSY_MACHINE_MARGIN: Duration = Duration::from_secs(2);

fn two_groups() -> DeploymentPlan {
    DeploymentPlan {
        model_instances: 4,
        groups: 2,
        ..DeploymentPlan::default()
    }
}

fn expected_answer(prompt: &str, tokens: u32) -> String {
    let body = chat_call(prompt, tokens, false).body;
    let request: ChatRequest = serde_json::from_slice(&body).expect("call has a chat body");
    answer_text(&request)
}

fn content(reply: &CallerReply) -> String {
    let body: serde_json::Value = reply.decode().expect("answer is JSON");
    let content = body["choices"][0]["message"]["content"].as_str();
    content.unwrap_or_default().to_owned()
}

/// Starts a stream, reads its first event and returns it with the run that serves it.
async fn start_stream(deployment: &Deployment) -> (standins::deploy::EventStream, RunRecord) {
    let earlier_runs = deployment
        .runs(None)
        .await
        .expect("runs are listed")
        .runs
        .len();
    let call = chat_call("long", 150, true);
    let mut stream = deployment.stream(0, call).await.expect("stream opens");
    stream.next().await.expect("stream has a first event");
    let runs = deployment.runs(None).await.expect("runs are listed").runs;
    (stream, runs[earlier_runs].clone())
}

/// Sends requests until `count` groups have run at least one.
async fn wait_for_groups(deployment: &Deployment, count: usize) {
    let number = std::cell::Cell::new(0);
    wait_until("all groups serve", WAIT_TIMEOUT, || async {
        number.set(number.get() + 1);
        let call = chat_call(&format!("{} warm up", number.get()), 1, false);
        deployment.call(0, call).await.ok()?;
        let runs = deployment.runs(None).await.ok()?.runs;
        let heads: BTreeSet<String> = runs.into_iter().map(|run| run.instance).collect();
        (heads.len() == count).then_some(())
    })
    .await
    .expect("groups form");
}

// Guards against a group that keeps its epoch, and so keeps serving, after one of its members has
// died, or that is never completed with the spare instance.
#[tokio::test(flavor = "multi_thread")]
async fn killed_member_is_replaced() {
    let plan = DeploymentPlan {
        model_instances: 5,
        span: 4,
        ..DeploymentPlan::default()
    };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    let (_, group, epoch) = deployment.find_group_head().await.expect("a group exists");
    let mut killed = None;
    for instance in deployment.addresses.keys() {
        let membership = deployment
            .report(instance)
            .await
            .and_then(|report| report.membership);
        if membership.is_some_and(|member| member.rank == 2) {
            killed = Some(instance.clone());
        }
    }
    let killed = killed.expect("rank 2 exists");

    deployment
        .fault(&killed, BackendFault::Die)
        .await
        .expect("fault is set");

    wait_until("the group has four members again", WAIT_TIMEOUT, || async {
        let mut ranks = Vec::new();
        for instance in deployment.addresses.keys().filter(|name| **name != killed) {
            let membership = deployment.report(instance).await?.membership;
            ranks.extend(membership.map(|member| (member.group.0, member.epoch, member.rank)));
        }
        let reformed = ranks
            .iter()
            .all(|(id, member_epoch, _)| (id, member_epoch.to_string()) != (&group, epoch.clone()));
        (ranks.len() == 4 && reformed).then_some(())
    })
    .await
    .expect("group is repaired");
    let reply = wait_until("a request is answered", WAIT_TIMEOUT, || async {
        let reply = deployment
            .call(0, chat_call("again", 3, false))
            .await
            .ok()?;
        reply.status.is_success().then_some(reply)
    })
    .await
    .expect("repaired group serves");
    assert_eq!(content(&reply), expected_answer("again", 3));
}

// Guards against a stream that hangs, or loses or repeats tokens, when its connection stops
// carrying data without being closed.
#[tokio::test(flavor = "multi_thread")]
async fn stream_on_a_silent_connection_continues() {
    let deployment = Deployment::start(two_groups())
        .await
        .expect("deployment starts");
    wait_for_groups(&deployment, 2).await;
    let (mut stream, run) = start_stream(&deployment).await;

    deployment
        .fault(&run.instance, BackendFault::Silence)
        .await
        .expect("fault is set");
    let mut longest_gap = Duration::ZERO;
    let mut last_event = Instant::now();
    let mut text = standins::backend::answer_token(run.digest, 0);
    let mut done = false;
    while let Some(event) = stream.next().await {
        longest_gap = longest_gap.max(last_event.elapsed());
        last_event = Instant::now();
        done |= event.contains("[DONE]");
        if let Some(data) = event_data(&event) {
            text += data["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default();
        }
    }

    assert!(done, "stream ended without [DONE] after {text:?}");
    assert_eq!(text, expected_answer("long", 150));
    assert!(
        longest_gap < Duration::from_secs(3) + BUSY_MACHINE_MARGIN,
        "stream stalled for {longest_gap:?}"
    );
}

// Guards against requests to a server that announced that it is leaving, and against the loss of
// a stream that it serves at that time.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_new_work() {
    let deployment = Deployment::start(two_groups())
        .await
        .expect("deployment starts");
    wait_for_groups(&deployment, 2).await;
    let (mut stream, run) = start_stream(&deployment).await;
    let limit = Duration::from_secs(2) + BUSY_MACHINE_MARGIN;

    deployment
        .fault(&run.instance, BackendFault::Leaving(true))
        .await
        .expect("fault is set");
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < limit * 2 {
        number += 1;
        let call = chat_call(&format!("{number} note"), 2, false);
        let reply = deployment.call(0, call).await.expect("gateway answers");
        assert!(reply.status.is_success(), "call {number}: {reply:?}");
    }

    let events = stream.read_to_end().await;
    assert!(
        events.iter().any(|event| event.contains("[DONE]")),
        "open stream was cut"
    );
    for run in deployment.runs(None).await.expect("runs are listed").runs {
        let after = Duration::from_millis(run.after_leaving_ms.unwrap_or(0));
        assert!(
            after < limit,
            "run started {after:?} after the server announced that it is leaving"
        );
    }
}

// Guards against gateways that keep sending requests to a broken group while no controller is
// there to withdraw it.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_withdraw_without_controllers() {
    let mut plan = two_groups();
    plan.controllers = 2;
    let mut deployment = Deployment::start(plan).await.expect("deployment starts");
    wait_for_groups(&deployment, 2).await;
    let (_stream, run) = start_stream(&deployment).await;
    let (group, epoch) = run.group.clone().expect("a model request has a group");
    let mut member = None;
    for instance in deployment.addresses.keys() {
        let membership = deployment
            .report(instance)
            .await
            .and_then(|report| report.membership);
        let is_rank_1 = membership.is_some_and(|member| {
            member.group.0 == group && member.epoch == epoch && member.rank == 1
        });
        member = member.or_else(|| is_rank_1.then(|| instance.clone()));
    }
    let member = member.expect("the group has a second member");

    for controller in &mut deployment.controllers {
        controller.process.kill();
    }
    deployment
        .fault(&member, BackendFault::Die)
        .await
        .expect("fault is set");
    let died_ms = deployment.runs(None).await.expect("runs are listed").now_ms;
    let limit = Duration::from_secs(2) + BUSY_MACHINE_MARGIN;
    let started = Instant::now();
    let mut sent = 0;
    while started.elapsed() < limit * 2 {
        sent += 1;
        // The number comes first so that the prompts share no prefix; prefix affinity would send
        // all of them to one group otherwise.
        let call = chat_call(&format!("{sent} after"), 2, false);
        let reply = deployment.call(0, call).await.expect("gateway answers");
        assert!(reply.status.is_success(), "call {sent}: {reply:?}");
    }

    let list = deployment.runs(None).await.expect("runs are listed");
    for refusal in list.refusals {
        let after = Duration::from_millis(refusal.at_ms.saturating_sub(died_ms));
        assert!(
            after < limit,
            "request reached the broken group {after:?} after its member died"
        );
    }
}
