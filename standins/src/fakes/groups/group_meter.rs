use {
    super::{FakeInstance, InvariantCheck},
    std::{collections::BTreeMap, time::Duration},
    toucanring::{
        conf::{ModelService, OperatorText},
        wire::GroupState,
    },
};

/// Seconds that pass before any group manager can react: the age of the newest report at which a
/// member counts as unresponsive.
const DETECTION_TIME_S: f64 = 1.2;

/// Downtime and stranded accelerators of a run, summed over all failure domains.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MeterReading {
    /// Seconds in which wanted groups were down, times the weight of their service. Groups up to
    /// the minimum of their service in a failure domain are wanted.
    pub downtime: f64,
    /// Part of the downtime that no group manager could have avoided.
    pub downtime_floor: f64,
    /// Accelerator-seconds of healthy instances that were in no serving group.
    pub stranded: f64,
    /// Part of the stranded accelerator-seconds that no group manager could have avoided.
    pub stranded_floor: f64,
}

impl MeterReading {
    /// Adds the sums of another run.
    pub fn add(&mut self, other: &Self) {
        self.downtime += other.downtime;
        self.downtime_floor += other.downtime_floor;
        self.stranded += other.stranded;
        self.stranded_floor += other.stranded_floor;
    }
}

/// Outage of a serving group that no group manager could have avoided.
#[derive(Debug)]
struct MeterIncident {
    domain: String,
    /// Virtual time by which the best reaction has completed the group again.
    until: Duration,
    /// Weight of the service, or 0 when enough other groups of it serve.
    weight: f64,
    /// Accelerators of the other members.
    survivor_accelerators: f64,
    /// Accelerators of the failure domain that the best plan left idle before the incident.
    idle_accelerators: f64,
}

/// Sums downtime and stranded accelerators over virtual time, with their lower bounds.
#[derive(Debug)]
pub struct GroupMeter {
    /// Virtual time before which nothing is counted; zero unless a measurement sets it.
    pub start: Duration,
    /// Sums from `start` until now.
    pub reading: MeterReading,
    services: Vec<ModelService>,
    domains: Vec<String>,
    store_bytes_per_s: f64,
    incidents: Vec<MeterIncident>,
    /// Cached results of [`GroupMeter::lower_bounds`], by number of healthy instances.
    lower_bounds: BTreeMap<usize, (f64, usize)>,
}

impl GroupMeter {
    /// Creates a meter that counts from virtual time zero.
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
            lower_bounds: BTreeMap::new(),
        }
    }

    /// Adds the time from `now` to `now + step`, in which nothing changes.
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
            let mut serving_accelerators = 0.0;
            for group in check.groups.values() {
                if group.entry.failure_domain != name || !group.can_serve() {
                    continue;
                }
                serving[group.service] += 1;
                let members = group
                    .members
                    .iter()
                    .map(|index| f64::from(instances[*index].accelerators));
                serving_accelerators += members.sum::<f64>();
            }
            let is_own = |instance: &&FakeInstance| {
                instance.failure_domain == name && is_healthy(now, instance)
            };
            let (mut healthy, mut accelerators) = (0, 0.0);
            for instance in instances.iter().filter(is_own) {
                healthy += 1;
                accelerators += f64::from(instance.accelerators);
            }
            let mut missing_weight = 0.0;
            for (service, count) in self.services.iter().zip(&serving) {
                missing_weight +=
                    service.weight * f64::from(service.min_groups.saturating_sub(*count));
            }
            let (mut weight_floor, idle) = self.lower_bounds(healthy);
            let per_instance = accelerators / f64::from(u32::try_from(healthy.max(1)).unwrap_or(1));
            let mut idle_floor = per_instance * f64::from(u32::try_from(idle).unwrap_or(0));
            let mut incident_weight = 0.0;
            let mut survivor_accelerators = 0.0;
            for incident in self
                .incidents
                .iter()
                .filter(|incident| incident.domain == name)
            {
                incident_weight += incident.weight;
                survivor_accelerators += incident.survivor_accelerators;
                idle_floor = idle_floor.max(incident.idle_accelerators);
            }
            weight_floor = f64::max(weight_floor, incident_weight);
            if survivor_accelerators > 0.0 {
                idle_floor = (idle_floor + survivor_accelerators).min(accelerators);
            }
            let reading = &mut self.reading;
            reading.downtime += missing_weight * seconds;
            reading.downtime_floor += weight_floor * seconds;
            reading.stranded += (accelerators - serving_accelerators).max(0.0) * seconds;
            reading.stranded_floor += idle_floor * seconds;
        }
    }

    /// Lowest weight of missing groups and lowest number of idle instances that a plan for this
    /// many healthy instances can have, each by its own best plan. Treats the instances as one
    /// fabric domain.
    fn lower_bounds(&mut self, healthy: usize) -> (f64, usize) {
        if let Some(bounds) = self.lower_bounds.get(&healthy) {
            return *bounds;
        }
        // Highest served weight and number of used instances, by the number of available ones.
        let mut served_weight = vec![0.0; healthy + 1];
        let mut used = vec![0; healthy + 1];
        let mut total_weight = 0.0;
        for service in &self.services {
            let span = service.span as usize;
            total_weight += service.weight * f64::from(service.min_groups);
            for number in 0..service.max_groups {
                for available in (span..=healthy).rev() {
                    if number < service.min_groups {
                        served_weight[available] = f64::max(
                            served_weight[available],
                            served_weight[available - span] + service.weight,
                        );
                    }
                    used[available] = used[available].max(used[available - span] + span);
                }
            }
        }
        let bounds = (
            total_weight - served_weight[healthy],
            healthy - used[healthy],
        );
        self.lower_bounds.insert(healthy, bounds);
        bounds
    }

    /// Records that an instance stops without notice.
    pub(super) fn record_loss(
        &mut self,
        now: Duration,
        instance: usize,
        instances: &[FakeInstance],
        check: &mut InvariantCheck,
    ) {
        self.add_incident(now, DETECTION_TIME_S, f64::MAX, instance, instances, check);
    }

    /// Records that an instance must be replaced and reports so at once: it has restarted, or it
    /// leaves and accepts no new work.
    pub(super) fn record_replacement(
        &mut self,
        now: Duration,
        instance: usize,
        instances: &[FakeInstance],
        check: &mut InvariantCheck,
    ) {
        self.add_incident(now, 0.0, f64::MAX, instance, instances, check);
    }

    /// Records that an instance does not answer for `time`. Its return may come before that of a
    /// replacement.
    pub(super) fn record_pause(
        &mut self,
        now: Duration,
        time: Duration,
        instance: usize,
        instances: &[FakeInstance],
        check: &mut InvariantCheck,
    ) {
        self.add_incident(
            now,
            DETECTION_TIME_S,
            time.as_secs_f64(),
            instance,
            instances,
            check,
        );
    }

    /// Adds an incident if the instance is in a complete serving group. The incident lasts for the
    /// detection and the load of one shard at the full rate of the weight store, but at most for
    /// `max_duration_s`.
    #[allow(clippy::cast_precision_loss)]
    fn add_incident(
        &mut self,
        now: Duration,
        detection_s: f64,
        max_duration_s: f64,
        instance: usize,
        instances: &[FakeInstance],
        check: &mut InvariantCheck,
    ) {
        let mut groups = check.groups.values_mut();
        let Some(group) = groups.find(|group| {
            group.entry.state == GroupState::Serving
                && group.complete
                && group.members.contains(&instance)
        }) else {
            return;
        };
        // Further losses of the same group at the same moment add no incident.
        group.complete = false;
        let (service_index, domain) = (group.service, group.entry.failure_domain.clone());
        let survivors = group.members.iter().filter(|index| **index != instance);
        let survivor_accelerators = survivors
            .map(|index| f64::from(instances[*index].accelerators))
            .sum();
        let service = self.services[service_index].clone();
        let others = check.groups.values().filter(|other| {
            other.service == service_index
                && other.entry.failure_domain == domain
                && other.can_serve()
        });
        let wanted = others.count() < service.min_groups as usize;
        let shard_bytes = service.weight_bytes as f64 / f64::from(service.span.max(1));
        let duration_s = (detection_s + shard_bytes / self.store_bytes_per_s).min(max_duration_s);
        let is_own = |instance: &&FakeInstance| {
            instance.failure_domain == domain && is_healthy(now, instance)
        };
        let healthy = instances.iter().filter(is_own).count();
        let (_, idle) = self.lower_bounds(healthy);
        self.incidents.push(MeterIncident {
            domain,
            until: now + Duration::from_secs_f64(duration_s),
            weight: if wanted { service.weight } else { 0.0 },
            survivor_accelerators,
            idle_accelerators: idle as f64 * f64::from(instances[instance].accelerators),
        });
    }
}

fn is_healthy(now: Duration, instance: &FakeInstance) -> bool {
    instance.accelerators > 0 && instance.is_responsive(now) && !instance.leaving
}
