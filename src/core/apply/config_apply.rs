use {
    super::{
        ApplyAction, ApplyEvent, ApplyOutcome, CONFIG_ROW, ConfigPointer, HISTORY_VERSIONS,
        history_key, text_key,
    },
    crate::wire::{CommitRequest, RowCondition, RowWrite, TableRow},
    serde_json::Value,
    std::time::Duration,
};

/// Pause before a call is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// What an operator wants to apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyRequest {
    /// Version that the operator edited; 0 when there was none.
    pub base: u64,
    /// Hexadecimal blake3 digest of the text.
    pub digest: String,
    /// Who applies.
    pub author: String,
    /// Random number of this attempt.
    pub attempt: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub applied_ms: u64,
    /// Time after which the apply gives up.
    pub limit: Duration,
}

/// What the open call is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ApplyStage {
    /// Reads the row that the operator edited.
    Base,
    /// Writes the text.
    Text,
    /// Commits the pointer.
    Commit,
    /// Reads back after a commit.
    Settle,
    /// Reads the history row after a later version was found.
    History,
}

/// Applies an operator text by compare-and-set.
///
/// The commit is conditional on the row version that was read with the base,
/// so that it takes effect at most once however often it is sent. After an
/// unclear answer it reads back, and sends the same commit again while the row
/// is unchanged: then either copy takes effect, or neither can any more.
#[derive(Debug, Clone)]
pub struct ConfigApply {
    request: ApplyRequest,
    stage: ApplyStage,
    /// Row version that the commit replaces.
    base_row: u64,
    /// Lowest row version that a read must show; older answers are stale.
    floor: u64,
    /// True once a commit may have taken effect without an answer.
    unclear: bool,
    /// True once a commit was answered as accepted.
    committed: bool,
    /// Newest pointer read after the commit.
    winner: Option<ConfigPointer>,
    problem: String,
}

impl ConfigApply {
    /// Creates an apply.
    #[must_use]
    pub fn new(request: ApplyRequest) -> Self {
        Self {
            request,
            stage: ApplyStage::Base,
            base_row: 0,
            floor: 0,
            unclear: false,
            committed: false,
            winner: None,
            problem: "no answer yet".to_owned(),
        }
    }

    /// The pointer that this apply writes.
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

    /// Handles an event; `now` counts from the start of the apply.
    pub fn step(&mut self, now: Duration, event: ApplyEvent, out: &mut Vec<ApplyAction>) {
        match event {
            ApplyEvent::Start | ApplyEvent::Resumed => self.call(now, out),
            ApplyEvent::Row(row) => self.take_row(row, out),
            ApplyEvent::ObjectWritten => {
                self.stage = ApplyStage::Commit;
                self.call(now, out);
            }
            ApplyEvent::Committed(version) => {
                self.committed = true;
                self.floor = version;
                self.stage = ApplyStage::Settle;
                self.call(now, out);
            }
            ApplyEvent::Conflict(rows) => {
                let row = rows.iter().find(|row| row.key == CONFIG_ROW);
                self.floor = row.map_or(0, |row| row.version);
                self.stage = ApplyStage::Settle;
                self.call(now, out);
            }
            ApplyEvent::Unclear(problem) => {
                self.problem = problem;
                if self.stage == ApplyStage::Commit {
                    self.unclear = true;
                    self.stage = ApplyStage::Settle;
                }
                out.push(ApplyAction::Pause(REPEAT_PAUSE));
            }
            ApplyEvent::Failed(problem) => {
                self.problem = problem;
                out.push(ApplyAction::Pause(REPEAT_PAUSE));
            }
            ApplyEvent::Refused(problem) => {
                self.problem.clone_from(&problem);
                let outcome = match (self.committed, self.unclear) {
                    (true, _) => ApplyOutcome::Accepted(self.pointer()),
                    (false, true) => ApplyOutcome::Unknown(problem),
                    (false, false) => ApplyOutcome::Refused(problem),
                };
                out.push(ApplyAction::Finish(outcome));
            }
        }
    }

    /// Sends the call of the present stage, unless the time is up.
    fn call(&self, now: Duration, out: &mut Vec<ApplyAction>) {
        if now >= self.request.limit {
            out.push(ApplyAction::Finish(self.give_up()));
            return;
        }
        out.push(match self.stage {
            ApplyStage::Base | ApplyStage::Settle => ApplyAction::Read(CONFIG_ROW.to_owned()),
            ApplyStage::Text => ApplyAction::WriteText(text_key(&self.request.digest)),
            ApplyStage::Commit => ApplyAction::Commit(self.commit()),
            ApplyStage::History => ApplyAction::Read(history_key(self.request.base + 1)),
        });
    }

    fn give_up(&self) -> ApplyOutcome {
        let problem = self.problem.clone();
        if self.committed {
            // The commit itself was answered; only reading back failed.
            return ApplyOutcome::Accepted(self.pointer());
        }
        if self.unclear || self.stage == ApplyStage::History {
            return ApplyOutcome::Unknown(problem);
        }
        if self.floor > self.base_row {
            return ApplyOutcome::Conflict(self.winner.clone());
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
                version: self.base_row,
            }],
            writes,
        }
    }

    fn take_row(&mut self, row: Option<TableRow>, out: &mut Vec<ApplyAction>) {
        let version = row.as_ref().map_or(0, |row| row.version);
        let pointer = match row.map(|row| serde_json::from_value::<ConfigPointer>(row.value)) {
            None => None,
            Some(Ok(pointer)) => Some(pointer),
            Some(Err(error)) => {
                let problem = format!("the platform holds an unusable row: {error}");
                self.step(Duration::ZERO, ApplyEvent::Refused(problem), out);
                return;
            }
        };
        match self.stage {
            ApplyStage::Base => self.check_base(version, pointer, out),
            ApplyStage::Settle => self.settle(version, pointer, out),
            ApplyStage::History => self.check_history(pointer.as_ref(), out),
            ApplyStage::Text | ApplyStage::Commit => {}
        }
    }

    fn check_base(&mut self, row: u64, pointer: Option<ConfigPointer>, out: &mut Vec<ApplyAction>) {
        let found = pointer.as_ref().map_or(0, |pointer| pointer.version);
        if found < self.request.base && found > 0 || found == 0 && self.request.base > 0 {
            // A stale answer: the operator has seen a later version.
            self.problem = format!(
                "the platform answers version {found}, below the edited version {}",
                self.request.base
            );
            out.push(ApplyAction::Pause(REPEAT_PAUSE));
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
        self.base_row = row;
        self.floor = row;
        self.stage = ApplyStage::Text;
        out.push(ApplyAction::WriteText(text_key(&self.request.digest)));
    }

    /// Judges what a read after a commit shows.
    fn settle(&mut self, row: u64, pointer: Option<ConfigPointer>, out: &mut Vec<ApplyAction>) {
        if row < self.floor {
            out.push(ApplyAction::Pause(REPEAT_PAUSE));
            return;
        }
        if row == self.base_row {
            self.stage = ApplyStage::Commit;
            out.push(ApplyAction::Commit(self.commit()));
            return;
        }
        self.floor = row;
        let Some(pointer) = pointer else {
            out.push(ApplyAction::Finish(ApplyOutcome::Conflict(None)));
            return;
        };
        if pointer.attempt == self.request.attempt {
            out.push(ApplyAction::Finish(ApplyOutcome::Accepted(pointer)));
            return;
        }
        if pointer.version > self.request.base + 1 && (self.committed || self.unclear) {
            self.winner = Some(pointer);
            self.stage = ApplyStage::History;
            let key = history_key(self.request.base + 1);
            out.push(ApplyAction::Read(key));
            return;
        }
        out.push(ApplyAction::Finish(ApplyOutcome::Conflict(Some(pointer))));
    }

    /// A later version is in force; the history tells whose version came first.
    fn check_history(&mut self, pointer: Option<&ConfigPointer>, out: &mut Vec<ApplyAction>) {
        let Some(pointer) = pointer else {
            // The row was committed together with the pointer: a stale answer.
            out.push(ApplyAction::Pause(REPEAT_PAUSE));
            return;
        };
        let outcome = if pointer.attempt == self.request.attempt {
            ApplyOutcome::Accepted(pointer.clone())
        } else {
            ApplyOutcome::Conflict(self.winner.clone())
        };
        out.push(ApplyAction::Finish(outcome));
    }
}
