use {
    super::ConfigPointer,
    crate::wire::{CommitRequest, RowCondition, TableRow},
    std::time::Duration,
};

/// Input of a [`ConfigApply`](super::ConfigApply).
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyEvent {
    /// The apply starts; sent once, as the first event.
    Start,
    /// A row was read; `None` when it does not exist.
    Row(Option<TableRow>),
    /// The object with the text was written.
    ObjectWritten,
    /// The commit took effect with this row version.
    Committed(u64),
    /// The commit did not take effect; these rows have other versions.
    Conflict(Vec<RowCondition>),
    /// It is not known whether the write or commit took effect, for this reason.
    Unclear(String),
    /// The call failed without effect, for this reason.
    Failed(String),
    /// The platform refused the call for this reason and would refuse it again.
    Refused(String),
    /// An [`ApplyAction::Pause`] has ended.
    Resumed,
}

/// Output of a [`ConfigApply`](super::ConfigApply), which the caller carries out. One call is open
/// at a time; its result is the next event.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyAction {
    /// Read the row with this key.
    Read(String),
    /// Write the text as the object with this key.
    WriteText(String),
    /// Commit the pointer and its history row.
    Commit(CommitRequest),
    /// Wait this long before the next call.
    Pause(Duration),
    /// End the apply with this outcome; no event follows.
    Finish(ApplyOutcome),
}

/// Result of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration was committed with this pointer.
    Accepted(ConfigPointer),
    /// The text is already in force; nothing was written.
    Unchanged(ConfigPointer),
    /// The operator did not edit the newest version. Holds the pointer of another operator that was
    /// read, or `None` when there is no configuration or the pointer was not read within the limit.
    Conflict(Option<ConfigPointer>),
    /// The platform refused the write for this reason; nothing was applied.
    Refused(String),
    /// The platform did not accept the write within the limit, for this reason; nothing was
    /// applied.
    NotApplied(String),
    /// The write may have taken effect or may still do so; holds the last problem.
    Unknown(String),
}
