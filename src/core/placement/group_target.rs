use {
    super::{FreedSlots, GroupTag, SlotClaims},
    crate::core::{
        fleet::GroupIdentity,
        pace::GroupPace,
        routes::{EngineProfile, ModelProfile},
    },
    smallvec::SmallVec,
    std::{net::SocketAddr, time::Duration},
};

slotmap::new_key_type! {
    /// Key of a replica group in the scheduler of one gateway.
    pub struct TargetKey;
}

/// Weight of the newest sample in the moving average of the correction factor.
const SAMPLE_WEIGHT: f64 = 0.08;

/// Smallest and largest sample of the correction factor. Stall detection finds the groups that are
/// slower than the upper bound.
const CORRECTION_BOUNDS: (f64, f64) = (0.6, 4.0);

/// Interval at which the correction factor of an unused group decays. The first step follows one
/// interval after the last first event from the group.
const CORRECTION_DECAY_INTERVAL: Duration = Duration::from_secs(2);

/// Share of its distance from 1 that the correction factor loses in each decay step.
const CORRECTION_DECAY_SHARE: f64 = 0.25;

/// Longest predicted time in milliseconds, an hour. The figures of a configuration may be so large
/// that their product is no duration.
const MAX_PREDICTED_MS: f64 = 3_600_000.0;

/// Context of a running request in thousands of tokens, as assumed by the predictions.
pub(super) const ASSUMED_CONTEXT_KILOTOKENS: f64 = 1.3;

value_type! {
    /// Load of a replica group as known to one gateway.
    #[derive(Copy)]
    pub struct GroupLoad {
        /// Requests of all gateways that run at the group.
        pub running: u32,
        /// Prompt tokens of requests that have not sent a first event yet.
        pub backlog_tokens: f64,
        /// Prefill time in milliseconds that each running request adds per event, on average; see
        /// [`RequestMeans::prefill_ms_per_event`](super::RequestMeans::prefill_ms_per_event).
        pub prefill_ms_per_event: f64,
    }

    /// Whether requests could be sent to a group.
    #[derive(Copy, Eq)]
    pub enum GroupUsability {
        /// The group was not examined yet.
        Unknown,
        /// Requests could be sent.
        Usable,
        /// The group was suspect.
        Suspect,
        /// The group was closed or asked for a pause.
        Closed,
    }

    /// A replica group to which the scheduler sends requests, with what it has observed there.
    pub struct GroupTarget {
        /// Service whose engines form the group.
        pub service: String,
        /// Model that the group serves.
        pub model: String,
        /// Name of the group; only together with `epoch` does it identify one set of members.
        pub group: String,
        /// Epoch of the group, from the entry of its head.
        pub epoch: u64,
        /// Identifies group and epoch in the load reports of the gateways.
        pub tag: GroupTag,
        /// Identifier of the head, the member that accepts requests.
        pub head: String,
        /// Start time of the head in Unix milliseconds, as in its entry.
        pub head_born_ms: u64,
        /// Address to which requests for the group are sent.
        pub address: SocketAddr,
        /// Failure domain that the entry of the head names.
        pub failure_domain: String,
        /// Identifiers of all members, the head included.
        pub members: SmallVec<[String; 4]>,
        /// False when the group accepts no new requests. The group is kept while own requests still
        /// run there.
        pub open: bool,
        /// Requests of this gateway that run at the group.
        pub running: u32,
        /// Slots that requests of this gateway have left lately.
        pub freed_slots: FreedSlots,
        /// Slots that this gateway has claimed in the present round.
        pub slot_claims: SlotClaims,
        /// Prompt tokens of this gateway's requests that have not received a first event yet.
        pub backlog_tokens: f64,
        /// The group gets no new requests before this time. A stall or a failed request sets it;
        /// any event from the group resets it to zero.
        pub suspect_until: Duration,
        /// The group gets no new requests before this time, because its head asked for a pause;
        /// zero without one. It has not failed.
        pub paused_until: Duration,
        /// Time of the last event from the group; none before the first.
        pub last_event: Option<Duration>,
        /// Time of the last event, moved by the pauses of this gateway; zero before the first.
        pub silent_since: Duration,
        /// Factor on predicted times: moving average of the ratio of the observed to the
        /// uncorrected predicted time to the first event. It starts at 1.
        pub correction: f64,
        /// Time of the last sample or decay step of `correction`; zero before the first.
        pub correction_at: Duration,
        /// Bound on the requests of a group that has just opened or recovered.
        pub pace: GroupPace,
        /// Whether the group could be used at the last update of its pace.
        pub usability: GroupUsability,
    }
}

impl GroupLoad {
    /// Load of a group without requests.
    pub const IDLE: Self = Self {
        running: 0,
        backlog_tokens: 0.0,
        prefill_ms_per_event: 0.0,
    };
}

impl GroupTarget {
    /// Name and epoch of the group.
    #[must_use]
    pub fn identity(&self) -> GroupIdentity {
        GroupIdentity {
            group: self.group.clone(),
            epoch: self.epoch,
        }
    }

    /// True when `named` is the name and epoch of this group.
    #[must_use]
    pub fn is_one(&self, named: Option<&(String, u64)>) -> bool {
        named.is_some_and(|(group, epoch)| *group == self.group && *epoch == self.epoch)
    }

    /// Predicts the time to the first event of a request with `tokens` prompt tokens that is sent
    /// to the group under `load`.
    #[must_use]
    pub fn predict_first_event(
        &self,
        profile: &EngineProfile,
        model: &ModelProfile,
        load: &GroupLoad,
        tokens: f64,
    ) -> Duration {
        let pass = profile.pass_ms(load.running + 1, ASSUMED_CONTEXT_KILOTOKENS);
        let steady_prefill = load.prefill_ms_per_event * f64::from(load.running);
        let backlog = 1_000.0 * load.backlog_tokens / profile.prefill_per_s.max(1.0);
        // The request waits for half of a pass on average. The next pass includes its prefill, with
        // that of the prompts that already wait or are usually waiting.
        let wait = 0.5 * pass;
        let millis = wait + pass + backlog.max(steady_prefill) + profile.prefill_ms(tokens);
        from_millis(millis * model.pace * self.correction)
    }

    /// Longest pause between two events that the load explains, with all slots taken.
    #[must_use]
    pub fn expected_pause(
        &self,
        profile: &EngineProfile,
        model: &ModelProfile,
        load: &GroupLoad,
    ) -> Duration {
        let pass = profile.pass_ms(profile.slots, ASSUMED_CONTEXT_KILOTOKENS);
        let steady_prefill = load.prefill_ms_per_event * f64::from(profile.slots);
        let backlog = 1_000.0 * load.backlog_tokens / profile.prefill_per_s.max(1.0);
        let millis = 2.0 * pass + backlog.max(steady_prefill);
        from_millis(millis * model.pace * self.correction.max(1.0))
    }

    /// Adds the time to the first event of a request as a sample to the correction factor.
    /// `predicted` is the prediction made when the request was sent.
    pub fn note_first_event(&mut self, now: Duration, predicted: Duration, observed: Duration) {
        self.correction_at = now;
        let uncorrected = predicted.as_secs_f64().max(0.005) / self.correction;
        let ratio = observed.as_secs_f64() / uncorrected;
        let bounded = ratio.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1);
        self.correction += SAMPLE_WEIGHT * (bounded - self.correction);
    }

    /// Moves the correction factor of an unused group towards 1. Otherwise a group that was slow
    /// once would never get another request, and only requests update the factor.
    pub fn decay_correction(&mut self, now: Duration) {
        let unused = self.running == 0 && self.correction > 1.0;
        if !unused || now < self.correction_at + CORRECTION_DECAY_INTERVAL {
            return;
        }
        self.correction_at = now;
        self.correction += CORRECTION_DECAY_SHARE * (1.0 - self.correction);
    }
}

/// Converts milliseconds; a negative value becomes zero, and one above [`MAX_PREDICTED_MS`], or one
/// that is not a number, that.
pub(super) fn from_millis(millis: f64) -> Duration {
    let known = if millis.is_nan() {
        MAX_PREDICTED_MS
    } else {
        millis
    };
    Duration::from_secs_f64(known.clamp(0.0, MAX_PREDICTED_MS) / 1_000.0)
}
