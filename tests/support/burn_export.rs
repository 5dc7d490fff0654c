use {
    serde_json::{Value, json},
    std::{fs, path::PathBuf},
    toucanring::{
        cli::{BurnArgs, ReportArgs, ReportCommand},
        core::burn::{LostCount, MinuteRecord, RequestCount, RequestOutcome, ServiceDowntime},
        report::{self, MinuteStamp},
        wire::Execution,
    },
};

/// Last minute of the reports in the tests.
pub const UNTIL: u64 = 30_000_000;

/// Directory with an export of the platform's objects; removed on drop.
pub struct BurnExport {
    /// Path of the directory.
    pub root: PathBuf,
}

impl Drop for BurnExport {
    fn drop(&mut self) {
        // A directory that can't be removed does no harm; the next run removes it.
        let _ = fs::remove_dir_all(&self.root);
    }
}

impl BurnExport {
    /// Creates an export that holds only an operator text.
    pub fn new(name: &str) -> Self {
        let root = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&root);
        let export = Self { root };
        export.write(
            "config/current",
            &json!({"version": 3, "digest": "d1", "author": "ops"}),
        );
        export.write("config/d1", &operator_text());
        export
    }

    pub fn write(&self, key: &str, value: &Value) {
        let path = self.root.join(key);
        fs::create_dir_all(path.parent().expect("key has a directory")).expect("creates");
        fs::write(path, value.to_string()).expect("writes");
    }

    /// Writes a record under its own key, or in the directory of its minute under the given file
    /// name.
    pub fn put(&self, record: &MinuteRecord, file: Option<&str>) {
        let own = format!("{}-{:016x}", record.process, record.boot);
        let key = format!("burn/{:08}/{}", record.minute, file.unwrap_or(&own));
        self.write(&key, &serde_json::to_value(record).expect("serializes"));
    }

    pub async fn report(&self, json: bool) -> String {
        let mut output = Vec::new();
        let args = self.args(json);
        report::run(&args, &mut output)
            .await
            .expect("report is made");
        String::from_utf8(output).expect("report is text")
    }

    pub async fn json(&self) -> Value {
        serde_json::from_str(&self.report(true).await).expect("report is JSON")
    }

    pub async fn page(&self) -> String {
        let path = self.root.join("page.html");
        let mut args = self.args(false);
        let ReportCommand::Burn(burn) = &mut args.command;
        burn.html = Some(path.clone());
        report::run(&args, &mut Vec::new())
            .await
            .expect("report is made");
        fs::read_to_string(path).expect("page is written")
    }

    pub fn args(&self, json: bool) -> ReportArgs {
        ReportArgs {
            command: ReportCommand::Burn(BurnArgs {
                platform: None,
                from_dir: Some(self.root.clone()),
                json,
                html: None,
                until: Some(MinuteStamp(UNTIL)),
            }),
        }
    }
}

pub fn record(minute: u64, boot: u64, requests: Vec<RequestCount>) -> MinuteRecord {
    MinuteRecord {
        minute,
        process: "gateway-1".to_owned(),
        boot,
        requests,
        downtime: Vec::new(),
        stranded_ms: 0,
        lost: LostCount::default(),
    }
}

pub fn counted(account: &str, outcome: RequestOutcome, count: u64) -> RequestCount {
    RequestCount {
        service: "chat".to_owned(),
        account: account.to_owned(),
        kind: "note".to_owned(),
        outcome,
        count,
        weight_milli: count * 1_500,
    }
}

pub fn refusal(reason: &str, execution: Execution) -> RequestOutcome {
    RequestOutcome::Refused {
        reason: reason.to_owned(),
        execution,
    }
}

/// Creates an export with every kind of entry: a gateway that was restarted, a controller,
/// refusals, lost minutes, and minutes of different age.
pub fn full_export(name: &str) -> BurnExport {
    let export = BurnExport::new(name);
    for age in [0, 1, 3, 30, 31, 200, 1_000, 4_319, 4_320] {
        let boot = if age < 30 { 2 } else { 1 };
        let mut minute = record(
            UNTIL - age,
            boot,
            vec![
                counted("foundry", RequestOutcome::Completed, 90 + age % 7),
                counted("foundry", RequestOutcome::Late, 2),
                counted("outlet", RequestOutcome::Incomplete, 1),
                counted("outlet", refusal("queue_full", Execution::NotRun), 3),
                counted("outlet", refusal("claim_unknown", Execution::Unknown), 1),
            ],
        );
        "booking".clone_into(&mut minute.requests[0].kind);
        minute.lost.minutes = u64::from(age == 31);
        minute.lost.requests = 40 * minute.lost.minutes;
        export.put(&minute, None);
    }
    for age in 0..400 {
        let mut minute = record(UNTIL - age, 9, Vec::new());
        "controller-1".clone_into(&mut minute.process);
        minute.downtime = vec![ServiceDowntime {
            service: "chat".to_owned(),
            downtime_ms: 1_250,
        }];
        minute.stranded_ms = 8_000;
        export.put(&minute, None);
    }
    export
}

fn operator_text() -> Value {
    json!({
        "deployment": "consorzio",
        "planner": {"group_downtime": 3.0, "stranded_accelerators": 1.0},
        "failure_domains": [],
        "backend_servers": [],
        "model_services": [],
        "plain_services": [],
        "request_kinds": [],
        "client_accounts": [],
        "objective": {"completion": 0.99}
    })
}
