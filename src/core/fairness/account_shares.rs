use {
    super::{
        AccountCount, AdmissionPlan, ClassTotals, CountSource, MAX_REPORT_ACCOUNTS, ModelShortage,
        ModelTag, PeerCounts, ReportScope, ShareClass, ShareReport, ShortageChange, ShortageState,
        WorkCounters, WorkSums,
    },
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(150);

/// Shortest and longest time after which a rejected caller is told to retry, without the spread.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_secs(3));

/// Largest random part of that time, so that callers rejected at once don't return at once.
const RETRY_SPREAD: f64 = 0.5;

/// Counts the work of the accounts, and accepts or rejects their requests while a model is short of
/// capacity. All times are given by the caller, as durations since an arbitrary start.
#[derive(Debug, Clone, Default)]
pub struct AccountShares {
    own: WorkCounters,
    peers: PeerCounts,
    shortages: BTreeMap<ModelTag, ModelShortage>,
    /// Names of the services and models that this node had requests for.
    names: BTreeMap<ModelTag, String>,
    planned_at: Option<Duration>,
}

impl AccountShares {
    /// Counts a request that arrives, whether or not it is accepted; `work_ms` is its work in
    /// milliseconds of engine time.
    pub fn count_offered(&mut self, now: Duration, class: ShareClass, work_ms: f64) {
        let work = WorkSums {
            offered: work_ms,
            served: 0.0,
        };
        self.own.add(now, class, work);
    }

    /// Counts a request that got a group or server.
    pub fn count_served(&mut self, now: Duration, class: ShareClass, work_ms: f64) {
        let work = WorkSums {
            offered: 0.0,
            served: work_ms,
        };
        self.own.add(now, class, work);
    }

    /// Records the names of a model for log lines; `model` is none for a plain service.
    pub fn note_name(&mut self, tag: ModelTag, service: &str, model: Option<&str>) {
        self.names.entry(tag).or_insert_with(|| {
            model.map_or_else(|| service.to_owned(), |model| format!("{service}/{model}"))
        });
    }

    /// Records that a request of this node found no room at a model, or waited long for it.
    pub fn note_lack(&mut self, now: Duration, model: ModelTag) {
        let shortage = self.shortages.entry(model).or_default();
        shortage.own_lack = shortage.own_lack.max(Some(now));
        shortage.lack = shortage.lack.max(Some(now));
    }

    /// Records that a request of this node has to wait for a slot, however briefly. This alone begins
    /// no shortage, but one lasts while no slots are free, and may come back soon after its end.
    pub fn note_full(&mut self, now: Duration, model: ModelTag) {
        let shortage = self.shortages.get(&model);
        if shortage.is_some_and(|shortage| shortage.is_recent(now)) {
            self.note_lack(now, model);
        }
    }

    /// Takes over a report of another node.
    pub fn take(&mut self, now: Duration, source: CountSource, report: &ShareReport) {
        self.peers.take(now, source, report);
        let Some(lack) = report.lack_at(now) else {
            return;
        };
        let shortage = self.shortages.entry(report.model).or_default();
        shortage.lack = shortage.lack.max(Some(lack));
    }

    /// Makes new plans when it is time, and returns the shortages that have begun or ended. To be
    /// called at short intervals.
    pub fn tick(&mut self, now: Duration) -> Vec<ShortageChange> {
        let mut changes = Vec::new();
        if self
            .planned_at
            .is_some_and(|planned_at| now < planned_at + PLAN_INTERVAL)
        {
            return changes;
        }
        self.planned_at = Some(now);
        self.own.expire(now);
        self.peers.expire(now);
        for model in self.shortages.keys().copied().collect::<Vec<_>>() {
            changes.extend(self.plan_model(now, model));
        }
        self.shortages.retain(|_, shortage| shortage.is_recent(now));
        changes
    }

    fn plan_model(&mut self, now: Duration, model: ModelTag) -> Option<ShortageChange> {
        let name = self.name_of(model);
        let shortage = self.shortages.get_mut(&model)?;
        if !shortage.is_active(now) {
            let began_at = shortage.began_at.take()?;
            return Some(ShortageChange {
                model: shortage.name.clone(),
                state: ShortageState::Ended,
                lasted: now.saturating_sub(began_at),
                figures: shortage.figures(now),
            });
        }
        let (totals, counts_age) = self.totals(now, model, |_| true);
        let shortage = self.shortages.get_mut(&model)?;
        let served: f64 = totals.values().map(|work| work.served).sum();
        // Nothing served means that nothing is known of the capacity.
        let capacity = if served > 0.0 {
            served * shortage.plan.capacity_factor(&totals)
        } else {
            f64::INFINITY
        };
        shortage.plan = AdmissionPlan::new(totals, capacity);
        shortage.plan.made_at = now;
        shortage.plan.counts_age = counts_age;
        if shortage.began_at.is_some() {
            return None;
        }
        shortage.began_at = Some(now);
        shortage.name.clone_from(&name);
        shortage.rejected = 0;
        Some(ShortageChange {
            model: name,
            state: ShortageState::Began,
            lasted: Duration::ZERO,
            figures: shortage.figures(now),
        })
    }

    /// Sums of this node's counts and those of the sources that fit, and the age of the oldest.
    fn totals(
        &self,
        now: Duration,
        model: ModelTag,
        fits: impl Fn(CountSource) -> bool,
    ) -> (ClassTotals, Duration) {
        let mut totals = ClassTotals::new();
        let mut oldest = now;
        for (class, work) in self.own.of_model(now, model) {
            let total = totals.entry((class.priority, class.account)).or_default();
            total.add(work);
        }
        for (class, source, work, received_at) in self.peers.of_model(model) {
            if !fits(source) {
                continue;
            }
            let total = totals.entry((class.priority, class.account)).or_default();
            total.add(work);
            oldest = oldest.min(received_at);
        }
        (totals, now.saturating_sub(oldest))
    }

    /// Names of a model, or its number when this node had no request for it.
    #[must_use]
    pub fn name_of(&self, model: ModelTag) -> String {
        let name = self.names.get(&model).cloned();
        name.unwrap_or_else(|| format!("{:08x}", model.0))
    }

    /// Decides about a request: none accepts it; otherwise it is rejected, and its caller is told
    /// to retry after the returned time. `draw` is a random number from 0 to 1.
    pub fn reject(&mut self, now: Duration, class: ShareClass, draw: f64) -> Option<Duration> {
        let shortage = self.shortages.get_mut(&class.model)?;
        if !shortage.is_active(now) {
            return None;
        }
        let acceptance = shortage.acceptance(now, class.priority, class.account);
        if draw < acceptance {
            return None;
        }
        shortage.rejected += 1;
        // Among the rejected requests the rest of the draw is again an even random number.
        let spread = (draw - acceptance) / (1.0 - acceptance).max(f64::EPSILON);
        Some(retry_delay(shortage.time_left(now), acceptance, spread))
    }

    /// Probability with which a request is accepted, and the age of the plan; none without a
    /// shortage.
    #[must_use]
    pub fn acceptance(&self, now: Duration, class: ShareClass) -> Option<(f64, Duration)> {
        let shortage = self.shortages.get(&class.model)?;
        let acceptance = shortage.acceptance(now, class.priority, class.account);
        Some((acceptance, now.saturating_sub(shortage.plan.made_at)))
    }

    /// Share of the fair level that the account has used; zero without a shortage. Waiting requests
    /// of the same class and priority are ordered by it.
    #[must_use]
    pub fn used_share(&self, now: Duration, class: ShareClass) -> u8 {
        let shortage = self.shortages.get(&class.model);
        let shortage = shortage.filter(|shortage| shortage.is_active(now));
        shortage.map_or(0, |shortage| {
            shortage.plan.used_share(class.priority, class.account)
        })
    }

    /// The report with the given number, for a beacon; none without a shortage. The models, and the
    /// accounts of each, take turns.
    #[must_use]
    pub fn report(&self, now: Duration, scope: ReportScope, number: u64) -> Option<ShareReport> {
        let active = self.shortages.iter();
        let active = active.filter(|(_, shortage)| shortage.is_active(now));
        let active: SmallVec<[ModelTag; 4]> = active.map(|(model, _)| *model).collect();
        let number = usize::try_from(number).unwrap_or_default();
        let model = *active.get(number % active.len().max(1))?;
        let (totals, _) = self.totals(now, model, |source| match scope {
            ReportScope::Node => false,
            ReportScope::FailureDomain => matches!(source, CountSource::Node(_)),
        });
        let turns = totals.len().div_ceil(MAX_REPORT_ACCOUNTS).max(1);
        let turn = number / active.len() % turns;
        let counts = totals.into_iter().skip(turn * MAX_REPORT_ACCOUNTS);
        let counts = counts.take(MAX_REPORT_ACCOUNTS);
        let accounts = counts.map(|((priority, account), work)| {
            let class = ShareClass {
                model,
                priority,
                account,
            };
            AccountCount::new(class, work)
        });
        Some(ShareReport {
            scope,
            model,
            lack_age: ShareReport::encode_age(now, self.shortages[&model].own_lack),
            accounts: accounts.collect(),
        })
    }
}

/// Time after which a rejected caller is told to retry: at the earliest when the shortage may be
/// over, and longer the less of the account's requests are accepted, so that callers that keep to
/// it bring the offered work down to the fair level.
fn retry_delay(time_left: Duration, acceptance: f64, spread: f64) -> Duration {
    let bounds = RETRY_AFTER_BOUNDS;
    let excess = 1.0 / acceptance.max(0.01) - 1.0;
    let delay = time_left.mul_f64(excess.max(1.0)).clamp(bounds.0, bounds.1);
    delay.mul_f64(1.0 + RETRY_SPREAD * spread.clamp(0.0, 1.0))
}
