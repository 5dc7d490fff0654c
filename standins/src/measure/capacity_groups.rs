use {
    super::{CapacitySlope, Figure, capacity_fixture::setup, capacity_timing::time_us},
    crate::fakes::groups::FakeInstance,
    std::{hint::black_box, time::Duration},
    toucanring::{
        conf::PlannerWeights,
        core::{
            groups::{
                GroupEvent,
                planner::{
                    MemberStatus, PlanGroup, PlanInput, PlanInstance, PlanMember, PlanService,
                    PlanShard, plan,
                },
            },
            keys::{GroupKey, InstanceKey},
        },
    },
};

/// Numbers of instances in one failure domain.
const SIZES: [u32; 5] = [24, 48, 96, 192, 384];

/// Instances in one failure domain at the design scale: 750 over 9 failure domains,
/// rounded up.
pub(super) const DESIGN_INSTANCES: f64 = 84.0;

/// Measures the time of the group manager and its planner by number of instances.
pub(super) fn capacity_groups() -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut add = |name: &str, measure: fn(u32) -> f64| {
        let points = SIZES.map(|size| (f64::from(size), measure(size)));
        let line = CapacitySlope::fit(points.to_vec());
        figures.extend(line.figures(name, "us", DESIGN_INSTANCES));
    };
    add("capacity.controller.plan_us", plan_us);
    add("capacity.controller.report_us", report_us);
    add("capacity.controller.tick_us", tick_us);
    figures
}

/// Time to plan for groups of 4, of which every eighth has lost a member.
fn plan_us(instances: u32) -> f64 {
    let input = plan_input(instances);
    time_us(200, |_| {
        black_box(plan(black_box(&input)));
    })
}

fn plan_input(instances: u32) -> PlanInput {
    let mut keys = slotmap::SlotMap::<InstanceKey, ()>::with_key();
    let mut group_keys = slotmap::SlotMap::<GroupKey, ()>::with_key();
    let mut groups = Vec::new();
    let span = 4;
    // One in ten instances is free.
    let group_count = instances * 9 / 10 / span;
    for number in 0..group_count {
        let fabric = u16::try_from(number * span / 48).unwrap_or(u16::MAX);
        let members = (0..span).map(|rank| PlanMember {
            key: keys.insert(()),
            fabric,
            accelerators: 4,
            status: if number % 8 == 0 && rank == 1 {
                MemberStatus::Lost
            } else {
                MemberStatus::Healthy
            },
            shard: Some(PlanShard { service: 0, rank }),
        });
        groups.push(PlanGroup {
            key: group_keys.insert(()),
            service: 0,
            members: members.collect(),
            serving: number % 8 != 0,
            moving: false,
            retiring: false,
        });
    }
    let free = (group_count * span..instances).map(|number| PlanInstance {
        key: keys.insert(()),
        fabric: u16::try_from(number / 48).unwrap_or(u16::MAX),
        accelerators: 4,
        shard: None,
    });
    PlanInput {
        free: free.collect(),
        groups,
        services: vec![PlanService {
            span,
            min_groups: group_count,
            max_groups: instances / span,
            weight: 1.0,
            shard_bytes: 10_000_000_000,
        }],
        weights: PlannerWeights {
            group_downtime: 1.0,
            stranded_accelerators: 1.0,
        },
        store_bytes_per_s: 2e9,
        may_repack: true,
        horizon_s: 300.0,
    }
}

/// Time to handle one report of a healthy member of a serving group.
fn report_us(instances: u32) -> f64 {
    let mut world = setup(instances, 4).build();
    world.run_until(Duration::from_secs(20));
    let reports: Vec<_> = world.instances.iter().map(FakeInstance::report).collect();
    let mut now = world.now;
    let manager = &mut world.nodes[0].manager;
    let mut out = Vec::new();
    time_us(instances * 4, |number| {
        now += Duration::from_micros(10);
        let report = reports[number as usize % reports.len()].clone();
        let event = GroupEvent::Reported {
            polled_at: now,
            report,
        };
        manager.step(now, event, &mut out);
        out.clear();
    })
}

/// Time of one tick of a lease holder, which has ten a second.
fn tick_us(instances: u32) -> f64 {
    let mut world = setup(instances, 4).build();
    world.run_until(Duration::from_secs(20));
    let mut now = world.now;
    let manager = &mut world.nodes[0].manager;
    let mut out = Vec::new();
    time_us(20, |_| {
        // All ticks together take less virtual time than the lease lasts, so that it never expires.
        now += Duration::from_millis(5);
        manager.step(now, GroupEvent::Tick, &mut out);
        out.clear();
    })
}
