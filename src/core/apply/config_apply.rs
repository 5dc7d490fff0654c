use {
    super::{
        ApplyAction, ApplyEvent, ApplyOutcome, CONFIG_ROW, ConfigPointer, HISTORY_VERSIONS,
        history_key, text_key,
    },
    crate::wire::{CommitRequest, RowCondition, RowWrite, TableRow},
    serde_json::Value,
    std::time::Duration,
};

/// Delay before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// An operator text to apply, named by its digest, and the version it was edited from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyRequest {
    /// Version that the operator edited; 0 when there was none.
    pub base: u64,
    /// Hexadecimal blake3 digest of the text.
    pub digest: String,
    /// Operator who applies the text.
    pub author: String,
    /// Random number of this attempt, by which its own write is recognized.
    pub attempt: u64,
    /// Wall-clock time of the start in milliseconds since the Unix epoch.
    pub applied_ms: u64,
    /// Time since the start after which no further call is made.
    pub limit: Duration,
}

/// Purpose of the open call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ApplyStage {
    /// Reads the row of the version that the operator edited.
    Base,
    /// Writes the object with the text.
    Text,
    /// Commits the pointer and its history row.
    Commit,
    /// Reads the pointer row after a commit.
    ReadBack,
    /// Reads the history row of the own version, after a later version was found in force.
    History,
}

/// State machine that applies an operator text by compare-and-set.
///
/// The commit is conditional on the row version that was read with the base, so that it takes
/// effect at most once however often it is sent. After an unclear answer, the row is read back, and
/// the same commit is sent again while the row is unchanged. Then one of the copies takes effect,
/// or, when the row was changed by another write, none can.
#[derive(Debug, Clone)]
pub struct ConfigApply {
    request: ApplyRequest,
    stage: ApplyStage,
    /// Row version that the commit replaces.
    base_row_version: u64,
    /// Lowest row version that a read may return; lower ones are stale.
    min_row_version: u64,
    /// True once the answer to a commit was lost, so that it may have taken effect.
    commit_unconfirmed: bool,
    /// True once the platform has answered that a commit took effect.
    committed: bool,
    /// Pointer of a later version that was read after the commit.
    later_pointer: Option<ConfigPointer>,
    /// Reason of the last failed call.
    last_problem: String,
}

impl ConfigApply {
    /// Creates an apply whose first event is [`ApplyEvent::Start`].
    #[must_use]
    pub fn new(request: ApplyRequest) -> Self {
        Self {
            request,
            stage: ApplyStage::Base,
            base_row_version: 0,
            min_row_version: 0,
            commit_unconfirmed: false,
            committed: false,
            later_pointer: None,
            last_problem: "the platform has not answered yet".to_owned(),
        }
    }

    /// Returns the pointer that this apply commits.
    #[must_use]
    pub fn pointer(&self) -> ConfigPointer {
        ConfigPointer {
            version: self.request.base + 1,
            digest: self.request.digest.clone(),
            author: self.request.author.clone(),
            attempt: self.request.attempt,
            applied_ms: self.request.applied_ms,
        }
    }

    /// Handles an event and appends one action to `out`; `now` counts from the start of the apply.
    pub fn step(&mut self, now: Duration, event: ApplyEvent, out: &mut Vec<ApplyAction>) {
        match event {
            ApplyEvent::Start | ApplyEvent::Resumed => self.call(now, out),
            ApplyEvent::Row(row) => self.handle_row(row, out),
            ApplyEvent::ObjectWritten => {
                self.stage = ApplyStage::Commit;
                self.call(now, out);
            }
            ApplyEvent::Committed(version) => {
                self.committed = true;
                self.min_row_version = version;
                self.stage = ApplyStage::ReadBack;
                self.call(now, out);
            }
            ApplyEvent::Conflict(rows) => {
                let row = rows.iter().find(|row| row.key == CONFIG_ROW);
                self.min_row_version = row.map_or(0, |row| row.version);
                self.stage = ApplyStage::ReadBack;
                self.call(now, out);
            }
            ApplyEvent::Unclear(problem) => {
                self.last_problem = problem;
                if self.stage == ApplyStage::Commit {
                    self.commit_unconfirmed = true;
                    self.stage = ApplyStage::ReadBack;
                }
                out.push(ApplyAction::Pause(RETRY_DELAY));
            }
            ApplyEvent::Failed(problem) => {
                self.last_problem = problem;
                out.push(ApplyAction::Pause(RETRY_DELAY));
            }
            ApplyEvent::Refused(problem) => {
                self.last_problem.clone_from(&problem);
                let outcome = match (self.committed, self.commit_unconfirmed) {
                    (true, _) => ApplyOutcome::Accepted(self.pointer()),
                    (false, true) => ApplyOutcome::Unknown(problem),
                    (false, false) => ApplyOutcome::Refused(problem),
                };
                out.push(ApplyAction::Finish(outcome));
            }
        }
    }

    /// Starts the call of the current stage, or ends the apply when the limit has passed.
    fn call(&self, now: Duration, out: &mut Vec<ApplyAction>) {
        if now >= self.request.limit {
            out.push(ApplyAction::Finish(self.timeout_outcome()));
            return;
        }
        out.push(match self.stage {
            ApplyStage::Base | ApplyStage::ReadBack => ApplyAction::Read(CONFIG_ROW.to_owned()),
            ApplyStage::Text => ApplyAction::WriteText(text_key(&self.request.digest)),
            ApplyStage::Commit => ApplyAction::Commit(self.commit()),
            ApplyStage::History => ApplyAction::Read(history_key(self.request.base + 1)),
        });
    }

    fn timeout_outcome(&self) -> ApplyOutcome {
        let problem = self.last_problem.clone();
        if self.committed {
            // The answer to the commit said that it took effect; only reading the row back failed.
            return ApplyOutcome::Accepted(self.pointer());
        }
        if self.commit_unconfirmed || self.stage == ApplyStage::History {
            return ApplyOutcome::Unknown(problem);
        }
        if self.min_row_version > self.base_row_version {
            return ApplyOutcome::Conflict(self.later_pointer.clone());
        }
        ApplyOutcome::NotApplied(problem)
    }

    fn commit(&self) -> CommitRequest {
        let pointer = self.pointer();
        let value = serde_json::to_value(&pointer).unwrap_or(Value::Null);
        let mut writes = vec![
            RowWrite {
                key: CONFIG_ROW.to_owned(),
                value: value.clone(),
            },
            RowWrite {
                key: history_key(pointer.version),
                value,
            },
        ];
        if let Some(old) = pointer.version.checked_sub(HISTORY_VERSIONS) {
            writes.push(RowWrite {
                key: history_key(old),
                value: Value::Null,
            });
        }
        CommitRequest {
            conditions: vec![RowCondition {
                key: CONFIG_ROW.to_owned(),
                version: self.base_row_version,
            }],
            writes,
        }
    }

    fn handle_row(&mut self, row: Option<TableRow>, out: &mut Vec<ApplyAction>) {
        let version = row.as_ref().map_or(0, |row| row.version);
        let pointer = match row.map(|row| serde_json::from_value::<ConfigPointer>(row.value)) {
            None => None,
            Some(Ok(pointer)) => Some(pointer),
            Some(Err(error)) => {
                let problem = format!("the row on the platform cannot be decoded: {error}");
                self.step(Duration::ZERO, ApplyEvent::Refused(problem), out);
                return;
            }
        };
        match self.stage {
            ApplyStage::Base => self.check_base(version, pointer, out),
            ApplyStage::ReadBack => self.check_read_back(version, pointer, out),
            ApplyStage::History => self.check_history(pointer.as_ref(), out),
            ApplyStage::Text | ApplyStage::Commit => {}
        }
    }

    fn check_base(&mut self, row: u64, pointer: Option<ConfigPointer>, out: &mut Vec<ApplyAction>) {
        let found = pointer.as_ref().map_or(0, |pointer| pointer.version);
        if found < self.request.base && found > 0 || found == 0 && self.request.base > 0 {
            // The read is stale, because the operator has edited a later version.
            self.last_problem = format!(
                "the platform returned version {found}, which is older than the edited version {}",
                self.request.base
            );
            out.push(ApplyAction::Pause(RETRY_DELAY));
            return;
        }
        if found != self.request.base {
            out.push(ApplyAction::Finish(ApplyOutcome::Conflict(pointer)));
            return;
        }
        if let Some(pointer) = pointer
            && pointer.digest == self.request.digest
        {
            out.push(ApplyAction::Finish(ApplyOutcome::Unchanged(pointer)));
            return;
        }
        self.base_row_version = row;
        self.min_row_version = row;
        self.stage = ApplyStage::Text;
        out.push(ApplyAction::WriteText(text_key(&self.request.digest)));
    }

    /// Derives the outcome, or the next call, from a row read after a commit.
    fn check_read_back(
        &mut self,
        row: u64,
        pointer: Option<ConfigPointer>,
        out: &mut Vec<ApplyAction>,
    ) {
        if row < self.min_row_version {
            out.push(ApplyAction::Pause(RETRY_DELAY));
            return;
        }
        if row == self.base_row_version {
            self.stage = ApplyStage::Commit;
            out.push(ApplyAction::Commit(self.commit()));
            return;
        }
        self.min_row_version = row;
        let Some(pointer) = pointer else {
            out.push(ApplyAction::Finish(ApplyOutcome::Conflict(None)));
            return;
        };
        if pointer.attempt == self.request.attempt {
            out.push(ApplyAction::Finish(ApplyOutcome::Accepted(pointer)));
            return;
        }
        if pointer.version > self.request.base + 1 && (self.committed || self.commit_unconfirmed) {
            self.later_pointer = Some(pointer);
            self.stage = ApplyStage::History;
            let key = history_key(self.request.base + 1);
            out.push(ApplyAction::Read(key));
            return;
        }
        out.push(ApplyAction::Finish(ApplyOutcome::Conflict(Some(pointer))));
    }

    /// Derives the outcome from the history row, which names the attempt that committed the
    /// version; a later version is in force by now.
    fn check_history(&mut self, pointer: Option<&ConfigPointer>, out: &mut Vec<ApplyAction>) {
        let Some(pointer) = pointer else {
            // The read is stale, because the row was committed together with the pointer.
            out.push(ApplyAction::Pause(RETRY_DELAY));
            return;
        };
        let outcome = if pointer.attempt == self.request.attempt {
            ApplyOutcome::Accepted(pointer.clone())
        } else {
            ApplyOutcome::Conflict(self.later_pointer.clone())
        };
        out.push(ApplyAction::Finish(outcome));
    }
}
