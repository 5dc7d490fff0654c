use serde::{Deserialize, Serialize};

/// A fault, or the end of one, to inject into a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendFault {
    /// Closes all connections and the listener; the server is down until `return` or
    /// `return_unchanged`.
    Die,
    /// Restarts the server with a new incarnation, in no group and with no shard.
    Return,
    /// Listens again with the incarnation, membership and shard from before `die`.
    ReturnUnchanged,
    /// Freezes every connection, and every run on a group with this member, until `resume`.
    Pause,
    /// Ends `pause`.
    Resume,
    /// Multiplies the prefill and decode times of the engine; a value below 0.01 counts as 0.01,
    /// and 1 ends the fault.
    Straggle(f64),
    /// Open connections carry no more data and are not closed; new connections work.
    Silence,
    /// Delays the start of each answer by this many milliseconds; 0 ends the fault.
    DelayAnswers(u64),
    /// Delays the execution of each order by this many milliseconds; 0 ends the fault.
    DelayOrders(u64),
    /// Number of coming streams that get chunks of the previous attempt mixed in.
    LateChunks(u32),
    /// Number of coming streams whose first two chunks are swapped.
    OutOfOrder(u32),
    /// Number of coming plain calls that run, but whose connection is broken instead of a response.
    LoseAnswers(u32),
    /// A prompt that contains the text crashes every member of its group; `None` ends the fault.
    CrashMarker(Option<String>),
    /// Whether the reports of the server announce that it is leaving.
    Leaving(bool),
}

/// Body of `POST /control/faults`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultCommand {
    /// Name of the instance; may be left out on the port of the instance itself.
    #[serde(default)]
    pub instance: Option<String>,
    /// Fault to apply to the instance.
    pub fault: BackendFault,
}
