//! Tests of minute records on their way from the writer through the platform to the report.

use {
    bytes::Bytes,
    serde_json::{Value, json},
    slog::{Discard, Logger, o},
    standins::{
        deploy::{CallerCall, CallerClient, DeploymentPlan},
        platform::{FaultChange, PlatformServer, PlatformSettings},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, SystemTime},
    },
    tokio::net::TcpListener,
    toucanring::{
        adapters::{MinuteWriter, PlatformClient},
        cli::{BurnArgs, ReportArgs, ReportCommand},
        core::burn::{FinishedRequest, RequestOutcome},
        report::{self, MinuteStamp},
        wire::{CommitRequest, RowWrite},
    },
};

async fn start_platform() -> (SocketAddr, PlatformClient) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    tokio::spawn(PlatformServer::new(PlatformSettings::default()).run(listener));
    let client = PlatformClient::new(address, "d0", Duration::from_secs(2));
    let text = DeploymentPlan::default().operator_text(&BTreeMap::new());
    let body = Bytes::from(text.to_string());
    client
        .write_object("config/x", body)
        .await
        .expect("stores the text");
    let write = RowWrite {
        key: "config/current".to_owned(),
        value: json!({"version": 1, "digest": "x", "author": "test"}),
    };
    let request = CommitRequest {
        conditions: Vec::new(),
        writes: vec![write],
    };
    client.commit(&request).await.expect("commits the row");
    (address, client)
}

async fn lose_responses(platform: SocketAddr, count: u32) {
    let change = FaultChange {
        lost_answers: Some(count),
        ..FaultChange::default()
    };
    let body = serde_json::to_string(&change).expect("serializes");
    let call = CallerCall::post("/v1/faults", body);
    let reply = CallerClient::default().send(platform, call).await;
    assert!(reply.expect("platform answers").status.is_success());
}

fn record_requests(writer: &MinuteWriter, count: usize) {
    for _ in 0..count {
        writer.note(FinishedRequest {
            service: "chat".to_owned(),
            account: "caller".to_owned(),
            kind: "note".to_owned(),
            weight: 1.0,
            outcome: RequestOutcome::Completed,
        });
    }
}

async fn read_report(platform: SocketAddr) -> Value {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let minute = since_epoch.expect("clock is set").as_secs() / 60;
    let args = ReportArgs {
        command: ReportCommand::Burn(BurnArgs {
            platform: Some(platform),
            from_dir: None,
            json: true,
            html: None,
            until: Some(MinuteStamp(minute)),
        }),
    };
    let mut output = Vec::new();
    report::run(&args, &mut output)
        .await
        .expect("report is made");
    serde_json::from_slice(&output).expect("report is JSON")
}

/// Guards against sums of the report that change when a write is repeated because its response was
/// lost, or when a process restarts.
#[tokio::test]
async fn lost_responses_and_restarts_keep_the_sums_exact() {
    let (platform, client) = start_platform().await;
    let logger = Logger::root(Discard, o!());
    let first = MinuteWriter::start(client.clone(), "gateway-1", 1, &logger);
    record_requests(&first, 25);
    lose_responses(platform, 1).await;
    assert_eq!(first.close().await, 0, "the repeated write is confirmed");

    let second = MinuteWriter::start(client, "gateway-1", 2, &logger);
    record_requests(&second, 17);
    assert_eq!(second.close().await, 0, "the minute is stored");

    let json = read_report(platform).await;
    assert_eq!(json["windows"][0]["total"]["requests"], 42);
    assert_eq!(json["duplicates"], 0);
    assert_eq!(json["unreadable"], json!([]));
}
