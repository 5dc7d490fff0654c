//! Loads that take their time and share the weight store.

use {
    super::at,
    std::{collections::BTreeMap, time::Duration},
    toucanring::core::routes::EngineShape,
};

/// What an engine works at.
struct RunningWork {
    left: Duration,
    loads: bool,
    model: String,
}

/// Work of engines in virtual time, by server.
#[derive(Default)]
pub struct TimedLoads {
    joins: BTreeMap<String, RunningWork>,
    stages: BTreeMap<String, RunningWork>,
    /// Loads begun so far.
    pub begun: usize,
}

/// What has ended.
#[derive(Default)]
pub struct EndedWork {
    /// Servers that are ready in their groups.
    pub ready: Vec<String>,
    /// Servers whose hosts hold the weights of a model now.
    pub staged: Vec<(String, String)>,
}

impl TimedLoads {
    /// Starts a join; it takes 0.2 s for the model of the last group, less than
    /// a load with the weights at hand, and a whole load otherwise.
    pub fn join(
        &mut self,
        id: &str,
        model: &str,
        last: Option<&str>,
        staged: &[String],
        shape: &EngineShape,
    ) {
        let figures = shape.model(model).expect("a known model");
        let loads = last != Some(model) && !staged.iter().any(|name| name == model);
        let left = if last == Some(model) {
            at(200)
        } else if loads {
            figures.load
        } else {
            figures.warm
        };
        self.begun += usize::from(loads);
        let work = RunningWork {
            left,
            loads,
            model: model.to_owned(),
        };
        self.joins.insert(id.to_owned(), work);
    }

    /// Starts a load onto a host.
    pub fn stage(&mut self, id: &str, model: &str, shape: &EngineShape) {
        let figures = shape.model(model).expect("a known model");
        self.begun += 1;
        let work = RunningWork {
            left: figures.load,
            loads: true,
            model: model.to_owned(),
        };
        self.stages.insert(id.to_owned(), work);
    }

    /// Ends the join of a server that leaves its group.
    pub fn leave(&mut self, id: &str) {
        self.joins.remove(id);
    }

    /// Lets time pass; more loads than the store bears take proportionally longer.
    pub fn advance(&mut self, time: Duration, shape: &EngineShape) -> EndedWork {
        let all = self.joins.values().chain(self.stages.values());
        let loading = all.filter(|work| work.loads).count().max(1);
        let at_once = usize::try_from(shape.loads_at_once).unwrap();
        #[allow(clippy::cast_precision_loss)] // few loads
        let speed = (at_once as f64 / loading as f64).min(1.0);
        let step = |work: &mut RunningWork| {
            let done = if work.loads {
                time.mul_f64(speed)
            } else {
                time
            };
            work.left = work.left.saturating_sub(done);
        };
        self.joins.values_mut().for_each(step);
        self.stages.values_mut().for_each(step);
        let mut ended = EndedWork::default();
        self.joins.retain(|id, work| {
            if work.left > Duration::ZERO {
                return true;
            }
            if work.loads {
                ended.staged.push((id.clone(), work.model.clone()));
            }
            ended.ready.push(id.clone());
            false
        });
        self.stages.retain(|id, work| {
            if work.left > Duration::ZERO {
                return true;
            }
            ended.staged.push((id.clone(), work.model.clone()));
            false
        });
        ended
    }
}
