use {
    super::{ModelTag, ShareClass},
    std::{collections::BTreeMap, time::Duration},
};

/// Time constant with which counted work loses weight. The counts cover about the last two
/// seconds: shorter ones vary too much for accounts with few requests, and longer ones follow a
/// change of the capacity too late.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Work in milliseconds below which a count is dropped; reports round it to nothing.
const MIN_COUNTED_MS: f64 = 0.5;

value_type! {
    /// Work of the last seconds, in milliseconds of engine time.
    #[derive(Copy, Default)]
    pub struct WorkSums {
        /// Work of all requests that arrived.
        pub offered: f64,
        /// Work of the requests that got a group or server.
        pub served: f64,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct DecayingSums {
    sums: WorkSums,
    /// Time up to which the sums are decayed.
    at: Duration,
}

/// Work that was offered to one node, and served by it, by class.
#[derive(Debug, Clone, Default)]
pub struct WorkCounters {
    classes: BTreeMap<ShareClass, DecayingSums>,
}

impl WorkSums {
    /// Adds the work of other requests.
    pub fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.served += other.served;
    }
}

impl DecayingSums {
    fn at(&self, now: Duration) -> WorkSums {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let weight = (-age / DECAY_TIME.as_secs_f64()).exp();
        WorkSums {
            offered: self.sums.offered * weight,
            served: self.sums.served * weight,
        }
    }
}

impl WorkCounters {
    /// Adds work to a class, in milliseconds.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::fairness::{AccountTag, ModelTag, ShareClass, WorkCounters, WorkSums},
    /// };
    ///
    /// let class = ShareClass::new(ModelTag(1), 0, AccountTag(2));
    /// let mut counters = WorkCounters::default();
    /// let work = WorkSums { offered: 100.0, served: 0.0 };
    /// counters.add(Duration::from_secs(1), class, work);
    /// let later = counters.of_model(Duration::from_secs(3), ModelTag(1)).next().unwrap().1;
    /// assert!((36.0..37.0).contains(&later.offered));
    /// ```
    pub fn add(&mut self, now: Duration, class: ShareClass, work: WorkSums) {
        let known = self.classes.entry(class).or_default();
        let mut sums = known.at(now);
        sums.add(work);
        *known = DecayingSums { sums, at: now };
    }

    /// Work of the last seconds by class of a model, in the order of the classes.
    pub fn of_model(
        &self,
        now: Duration,
        model: ModelTag,
    ) -> impl Iterator<Item = (ShareClass, WorkSums)> {
        let first = ShareClass::first_of(model);
        let classes = self.classes.range(first..);
        classes
            .take_while(move |(class, _)| class.model == model)
            .map(move |(class, known)| (*class, known.at(now)))
    }

    /// Drops the classes without work in the last seconds.
    pub fn expire(&mut self, now: Duration) {
        self.classes
            .retain(|_, known| known.at(now).offered.max(known.at(now).served) >= MIN_COUNTED_MS);
    }
}
