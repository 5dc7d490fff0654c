use {
    super::GroupTag,
    crate::core::routes::{EngineShape, ModelShape},
    smallvec::SmallVec,
    std::{net::SocketAddr, time::Duration},
};

slotmap::new_key_type! {
    /// Key of a replica group in the placement board.
    pub struct TargetKey;
}

/// Share of the newest sample in the running ratio of seen to predicted times.
const SAMPLE_SHARE: f64 = 0.08;

/// Bounds of the running ratio; a group outside of them is found by its stalls.
const BIAS_BOUNDS: (f64, f64) = (0.6, 4.0);

/// Thousands of tokens of context assumed for a running request.
const CONTEXT_K: f64 = 1.3;

value_type! {
    /// A replica group that serves, as a gateway sees it.
    pub struct GroupTarget {
        /// Service.
        pub service: String,
        /// Model.
        pub model: String,
        /// Group name.
        pub group: String,
        /// Epoch of the group.
        pub epoch: u64,
        /// Short name in messages.
        pub tag: GroupTag,
        /// Identifier of the head.
        pub head: String,
        /// Address of the head.
        pub address: SocketAddr,
        /// Failure domain of the head.
        pub failure_domain: String,
        /// Identifiers of the members.
        pub members: SmallVec<[String; 4]>,
        /// False when it takes no new requests.
        pub open: bool,
        /// Own requests that run there.
        pub running: u32,
        /// Prompt tokens of own requests without a first event.
        pub backlog_tokens: f64,
        /// Time until which the group is avoided after a stall.
        pub suspect_until: Duration,
        /// Time of the last event from the group.
        pub last_event: Duration,
        /// Running ratio of seen to predicted times to the first event.
        pub bias: f64,
    }
}

impl GroupTarget {
    /// Predicted time to the first event of a request with `tokens` prompt
    /// tokens, when `running` requests and `backlog` tokens are there already.
    #[must_use]
    pub fn predict(
        &self,
        shape: &EngineShape,
        model: &ModelShape,
        running: u32,
        backlog: f64,
        tokens: f64,
    ) -> Duration {
        let pass = shape.pass_ms(running + 1, CONTEXT_K);
        // The request waits for half of a pass, is read, and its first event
        // holds the tokens of one more pass.
        let prefill = shape.prefill_ms(tokens) + 1_000.0 * backlog / shape.prefill_per_s.max(1.0);
        let millis = (1.5 * pass + prefill) * model.pace * self.bias;
        Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
    }

    /// Longest pause between events that the load explains.
    #[must_use]
    pub fn usual_pause(&self, shape: &EngineShape, model: &ModelShape, backlog: f64) -> Duration {
        let pass = shape.pass_ms(shape.slots, CONTEXT_K);
        let prefill = 1_000.0 * backlog / shape.prefill_per_s.max(1.0);
        let millis = (2.0 * pass + prefill) * model.pace * self.bias.max(1.0);
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Compares a time to the first event with its prediction.
    pub fn note_first_event(&mut self, predicted: Duration, seen: Duration) {
        let unbiased = predicted.as_secs_f64().max(0.005) / self.bias;
        let ratio = seen.as_secs_f64() / unbiased;
        let bounded = ratio.clamp(BIAS_BOUNDS.0, BIAS_BOUNDS.1);
        self.bias += SAMPLE_SHARE * (bounded - self.bias);
    }
}
