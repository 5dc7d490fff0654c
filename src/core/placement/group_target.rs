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

/// Time without a first event after which the ratio is doubted, and again.
const DOUBT_EVERY: Duration = Duration::from_secs(2);

/// Part of its distance from 1 that a doubted ratio loses.
const DOUBT_SHARE: f64 = 0.25;

/// Thousands of tokens of context assumed for a running request.
const CONTEXT_K: f64 = 1.3;

value_type! {
    /// Load of a replica group.
    #[derive(Copy)]
    pub struct GroupLoad {
        /// Requests that run there, of all gateways.
        pub running: u32,
        /// Prompt tokens that are not read yet.
        pub backlog_tokens: f64,
        /// Milliseconds of reading that each running request brings with every event.
        pub read_ms_per_event: f64,
    }

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
        /// When the ratio was taken or doubted last.
        pub bias_at: Duration,
    }
}

impl GroupLoad {
    /// Load of a group without requests.
    pub const IDLE: Self = Self {
        running: 0,
        backlog_tokens: 0.0,
        read_ms_per_event: 0.0,
    };
}

impl GroupTarget {
    /// Predicted time to the first event of a request with `tokens` prompt
    /// tokens that joins the load.
    #[must_use]
    pub fn predict(
        &self,
        shape: &EngineShape,
        model: &ModelShape,
        load: &GroupLoad,
        tokens: f64,
    ) -> Duration {
        let pass = shape.pass_ms(load.running + 1, CONTEXT_K);
        let usual_read = load.read_ms_per_event * f64::from(load.running);
        let backlog = 1_000.0 * load.backlog_tokens / shape.prefill_per_s.max(1.0);
        // The request waits for half of a pass, and its prompt is read within
        // the next one, with the prompts that wait already or usually do.
        let waits = 0.5 * pass;
        let millis = waits + pass + backlog.max(usual_read) + shape.prefill_ms(tokens);
        from_millis(millis * model.pace * self.bias)
    }

    /// Longest pause between events that the load explains.
    #[must_use]
    pub fn usual_pause(
        &self,
        shape: &EngineShape,
        model: &ModelShape,
        load: &GroupLoad,
    ) -> Duration {
        let pass = shape.pass_ms(shape.slots, CONTEXT_K);
        let usual_read = load.read_ms_per_event * f64::from(shape.slots);
        let backlog = 1_000.0 * load.backlog_tokens / shape.prefill_per_s.max(1.0);
        let millis = 2.0 * pass + backlog.max(usual_read);
        from_millis(millis * model.pace * self.bias.max(1.0))
    }

    /// Compares a time to the first event with its prediction.
    pub fn note_first_event(&mut self, now: Duration, predicted: Duration, seen: Duration) {
        self.bias_at = now;
        let unbiased = predicted.as_secs_f64().max(0.005) / self.bias;
        let ratio = seen.as_secs_f64() / unbiased;
        let bounded = ratio.clamp(BIAS_BOUNDS.0, BIAS_BOUNDS.1);
        self.bias += SAMPLE_SHARE * (bounded - self.bias);
    }

    /// Moves the ratio of an unused group towards 1: a group that looks too slow
    /// for any request would never get another one.
    pub fn doubt_bias(&mut self, now: Duration) {
        let unused = self.running == 0 && self.bias > 1.0;
        if !unused || now < self.bias_at + DOUBT_EVERY {
            return;
        }
        self.bias_at = now;
        self.bias += DOUBT_SHARE * (1.0 - self.bias);
    }
}

fn from_millis(millis: f64) -> Duration {
    Duration::from_secs_f64(millis.max(0.0) / 1_000.0)
}
