use {
    super::{AdapterError, CommitOutcome, PlatformClient, explain},
    crate::core::apply::{ApplyAction, ApplyEvent, ApplyOutcome, ConfigApply},
    bytes::Bytes,
    error_stack::Report,
    std::time::Instant,
};

/// Runs an apply against the platform until it has an outcome. Calls `progress` before each pause.
pub async fn run_apply(
    platform: &PlatformClient,
    mut apply: ConfigApply,
    text: &str,
    mut progress: impl FnMut(),
) -> ApplyOutcome {
    let started = Instant::now();
    let mut event = ApplyEvent::Start;
    loop {
        let mut actions = Vec::new();
        apply.step(started.elapsed(), event, &mut actions);
        // Each step produces exactly one action.
        let Some(action) = actions.pop() else {
            return ApplyOutcome::Unknown("the apply stopped without an outcome".to_owned());
        };
        event = match action {
            ApplyAction::Finish(outcome) => return outcome,
            ApplyAction::Pause(pause) => {
                progress();
                tokio::time::sleep(pause).await;
                ApplyEvent::Resumed
            }
            ApplyAction::Read(key) => match platform.read(&key).await {
                Ok(row) => ApplyEvent::Row(row),
                Err(error) => ApplyEvent::Failed(explain(&error)),
            },
            ApplyAction::WriteText(key) => {
                // The key contains the digest of the body, so that a repeated write is harmless.
                let body = Bytes::copy_from_slice(text.as_bytes());
                match platform.write_object(&key, body).await {
                    Ok(()) => ApplyEvent::ObjectWritten,
                    Err(error) => write_failure_event(&error),
                }
            }
            ApplyAction::Commit(request) => match platform.commit(&request).await {
                Ok(CommitOutcome::Committed(version)) => ApplyEvent::Committed(version),
                Ok(CommitOutcome::Conflict(rows)) => ApplyEvent::Conflict(rows),
                Err(error) => write_failure_event(&error),
            },
        };
    }
}

fn write_failure_event(error: &Report<AdapterError>) -> ApplyEvent {
    let problem = explain(error);
    match error.current_context() {
        AdapterError::Connect => ApplyEvent::Failed(problem),
        AdapterError::Status(status) if (400..500).contains(status) => ApplyEvent::Refused(problem),
        // After a 5xx answer, a write may or may not have taken effect.
        _ => ApplyEvent::Unclear(problem),
    }
}
