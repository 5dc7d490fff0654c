//! Joins and loads of simulated engines that take time and share the weight store.

use {
    super::at,
    std::{collections::BTreeMap, time::Duration},
    toucanring::core::routes::EngineProfile,
};

/// A join or load in progress.
struct RunningWork {
    /// Time until the work ends at full speed.
    remaining: Duration,
    /// True when the weights come from the weight store, so that other loads slow it down.
    loads: bool,
    model: String,
}

/// Work in progress in virtual time, by server identifier.
#[derive(Default)]
pub struct TimedLoads {
    joins: BTreeMap<String, RunningWork>,
    stages: BTreeMap<String, RunningWork>,
    /// Number of loads from the weight store that were started so far.
    pub started_loads: usize,
}

/// Work that ended in one step.
#[derive(Default)]
pub struct FinishedWork {
    /// Servers whose join has ended; they are ready in their groups.
    pub ready: Vec<String>,
    /// Servers whose load has ended, with the model that their hosts hold now.
    pub staged: Vec<(String, String)>,
}

impl TimedLoads {
    /// Starts a join. It takes 0.2 s for the model of the last group, the time of a load
    /// from the host when the host holds the weights, and a whole load otherwise.
    pub fn join(
        &mut self,
        id: &str,
        model: &str,
        last: Option<&str>,
        staged: &[String],
        profile: &EngineProfile,
    ) {
        let figures = profile.model(model).expect("a known model");
        let loads = last != Some(model) && !staged.iter().any(|name| name == model);
        let remaining = if last == Some(model) {
            at(200)
        } else if loads {
            figures.load
        } else {
            figures.warm
        };
        self.started_loads += usize::from(loads);
        let work = RunningWork {
            remaining,
            loads,
            model: model.to_owned(),
        };
        self.joins.insert(id.to_owned(), work);
    }

    /// Starts a load from the weight store onto a host.
    pub fn stage(&mut self, id: &str, model: &str, profile: &EngineProfile) {
        let figures = profile.model(model).expect("a known model");
        self.started_loads += 1;
        let work = RunningWork {
            remaining: figures.load,
            loads: true,
            model: model.to_owned(),
        };
        self.stages.insert(id.to_owned(), work);
    }

    /// Cancels the join of a server that leaves its group.
    pub fn leave(&mut self, id: &str) {
        self.joins.remove(id);
    }

    /// Advances all work by `time`; when more than `loads_at_once` loads run, they share
    /// the speed of that many.
    pub fn advance(&mut self, time: Duration, profile: &EngineProfile) -> FinishedWork {
        let all = self.joins.values().chain(self.stages.values());
        let loading = all.filter(|work| work.loads).count().max(1);
        let at_once = usize::try_from(profile.loads_at_once).unwrap();
        #[allow(clippy::cast_precision_loss)] // few loads
        let speed = (at_once as f64 / loading as f64).min(1.0);
        let advance_work = |work: &mut RunningWork| {
            let done = if work.loads {
                time.mul_f64(speed)
            } else {
                time
            };
            work.remaining = work.remaining.saturating_sub(done);
        };
        self.joins.values_mut().for_each(advance_work);
        self.stages.values_mut().for_each(advance_work);
        let mut finished = FinishedWork::default();
        self.joins.retain(|id, work| {
            if work.remaining > Duration::ZERO {
                return true;
            }
            if work.loads {
                finished.staged.push((id.clone(), work.model.clone()));
            }
            finished.ready.push(id.clone());
            false
        });
        self.stages.retain(|id, work| {
            if work.remaining > Duration::ZERO {
                return true;
            }
            finished.staged.push((id.clone(), work.model.clone()));
            false
        });
        finished
    }
}
