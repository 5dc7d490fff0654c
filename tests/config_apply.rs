//! Applying an operator text against a fake platform that loses calls and answers.

use {
    rstest::rstest,
    serde_json::{Value, json},
    std::{collections::BTreeMap, time::Duration},
    toucanring::{
        core::apply::{
            ApplyAction, ApplyEvent, ApplyOutcome, ApplyRequest, CONFIG_ROW, ConfigApply,
            ConfigPointer, history_key,
        },
        wire::{CommitRequest, RowCondition, TableRow},
    },
};

/// Versioned table service, whose calls fail as the closure given to [`drive`] decides.
#[derive(Default)]
struct FakeTable {
    /// Each call and its answer, as the golden file records them.
    session: Vec<String>,
    rows: BTreeMap<String, TableRow>,
    /// Rows before each commit, oldest first, for stale reads.
    snapshots: Vec<BTreeMap<String, TableRow>>,
    version: u64,
    commits: u32,
}

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallFate {
    Answered,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is lost, but the caller cannot tell this from a lost answer.
    CallLost,
    /// No connection to the platform; the caller knows that the call had no effect.
    Outage,
    /// A read returns the rows from before this many commits.
    Stale(usize),
}

impl FakeTable {
    fn commit(&mut self, request: &CommitRequest) -> ApplyEvent {
        let mut conflicts = Vec::new();
        for condition in &request.conditions {
            let version = self.rows.get(&condition.key).map_or(0, |row| row.version);
            if version != condition.version {
                let key = condition.key.clone();
                conflicts.push(RowCondition { key, version });
            }
        }
        if !conflicts.is_empty() {
            return ApplyEvent::Conflict(conflicts);
        }
        self.snapshots.push(self.rows.clone());
        self.version += 1;
        self.commits += 1;
        for write in &request.writes {
            let key = write.key.clone();
            let row = TableRow {
                key: key.clone(),
                version: self.version,
                value: write.value.clone(),
            };
            match write.value {
                Value::Null => self.rows.remove(&key),
                _ => self.rows.insert(key, row),
            };
        }
        ApplyEvent::Committed(self.version)
    }

    fn call(&mut self, action: &ApplyAction, fate: CallFate) -> ApplyEvent {
        if fate == CallFate::Outage {
            return ApplyEvent::Failed("no connection".to_owned());
        }
        let unclear = ApplyEvent::Unclear("no answer".to_owned());
        if fate == CallFate::CallLost {
            return unclear;
        }
        let event = match action {
            ApplyAction::Read(key) => {
                let rows = match fate {
                    CallFate::Stale(commits) => &self.snapshots[self.snapshots.len() - commits],
                    _ => &self.rows,
                };
                ApplyEvent::Row(rows.get(key).cloned())
            }
            ApplyAction::WriteText(_) => ApplyEvent::ObjectWritten,
            ApplyAction::Commit(request) => self.commit(request),
            ApplyAction::Pause(_) | ApplyAction::Finish(_) => ApplyEvent::Resumed,
        };
        if fate == CallFate::AnswerLost {
            unclear
        } else {
            event
        }
    }

    fn pointer(&self) -> Option<ConfigPointer> {
        let row = self.rows.get(CONFIG_ROW)?;
        serde_json::from_value(row.value.clone()).ok()
    }
}

/// Runs an apply in virtual time; `inject_fault` decides on each call and may change the table
/// before it.
fn drive(
    table: &mut FakeTable,
    mut apply: ConfigApply,
    mut inject_fault: impl FnMut(u32, &ApplyAction, &mut FakeTable) -> CallFate,
) -> ApplyOutcome {
    let mut now = Duration::ZERO;
    let mut event = ApplyEvent::Start;
    for call in 0..10_000 {
        let mut actions = Vec::new();
        apply.step(now, event, &mut actions);
        assert_eq!(actions.len(), 1, "one call is open at a time");
        let action = actions.remove(0);
        now += Duration::from_millis(10);
        event = match action {
            ApplyAction::Finish(outcome) => return outcome,
            ApplyAction::Pause(pause) => {
                now += pause;
                ApplyEvent::Resumed
            }
            action => {
                let fate = inject_fault(call, &action, table);
                let event = table.call(&action, fate);
                let calls = format!(
                    "{}\n    {fate:?}: {}",
                    format_call(&action),
                    format_answer(&event)
                );
                table.session.push(calls);
                event
            }
        };
    }
    panic!("the apply does not end");
}

/// Formats a call as the HTTP request to the platform.
fn format_call(action: &ApplyAction) -> String {
    match action {
        ApplyAction::Read(key) => format!("GET /v1/rows/{key}"),
        ApplyAction::WriteText(key) => format!("PUT /v1/objects/{key}"),
        ApplyAction::Commit(request) => format!("POST /v1/commit {}", json!(request)),
        ApplyAction::Pause(_) | ApplyAction::Finish(_) => String::new(),
    }
}

fn format_answer(event: &ApplyEvent) -> String {
    match event {
        ApplyEvent::Row(row) => format!("{}", json!(row)),
        event => format!("{event:?}"),
    }
}

/// Guards against a call that is added, left out or changed by mistake. `UPDATE_GOLDEN=1` rewrites
/// the golden file.
#[test]
fn a_lost_answer_leads_to_the_recorded_calls() {
    let path = "tests/golden/configuration/lost_answer.txt";
    let mut table = started_table();

    let outcome = drive(&mut table, request(1, 1), |_, action, table| {
        let is_first = table.commits == 1 && matches!(action, ApplyAction::Commit(_));
        if is_first {
            CallFate::AnswerLost
        } else {
            CallFate::Answered
        }
    });

    let session = table.session.join("\n") + "\n";
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(path, &session).expect("golden file is writable");
    }
    assert_eq!(session, std::fs::read_to_string(path).expect("golden file"));
    assert!(matches!(outcome, ApplyOutcome::Accepted(_)), "{outcome:?}");
}

fn request(base: u64, attempt: u64) -> ConfigApply {
    ConfigApply::new(ApplyRequest {
        base,
        digest: format!("digest-{attempt}"),
        author: format!("operator-{attempt}"),
        attempt,
        applied_ms: 0,
        limit: Duration::from_secs(30),
    })
}

fn no_faults(_: u32, _: &ApplyAction, _: &mut FakeTable) -> CallFate {
    CallFate::Answered
}

/// A table in which version 1 of operator 100 is in force.
fn started_table() -> FakeTable {
    let mut table = FakeTable::default();
    let outcome = drive(&mut table, request(0, 100), no_faults);
    assert!(matches!(outcome, ApplyOutcome::Accepted(_)), "{outcome:?}");
    table
}

/// Guards against two operators who both believe that their text is in force.
#[test]
fn a_race_names_the_winner() {
    let mut table = started_table();
    let mut raced = false;

    let outcome = drive(&mut table, request(1, 1), |_, action, table| {
        if matches!(action, ApplyAction::Commit(_)) && !raced {
            raced = true;
            drive(table, request(1, 2), no_faults);
        }
        CallFate::Answered
    });

    let ApplyOutcome::Conflict(Some(winner)) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!((winner.version, &*winner.author), (2, "operator-2"));
    assert_eq!(table.pointer().expect("row").attempt, 2);
}

/// Guards against an apply of a text that was edited from a version that is no longer the newest.
#[test]
fn an_old_base_is_a_conflict() {
    let mut table = started_table();
    drive(&mut table, request(1, 1), no_faults);

    let outcome = drive(&mut table, request(1, 2), no_faults);

    assert!(
        matches!(outcome, ApplyOutcome::Conflict(Some(_))),
        "{outcome:?}"
    );
    assert_eq!(table.commits, 2);
}

/// Guards against a write that took effect but is reported as failed, or is repeated, when its
/// answer or the call itself is lost.
#[rstest]
#[case(CallFate::AnswerLost)]
#[case(CallFate::CallLost)]
fn a_commit_without_an_answer_is_accepted_once(#[case] fate: CallFate) {
    let mut table = started_table();
    let mut commits = 0;

    let outcome = drive(&mut table, request(1, 1), |_, action, _| {
        let is_commit = matches!(action, ApplyAction::Commit(_));
        commits += u32::from(is_commit);
        if is_commit && commits == 1 {
            fate
        } else {
            CallFate::Answered
        }
    });

    assert!(
        matches!(outcome, ApplyOutcome::Accepted(ref found) if found.version == 2),
        "{outcome:?}"
    );
    assert_eq!(table.commits, 2);
}

/// Guards against a reported conflict with the own write, when its answer was lost and a stale read
/// does not return it.
#[test]
fn an_own_write_is_not_a_conflict() {
    let mut table = started_table();
    let mut stale = 0;

    let outcome = drive(&mut table, request(1, 1), |_, action, table| match action {
        ApplyAction::Commit(_) if table.commits == 1 => CallFate::AnswerLost,
        ApplyAction::Read(_) if table.commits == 2 && stale < 1 => {
            stale += 1;
            CallFate::Stale(1)
        }
        _ => CallFate::Answered,
    });

    assert!(
        matches!(outcome, ApplyOutcome::Accepted(ref found) if found.attempt == 1),
        "{outcome:?}"
    );
    assert_eq!(table.commits, 2);
}

/// Guards against an accepted write that is reported as a conflict, because its answer was lost and
/// another operator has applied a later version since.
#[test]
fn a_lost_answer_followed_by_another_version_is_accepted() {
    let mut table = started_table();
    let mut lost = false;

    let outcome = drive(&mut table, request(1, 1), |_, action, table| {
        if matches!(action, ApplyAction::Commit(_)) && !lost {
            lost = true;
            return CallFate::AnswerLost;
        }
        if lost && table.pointer().is_some_and(|found| found.version == 2) {
            drive(table, request(2, 2), no_faults);
        }
        CallFate::Answered
    });

    assert!(
        matches!(outcome, ApplyOutcome::Accepted(ref found) if found.attempt == 1),
        "{outcome:?}"
    );
    assert_eq!(table.pointer().expect("row").version, 3);
}

/// Guards against a late copy of the commit that takes effect after the outcome was reported.
#[test]
fn a_late_copy_of_the_commit_changes_nothing() {
    let mut table = started_table();
    let mut late = None;

    let outcome = drive(&mut table, request(1, 1), |_, action, _| {
        if let (ApplyAction::Commit(request), None) = (action, &late) {
            late = Some(request.clone());
            return CallFate::CallLost;
        }
        CallFate::Answered
    });
    let event = table.commit(&late.expect("a commit was sent"));

    assert!(matches!(outcome, ApplyOutcome::Accepted(_)), "{outcome:?}");
    assert!(matches!(event, ApplyEvent::Conflict(_)), "{event:?}");
    assert_eq!(table.pointer().expect("row").version, 2);
}

/// Guards against an outage during any of the calls that loses or repeats a change.
#[rstest]
fn an_outage_at_any_step_does_not_lose_the_change(
    #[values(0, 1, 2, 3)] step: u32,
    #[values(CallFate::Outage, CallFate::CallLost, CallFate::AnswerLost)] fate: CallFate,
) {
    let mut table = started_table();
    let mut calls = 0;

    let outcome = drive(&mut table, request(1, 1), |_, _, _| {
        calls += 1;
        if (step + 1..step + 6).contains(&calls) {
            fate
        } else {
            CallFate::Answered
        }
    });

    assert!(matches!(outcome, ApplyOutcome::Accepted(_)), "{outcome:?}");
    assert_eq!(
        (table.commits, table.pointer().expect("row").attempt),
        (2, 1)
    );
}

/// Guards against the outcome "not applied" when a commit may have taken effect, and against
/// "unknown" when no commit was sent.
#[rstest]
#[case(false, "not applied")]
#[case(true, "unknown")]
fn a_lasting_outage_is_reported_by_its_effect(#[case] after_commit: bool, #[case] expected: &str) {
    let mut table = started_table();
    let mut committed = false;

    let outcome = drive(&mut table, request(1, 1), |_, action, _| {
        if !after_commit || committed {
            return CallFate::Outage;
        }
        committed = matches!(action, ApplyAction::Commit(_));
        if committed {
            CallFate::AnswerLost
        } else {
            CallFate::Answered
        }
    });

    let found = match outcome {
        ApplyOutcome::NotApplied(_) => "not applied",
        ApplyOutcome::Unknown(_) => "unknown",
        _ => "other",
    };
    assert_eq!(found, expected);
}

/// Guards against stale reads after which an accepted version is taken for lost, or for a conflict
/// with the version that it has replaced.
#[rstest]
fn stale_reads_after_the_commit_are_ignored(#[values(1, 2)] commits_back: usize) {
    let mut table = started_table();
    drive(&mut table, request(1, 1), no_faults);
    let mut stale = 0;

    let outcome = drive(&mut table, request(2, 2), |_, action, table| {
        if matches!(action, ApplyAction::Read(_)) && table.commits == 3 && stale < 5 {
            stale += 1;
            return CallFate::Stale(commits_back);
        }
        CallFate::Answered
    });

    assert!(
        matches!(outcome, ApplyOutcome::Accepted(ref found) if found.version == 3),
        "{outcome:?}"
    );
    assert_eq!(table.commits, 3);
}

/// Guards against a stale read that lets an older text win over the version that the operator has
/// edited.
#[test]
fn a_stale_base_is_read_again() {
    let mut table = started_table();
    drive(&mut table, request(1, 1), no_faults);
    let mut reads = 0;

    let outcome = drive(&mut table, request(2, 2), |_, action, _| {
        reads += u32::from(matches!(action, ApplyAction::Read(_)));
        if reads <= 3 {
            CallFate::Stale(1)
        } else {
            CallFate::Answered
        }
    });

    assert!(
        matches!(outcome, ApplyOutcome::Accepted(ref found) if found.version == 3),
        "{outcome:?}"
    );
}

/// Guards against a history that grows without bound.
#[test]
fn the_history_is_bounded() {
    let mut table = FakeTable {
        version: 5,
        ..FakeTable::default()
    };
    let value = json!({"version": 1_500, "digest": "d", "author": "a"});
    let row = |key: &str| TableRow {
        key: key.to_owned(),
        version: 5,
        value: value.clone(),
    };
    table.rows.insert(CONFIG_ROW.to_owned(), row(CONFIG_ROW));
    table.rows.insert(history_key(501), row(&history_key(501)));

    drive(&mut table, request(1_500, 1), no_faults);

    assert!(table.rows.contains_key(&history_key(1_501)));
    assert!(!table.rows.contains_key(&history_key(501)));
}
