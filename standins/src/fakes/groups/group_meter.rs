use {
    super::{FakeInstance, InvariantCheck},
    std::{collections::BTreeMap, time::Duration},
    toucanring::{
        conf::{ModelService, OperatorText},
        wire::GroupState,
    },
};

/// Detection time that no decision avoids: the age at which a member counts as unresponsive.
const DETECTION_S: f64 = 1.2;

/// Sums of a run. Downtime is weighted by service weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeterReading {
    /// Weighted seconds in which a wanted group was down.
    pub downtime: f64,
    /// The part of it that no decision could have avoided.
    pub downtime_floor: f64,
    /// Seconds of healthy accelerators in no serving group.
    pub stranded: f64,
    /// The part of it that no decision could have avoided.
    pub stranded_floor: f64,
}

impl MeterReading {
    /// Adds another run.
    pub fn add(&mut self, other: &Self) {
        self.downtime += other.downtime;
        self.downtime_floor += other.downtime_floor;
        self.stranded += other.stranded;
        self.stranded_floor += other.stranded_floor;
    }
}

/// A loss that no decision avoids.
#[derive(Debug)]
struct MeterIncident {
    domain: String,
    until: Duration,
    weight: f64,
    survivors: f64,
    /// Accelerators of the failure domain that were unusable before the loss.
    idle_before: f64,
}

/// Integrates downtime and stranded accelerators, and their floors.
#[derive(Debug)]
pub struct GroupMeter {
    /// Nothing is counted before this time.
    pub start: Duration,
    /// Sums so far.
    pub reading: MeterReading,
    services: Vec<ModelService>,
    domains: Vec<String>,
    store_bytes_per_s: f64,
    incidents: Vec<MeterIncident>,
    /// Least downtime and least idle instances by number of healthy instances.
    limits: BTreeMap<usize, (f64, usize)>,
}

impl GroupMeter {
    /// Creates a meter that counts from the start.
    #[must_use]
    pub fn new(text: &OperatorText, store_bytes_per_s: f64) -> Self {
        let domains = text.failure_domains.iter();
        Self {
            start: Duration::ZERO,
            reading: MeterReading::default(),
            services: text.model_services.clone(),
            domains: domains.map(|domain| domain.name.clone()).collect(),
            store_bytes_per_s,
            incidents: Vec::new(),
            limits: BTreeMap::new(),
        }
    }

    /// Adds the time `step` from `now` on.
    pub(super) fn add(
        &mut self,
        now: Duration,
        step: Duration,
        instances: &[FakeInstance],
        check: &InvariantCheck,
    ) {
        if now < self.start {
            return;
        }
        self.incidents.retain(|incident| incident.until > now);
        let seconds = step.as_secs_f64();
        for domain in 0..self.domains.len() {
            let name = self.domains[domain].clone();
            let mut serving = vec![0u32; self.services.len()];
            let mut busy = 0.0;
            for group in check.groups.values() {
                if group.entry.failure_domain != name || !group.is_useful() {
                    continue;
                }
                serving[group.service] += 1;
                let members = group
                    .members
                    .iter()
                    .map(|index| f64::from(instances[*index].accelerators));
                busy += members.sum::<f64>();
            }
            let own = |instance: &&FakeInstance| {
                instance.failure_domain == name && is_healthy(now, instance)
            };
            let (mut healthy, mut accelerators) = (0, 0.0);
            for instance in instances.iter().filter(own) {
                healthy += 1;
                accelerators += f64::from(instance.accelerators);
            }
            let mut down = 0.0;
            for (service, count) in self.services.iter().zip(&serving) {
                down += service.weight * f64::from(service.min_groups.saturating_sub(*count));
            }
            let (mut floor, idle) = self.limit(healthy);
            let per_instance = accelerators / f64::from(u32::try_from(healthy.max(1)).unwrap_or(1));
            let mut idle_floor = per_instance * f64::from(u32::try_from(idle).unwrap_or(0));
            let mut weight = 0.0;
            let mut survivors = 0.0;
            for incident in self
                .incidents
                .iter()
                .filter(|incident| incident.domain == name)
            {
                weight += incident.weight;
                survivors += incident.survivors;
                idle_floor = idle_floor.max(incident.idle_before);
            }
            floor = f64::max(floor, weight);
            if survivors > 0.0 {
                idle_floor = (idle_floor + survivors).min(accelerators);
            }
            let reading = &mut self.reading;
            reading.downtime += down * seconds;
            reading.downtime_floor += floor * seconds;
            reading.stranded += (accelerators - busy).max(0.0) * seconds;
            reading.stranded_floor += idle_floor * seconds;
        }
    }

    /// Least weighted downtime and least idle instances for a number of healthy instances.
    fn limit(&mut self, healthy: usize) -> (f64, usize) {
        if let Some(limit) = self.limits.get(&healthy) {
            return *limit;
        }
        let mut served = vec![0.0; healthy + 1];
        let mut used = vec![0; healthy + 1];
        let mut total = 0.0;
        for service in &self.services {
            let span = service.span as usize;
            total += service.weight * f64::from(service.min_groups);
            for number in 0..service.max_groups {
                for room in (span..=healthy).rev() {
                    if number < service.min_groups {
                        served[room] = f64::max(served[room], served[room - span] + service.weight);
                    }
                    used[room] = used[room].max(used[room - span] + span);
                }
            }
        }
        let limit = (total - served[healthy], healthy - used[healthy]);
        self.limits.insert(healthy, limit);
        limit
    }

    /// Notes that an instance stops for good or loses its shard.
    pub(super) fn lost(
        &mut self,
        now: Duration,
        instance: usize,
        instances: &[FakeInstance],
        check: &mut InvariantCheck,
    ) {
        self.hit(now, DETECTION_S, f64::MAX, instance, instances, check);
    }

    /// Notes that an instance must be replaced and says so at once: it has
    /// restarted, or it leaves and may take no new work.
    pub(super) fn restarted(
        &mut self,
        now: Duration,
        instance: usize,
        instances: &[FakeInstance],
        check: &mut InvariantCheck,
    ) {
        self.hit(now, 0.0, f64::MAX, instance, instances, check);
    }

    /// Notes that an instance does nothing for a time.
    pub(super) fn paused(
        &mut self,
        now: Duration,
        time: Duration,
        instance: usize,
        instances: &[FakeInstance],
        check: &mut InvariantCheck,
    ) {
        self.hit(
            now,
            DETECTION_S,
            time.as_secs_f64(),
            instance,
            instances,
            check,
        );
    }

    #[allow(clippy::cast_precision_loss)]
    fn hit(
        &mut self,
        now: Duration,
        detection: f64,
        most: f64,
        instance: usize,
        instances: &[FakeInstance],
        check: &mut InvariantCheck,
    ) {
        let mut groups = check.groups.values_mut();
        let Some(group) = groups.find(|group| {
            group.entry.state == GroupState::Serving
                && group.whole
                && group.members.contains(&instance)
        }) else {
            return;
        };
        // Further losses of the same group at this moment cost nothing more.
        group.whole = false;
        let (index, domain) = (group.service, group.entry.failure_domain.clone());
        let survivors = group.members.iter().filter(|index| **index != instance);
        let survivors = survivors
            .map(|index| f64::from(instances[*index].accelerators))
            .sum();
        let service = self.services[index].clone();
        let others = check.groups.values().filter(|other| {
            other.service == index && other.entry.failure_domain == domain && other.is_useful()
        });
        let wanted = others.count() < service.min_groups as usize;
        let shard = service.weight_bytes as f64 / f64::from(service.span.max(1));
        let time = (detection + shard / self.store_bytes_per_s).min(most);
        let own = |instance: &&FakeInstance| {
            instance.failure_domain == domain && is_healthy(now, instance)
        };
        let healthy = instances.iter().filter(own).count();
        let (_, idle) = self.limit(healthy);
        self.incidents.push(MeterIncident {
            domain,
            until: now + Duration::from_secs_f64(time),
            weight: if wanted { service.weight } else { 0.0 },
            survivors,
            idle_before: idle as f64 * f64::from(instances[instance].accelerators),
        });
    }
}

fn is_healthy(now: Duration, instance: &FakeInstance) -> bool {
    instance.accelerators > 0 && instance.answers(now) && !instance.leaving
}
