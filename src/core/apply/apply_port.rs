use {
    super::ConfigPointer,
    crate::wire::{CommitRequest, RowCondition, TableRow},
    std::time::Duration,
};

/// What happens to a [`ConfigApply`](super::ConfigApply).
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyEvent {
    /// The operator starts.
    Start,
    /// A row was read; `None` when it does not exist.
    Row(Option<TableRow>),
    /// The object was written.
    ObjectWritten,
    /// The commit took effect with this row version.
    Committed(u64),
    /// The commit did not take effect; these rows have other versions.
    Conflict(Vec<RowCondition>),
    /// It is not known whether the commit took effect.
    Unclear(String),
    /// The call did not take effect.
    Failed(String),
    /// The platform refuses the call and would refuse it again.
    Refused(String),
    /// The pause is over.
    Resumed,
}

/// What a [`ConfigApply`](super::ConfigApply) wants done. One call is open at
/// a time; its answer is the next event.
#[derive(Debug, Clone, PartialEq)]
pub enum ApplyAction {
    /// Read this row.
    Read(String),
    /// Write the text under this key.
    WriteText(String),
    /// Commit.
    Commit(CommitRequest),
    /// Wait.
    Pause(Duration),
    /// The end.
    Finish(ApplyOutcome),
}

/// How an apply ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The configuration was accepted with this pointer.
    Accepted(ConfigPointer),
    /// The text is already in force.
    Unchanged(ConfigPointer),
    /// Another operator was first; `None` when there is no configuration at all.
    Conflict(Option<ConfigPointer>),
    /// The platform refuses the write.
    Refused(String),
    /// The platform did not take the write within the time; nothing was applied.
    NotApplied(String),
    /// The write may have taken effect or may still do so.
    Unknown(String),
}
