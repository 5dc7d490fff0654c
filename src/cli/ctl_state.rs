use {
    super::{
        CtlAccess, EXIT_FAILED, GroupsArgs, Result, StatusArgs, TextTable,
        ctl_exit::{fail, print_line},
    },
    crate::{
        adapters::{explain, read_pointer},
        wire::{GroupEntry, GroupState, PeerHeartbeat, PeerReply, PeerRequest, ProcessRole},
    },
    serde_json::json,
};

/// Runs `toucanctl status`, which lists the processes.
///
/// # Errors
/// Returns the exit code, after printing the reason to standard error.
pub async fn status(access: &CtlAccess, args: &StatusArgs) -> Result<()> {
    access.require_peers()?;
    let survey = access.survey().await;
    // An outage of the platform must not keep the processes from being shown.
    let stored = read_pointer(&access.platform).await;
    let stored = stored.map(|found| found.map(|(pointer, _)| pointer));
    if args.json {
        let platform = match &stored {
            Ok(pointer) => json!({"pointer": pointer}),
            Err(error) => json!({"error": explain(error)}),
        };
        print_line!("{}", json!({"platform": platform, "processes": survey}));
    } else {
        match &stored {
            Ok(Some(pointer)) => {
                print_line!(
                    "platform: version {} of {}",
                    pointer.version,
                    pointer.author
                );
            }
            Ok(None) => print_line!("platform: no configuration has been applied yet"),
            Err(error) => print_line!("platform: {}", explain(error)),
        }
        let headings = [
            "process",
            "role",
            "failure domain",
            "version",
            "ready",
            "heard",
            "note",
        ];
        let mut table = TextTable::new(&headings);
        for status in survey.answered.values() {
            let note = status.config_problem.clone().unwrap_or_default();
            table.add(process_row(&status.heartbeat, "answers", note));
        }
        for known in survey.silent.values() {
            let heard = format!("{} ms ago", known.age_ms);
            table.add(process_row(
                &known.heartbeat,
                &heard,
                "does not answer".to_owned(),
            ));
        }
        print_line!("{}", table.render().trim_end());
    }
    if survey.answered.is_empty() {
        return fail(
            EXIT_FAILED,
            "no process answers (is the exchange key the same?)",
        );
    }
    Ok(())
}

fn process_row(heartbeat: &PeerHeartbeat, heard: &str, note: String) -> Vec<String> {
    let role = match heartbeat.role {
        ProcessRole::Gateway => "gateway",
        ProcessRole::Controller => "controller",
    };
    vec![
        heartbeat.process.clone(),
        role.to_owned(),
        heartbeat.failure_domain.clone(),
        heartbeat.config_version.to_string(),
        if heartbeat.ready { "yes" } else { "no" }.to_owned(),
        heard.to_owned(),
        note,
    ]
}

/// Runs `toucanctl groups`, which lists the replica groups.
///
/// # Errors
/// Returns the exit code, after printing the reason to standard error.
pub async fn groups(access: &CtlAccess, args: &GroupsArgs) -> Result<()> {
    let domains = args.failure_domain.iter().cloned().collect();
    let reply = access.call_any_peer(&PeerRequest::Groups(domains)).await?;
    let PeerReply::Groups(mut entries) = reply else {
        return fail(EXIT_FAILED, "the peer gave another answer than asked for");
    };
    if !args.all {
        entries.retain(|entry| entry.state != GroupState::Dissolved);
    }
    if args.json {
        print_line!("{}", json!({"groups": entries}));
        return Ok(());
    }
    let headings = [
        "group",
        "service",
        "state",
        "epoch",
        "members",
        "instances",
        "note",
    ];
    let mut table = TextTable::new(&headings);
    for entry in &entries {
        table.add(group_row(entry));
    }
    print_line!("{}", table.render().trim_end());
    Ok(())
}

fn group_row(entry: &GroupEntry) -> Vec<String> {
    let state = match entry.state {
        GroupState::Planned => "planned",
        GroupState::Loading => "loading",
        GroupState::Serving => "serving",
        GroupState::Suspended => "suspended",
        GroupState::Repairing => "repairing",
        GroupState::Dissolved => "dissolved",
    };
    let note = match (entry.draining, entry.slow) {
        (true, _) => "draining",
        (false, true) => "slow",
        (false, false) => "",
    };
    let mut instances: Vec<&str> = Vec::new();
    for member in entry.members.iter().take(3) {
        instances.push(&member.instance);
    }
    let rest = entry.members.len().saturating_sub(3);
    let more = if rest > 0 {
        format!(" and {rest} more")
    } else {
        String::new()
    };
    vec![
        entry.id.0.clone(),
        entry.service.clone(),
        state.to_owned(),
        entry.epoch.to_string(),
        entry.members.len().to_string(),
        format!("{}{more}", instances.join(" ")),
        note.to_owned(),
    ]
}
