use {
    super::{
        ApplyArgs, CheckArgs, CtlAccess, DiffArgs, DrainArgs, EXIT_CONFLICT, EXIT_FAILED,
        EXIT_FAULTS, EXIT_NOT_IN_FORCE, EXIT_REFUSED, EXIT_UNKNOWN, HistoryArgs, Result, TextTable,
        ctl_access::print_faults,
        ctl_exit::{fail, print_line},
        progress_line::ProgressLine,
    },
    crate::{
        adapters::{explain, run_apply},
        conf::{
            TextDifference, check_file, compare_texts, parse_operator_text, read_operator_text,
        },
        core::apply::{ApplyOutcome, ApplyRequest, ConfigApply, ConfigPointer, HISTORY_PREFIX},
    },
    serde_json::{Value, json},
    std::{
        fs,
        io::Write,
        path::Path,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Pause between two surveys of the processes while waiting for a version to be in force.
const SURVEY_PAUSE: Duration = Duration::from_millis(300);
/// Maximum number of attempts of a drain. Each further one edits the newest text again, because
/// another operator applied a version in between.
const DRAIN_ATTEMPTS: usize = 5;

/// Runs `toucanctl check`, which lists the faults of a file.
///
/// # Errors
/// Returns the exit code, after printing the reason to standard error.
pub fn check(args: &CheckArgs) -> Result<()> {
    let outcome = check_file(&args.file);
    if args.json {
        let faults = outcome.as_ref().err().map(|faults| &faults.0);
        let faults = faults.cloned().unwrap_or_default();
        print_line!("{}", json!({"valid": faults.is_empty(), "faults": faults}));
        return outcome.map(|_| ()).map_err(|_| EXIT_FAULTS);
    }
    match outcome {
        Ok(kind) => print_line!("{}: valid ({kind:?})", args.file.display()),
        Err(faults) => return print_faults(&args.file, &faults),
    }
    Ok(())
}

/// Runs `toucanctl diff`, which compares a text with an applied version.
///
/// # Errors
/// Returns the exit code, after printing the reason to standard error.
pub async fn diff(access: &CtlAccess, args: &DiffArgs) -> Result<()> {
    let text = read_checked(&args.file)?;
    let pointer = match args.with {
        Some(version) => Some(access.read_version(version).await?),
        None => access.read_current().await?,
    };
    let version = pointer.as_ref().map_or(0, |pointer| pointer.version);
    let before = match pointer {
        Some(pointer) => access.read_text(&pointer.digest).await?,
        None => "{}".to_owned(),
    };
    let differences = compare_as_json(&before, &text);
    if args.json {
        print_line!(
            "{}",
            json!({"version": version, "differences": differences})
        );
        return Ok(());
    }
    print_line!("{} difference(s) from version {version}", differences.len());
    for difference in differences {
        print_line!("{difference}");
    }
    Ok(())
}

/// Runs `toucanctl apply`, which puts a text into force.
///
/// # Errors
/// Returns the exit code, after printing the reason to standard error.
pub async fn apply(access: &CtlAccess, args: &ApplyArgs) -> Result<()> {
    if args.wait {
        access.require_peers()?;
    }
    let text = read_checked(&args.file)?;
    let started = Instant::now();
    let limit = Duration::from_secs(args.timeout);
    let outcome = submit(access, &text, args.base, args.author.as_deref(), limit).await;
    let pointer = print_outcome(access, &outcome, &text, args.json).await?;
    if args.wait {
        let time_left = limit.saturating_sub(started.elapsed());
        wait_in_force(access, pointer.version, time_left, args.json).await?;
    }
    Ok(())
}

/// Runs `toucanctl drain`, which starts or ends the drain of an instance.
///
/// # Errors
/// Returns the exit code, after printing the reason to standard error.
pub async fn drain(access: &CtlAccess, args: &DrainArgs) -> Result<()> {
    if args.wait {
        access.require_peers()?;
    }
    let started = Instant::now();
    let limit = Duration::from_secs(args.timeout);
    for _ in 0..DRAIN_ATTEMPTS {
        let Some(pointer) = access.read_current().await? else {
            return fail(EXIT_FAILED, "no configuration has been applied yet");
        };
        let text = access.read_text(&pointer.digest).await?;
        let Some(edited) = edit_drains(&text, &args.instance, args.undo) else {
            return fail(EXIT_FAILED, "the text in force is not an operator text");
        };
        if let Err(faults) = parse_operator_text(&edited) {
            return fail(EXIT_FAULTS, faults);
        }
        let time_left = limit.saturating_sub(started.elapsed());
        let author = args.author.as_deref();
        let outcome = submit(access, &edited, pointer.version, author, time_left).await;
        if matches!(outcome, ApplyOutcome::Conflict(_)) {
            continue;
        }
        let pointer = print_outcome(access, &outcome, &edited, args.json).await?;
        if args.wait {
            let time_left = limit.saturating_sub(started.elapsed());
            wait_in_force(access, pointer.version, time_left, args.json).await?;
        }
        return Ok(());
    }
    fail(EXIT_CONFLICT, "other operators changed the text each time")
}

/// Runs `toucanctl history`, which lists the applied versions or prints one.
///
/// # Errors
/// Returns the exit code, after printing the reason to standard error.
pub async fn history(access: &CtlAccess, args: &HistoryArgs) -> Result<()> {
    if let Some(version) = args.text {
        let pointer = access.read_version(version).await?;
        let text = access.read_text(&pointer.digest).await?;
        // The text is printed byte for byte, so that it keeps its digest when applied again.
        let _ = std::io::stdout().write_all(text.as_bytes());
        return Ok(());
    }
    let rows = match access.platform.scan(HISTORY_PREFIX).await {
        Ok(rows) => rows,
        Err(error) => {
            return fail(
                EXIT_FAILED,
                format!("the platform does not answer: {}", explain(&error)),
            );
        }
    };
    let skipped = rows.len().saturating_sub(args.limit);
    let mut pointers: Vec<ConfigPointer> = Vec::new();
    for row in rows.into_iter().skip(skipped) {
        pointers.extend(serde_json::from_value(row.value).ok());
    }
    if args.json {
        print_line!("{}", json!({"versions": pointers}));
        return Ok(());
    }
    let mut table = TextTable::new(&["version", "author", "age", "digest"]);
    for pointer in pointers {
        table.add(vec![
            pointer.version.to_string(),
            pointer.author,
            format_age(pointer.applied_ms),
            pointer.digest.chars().take(12).collect(),
        ]);
    }
    print_line!("{}", table.render().trim_end());
    Ok(())
}

async fn submit(
    access: &CtlAccess,
    text: &str,
    base: u64,
    author: Option<&str>,
    limit: Duration,
) -> ApplyOutcome {
    let user = std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    let apply = ConfigApply::new(ApplyRequest {
        base,
        digest: blake3::hash(text.as_bytes()).to_hex().to_string(),
        author: author.map_or(user, str::to_owned),
        // 53 bits, since a platform may store JSON numbers as doubles.
        attempt: rand::random::<u64>() >> 11,
        applied_ms: epoch_ms(),
        limit,
    });
    let mut progress = ProgressLine::new();
    run_apply(&access.platform, apply, text, || {
        progress.show("waiting for the platform");
    })
    .await
}

/// Prints the outcome of an apply; returns the pointer in force if it was accepted or unchanged.
async fn print_outcome(
    access: &CtlAccess,
    outcome: &ApplyOutcome,
    text: &str,
    json: bool,
) -> Result<ConfigPointer> {
    let (outcome_name, code, detail) = match outcome {
        ApplyOutcome::Accepted(pointer) => {
            if json {
                print_line!("{}", json!({"outcome": "accepted", "pointer": pointer}));
            } else {
                print_line!("accepted as version {}", pointer.version);
            }
            return Ok(pointer.clone());
        }
        ApplyOutcome::Unchanged(pointer) => {
            if json {
                print_line!("{}", json!({"outcome": "unchanged", "pointer": pointer}));
            } else {
                print_line!("version {} has this text already", pointer.version);
            }
            return Ok(pointer.clone());
        }
        ApplyOutcome::Conflict(winner) => {
            return print_conflict(access, winner.as_ref(), text, json).await;
        }
        ApplyOutcome::Refused(reason) => ("refused", EXIT_REFUSED, reason),
        ApplyOutcome::NotApplied(reason) => ("not_applied", EXIT_FAILED, reason),
        ApplyOutcome::Unknown(reason) => ("unknown", EXIT_UNKNOWN, reason),
    };
    if json {
        print_line!("{}", json!({"outcome": outcome_name, "reason": detail}));
    }
    let hint = match code {
        EXIT_UNKNOWN => "; see toucanctl history before trying again",
        _ => "; nothing was changed",
    };
    fail(
        code,
        format!("{}: {detail}{hint}", outcome_name.replace('_', " ")),
    )
}

async fn print_conflict(
    access: &CtlAccess,
    winner: Option<&ConfigPointer>,
    text: &str,
    json: bool,
) -> Result<ConfigPointer> {
    let Some(winner) = winner else {
        if json {
            print_line!("{}", json!({"outcome": "conflict", "winner": null}));
        }
        return fail(EXIT_CONFLICT, "conflict: the edited version does not exist");
    };
    let winner_text = access.read_text(&winner.digest).await?;
    let differences = compare_as_json(&winner_text, text);
    if json {
        print_line!(
            "{}",
            json!({"outcome": "conflict", "winner": winner, "differences": differences})
        );
    }
    let mut reason = format!(
        "conflict: version {} of {} is in force; nothing was changed. Your text differs from it in:",
        winner.version, winner.author
    );
    for difference in &differences {
        reason.push_str("\n  ");
        reason.push_str(&difference.to_string());
    }
    fail(EXIT_CONFLICT, reason)
}

/// Waits until every live process has at least `version` in force.
async fn wait_in_force(
    access: &CtlAccess,
    version: u64,
    limit: Duration,
    json: bool,
) -> Result<()> {
    let started = Instant::now();
    let mut progress = ProgressLine::new();
    loop {
        let survey = access.survey().await;
        let behind = survey.names_behind(version);
        let count = survey.answered.len();
        if count > 0 && behind.is_empty() {
            let seconds = started.elapsed().as_secs_f64();
            if json {
                print_line!("{}", json!({"in_force": version, "processes": count}));
            } else {
                print_line!("in force in {count} live process(es) after {seconds:.1} s");
            }
            return Ok(());
        }
        if started.elapsed() >= limit {
            if json {
                print_line!("{}", json!({"not_in_force": version, "behind": behind}));
            }
            let names = if count == 0 {
                "no process answers".to_owned()
            } else {
                behind.join(", ")
            };
            let reason = format!("version {version} is accepted but not yet in force: {names}");
            return fail(EXIT_NOT_IN_FORCE, reason);
        }
        progress.show(&format!("waiting for {} process(es)", behind.len().max(1)));
        tokio::time::sleep(SURVEY_PAUSE).await;
    }
}

/// Checks an operator text and returns it as it stands in the file.
fn read_checked(path: &Path) -> Result<String> {
    if let Err(faults) = read_operator_text(path) {
        return print_faults(path, &faults);
    }
    match fs::read_to_string(path) {
        Ok(text) => Ok(text),
        Err(error) => fail(EXIT_FAULTS, format!("{}: {error}", path.display())),
    }
}

fn compare_as_json(before: &str, after: &str) -> Vec<TextDifference> {
    let parse = |text: &str| serde_json::from_str::<Value>(text).unwrap_or(Value::Null);
    compare_texts(&parse(before), &parse(after))
}

/// Adds an instance to `drains`, or removes it if `undo`; `None` if the text is not an operator
/// text.
fn edit_drains(text: &str, instance: &str, undo: bool) -> Option<String> {
    let mut document: Value = serde_json::from_str(text).ok()?;
    let fields = document.as_object_mut()?;
    let drains = fields.entry("drains").or_insert_with(|| json!([]));
    let drains = drains.as_array_mut()?;
    drains.retain(|known| known.as_str() != Some(instance));
    if !undo {
        drains.push(json!(instance));
    }
    serde_json::to_string_pretty(&document).ok()
}

fn format_age(applied_ms: u64) -> String {
    let seconds = epoch_ms().saturating_sub(applied_ms) / 1_000;
    match seconds {
        0..120 => format!("{seconds} s"),
        120..7_200 => format!("{} min", seconds / 60),
        7_200..172_800 => format!("{} h", seconds / 3_600),
        _ => format!("{} d", seconds / 86_400),
    }
}

fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
