use serde::{Deserialize, Serialize};

/// A fault of one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendFault {
    /// Closes all connections and the listener; the state of the engine is lost.
    Die,
    /// Starts again with a new incarnation, in no group and with no shard.
    Return,
    /// Listens again with the incarnation and membership from before the death.
    ReturnUnchanged,
    /// Freezes every connection and stream until `resume`.
    Pause,
    /// Ends `pause`.
    Resume,
    /// Multiplies all times of the engine; 1 ends the fault.
    Straggle(f64),
    /// Open connections carry no more data, ever; new ones work.
    Silence,
    /// Delays the start of each answer, in milliseconds.
    DelayAnswers(u64),
    /// Delays the start on each order, in milliseconds.
    DelayOrders(u64),
    /// Mixes chunks of the former attempt into this many coming streams.
    LateChunks(u32),
    /// Swaps the first two chunks of this many coming streams.
    OutOfOrder(u32),
    /// Runs this many coming plain calls and breaks the connection in place of the answer.
    LoseAnswers(u32),
    /// A prompt that contains the text crashes every member of its group.
    CrashMarker(Option<String>),
    /// Whether the server announces that it is leaving.
    Leaving(bool),
}

/// Body of `POST /control/faults`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultCommand {
    /// Instance; may be left out on the port of the instance itself.
    #[serde(default)]
    pub instance: Option<String>,
    /// What happens to it.
    pub fault: BackendFault,
}
