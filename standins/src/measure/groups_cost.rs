use {
    super::Figure,
    crate::fakes::groups::{WorldSetup, consorzio, service},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::KeyData,
    std::time::{Duration, Instant},
    toucanring::core::{
        groups::{
            GroupEvent,
            planner::{
                MemberStatus, PlanGroup, PlanInput, PlanInstance, PlanMember, PlanService,
                PlanShard, plan,
            },
        },
        keys::{GroupKey, InstanceKey},
    },
};

/// Number of plans that are timed for each size.
const PLANS: usize = 300;
/// Numbers of servers in one failure domain; the last is the design scale of a whole deployment.
const SERVERS: [u32; 4] = [94, 188, 375, 750];
/// Instances in each fabric domain, as at the design scale.
const FABRIC_SIZE: u32 = 40;

/// Measures the 99th percentile of the time to plan, in milliseconds, at four sizes.
#[must_use]
pub fn plan_figures(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for servers in SERVERS {
        let mut times: Vec<f64> = Vec::with_capacity(PLANS);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..PLANS {
            let input = random_input(servers, &mut rng);
            let started = Instant::now();
            let moves = plan(&input);
            times.push(started.elapsed().as_secs_f64() * 1e3);
            std::hint::black_box(moves);
        }
        times.sort_by(f64::total_cmp);
        let p99 = times[PLANS * 99 / 100];
        let name = format!("groups.plan_ms_p99.servers_{servers}");
        figures.push(Figure::new(&name, p99, "ms"));
        if servers == 750 {
            figures.push(Figure::new("groups.plan_ms_p99", p99, "ms"));
        }
    }
    figures
}

/// Creates a random state of one failure domain: groups of spans 2 to 32, about a tenth of them
/// with a lost member, about 1% of the members slow and 1% leaving, and some instances free.
fn random_input(servers: u32, rng: &mut ChaCha8Rng) -> PlanInput {
    let spans = [2, 4, 8, 16, 32];
    let mut keys = plan_keys(servers);
    let mut input = PlanInput {
        free: Vec::new(),
        groups: Vec::new(),
        services: Vec::new(),
        weights: consorzio(1).weights,
        store_bytes_per_s: 2e9,
        may_repack: true,
        horizon_s: 300.0,
    };
    for (index, span) in spans.into_iter().enumerate() {
        let share = servers / 6 / span;
        let service = service(
            &format!("service-{index}"),
            span,
            10,
            (share, share + 4),
            1.0 + f64::from(span),
        );
        input.services.push(PlanService {
            span,
            min_groups: service.min_groups,
            max_groups: service.max_groups,
            weight: service.weight,
            shard_bytes: 10_000_000_000,
        });
    }
    let mut used = 0;
    for (index, span) in (0u16..).zip(spans) {
        for _ in 0..input.services[usize::from(index)].min_groups {
            if used + span > servers {
                break;
            }
            let broken = rng.random_bool(0.1);
            let lost = rng.random_range(0..span);
            let members = (0..span).map(|rank| {
                let position = used + rank;
                let status = match rng.random_range(0..100) {
                    _ if broken && rank == lost => MemberStatus::Lost,
                    0 => MemberStatus::Slow,
                    1 => MemberStatus::Leaving,
                    _ => MemberStatus::Healthy,
                };
                PlanMember {
                    key: keys.instances[position as usize],
                    fabric: fabric(position),
                    accelerators: 4,
                    status,
                    shard: Some(PlanShard {
                        service: index,
                        rank,
                    }),
                }
            });
            input.groups.push(PlanGroup {
                key: keys.groups.pop().expect("one key for each possible group"),
                service: index,
                members: members.collect(),
                serving: !broken,
                moving: false,
                retiring: false,
            });
            used += span;
        }
    }
    for position in used..servers {
        input.free.push(PlanInstance {
            key: keys.instances[position as usize],
            fabric: fabric(position),
            accelerators: 4,
            shard: None,
        });
    }
    input
}

/// Keys for the instances and groups of a plan.
struct PlanKeys {
    instances: Vec<InstanceKey>,
    groups: Vec<GroupKey>,
}

/// Creates `count` distinct keys of each kind without a slot map.
fn plan_keys(count: u32) -> PlanKeys {
    let numbers = (0..count).map(|index| u64::from(index) + (1 << 32) + 1);
    PlanKeys {
        instances: numbers
            .clone()
            .map(|number| InstanceKey::from(KeyData::from_ffi(number)))
            .collect(),
        groups: numbers
            .map(|number| GroupKey::from(KeyData::from_ffi(number)))
            .collect(),
    }
}

/// Fabric domain of the instance at a position.
fn fabric(position: u32) -> u16 {
    u16::try_from(position / FABRIC_SIZE).unwrap_or(0)
}

/// Measures the mean time in which a group manager handles one member report, in microseconds, at
/// four sizes.
#[must_use]
pub fn report_figures() -> Vec<Figure> {
    let mut figures = Vec::new();
    for members in [18, 36, 72, 144] {
        let half = members / 2;
        let mut setup: WorldSetup = consorzio(1);
        setup.domains = vec![("kochi".to_owned(), vec![half, members - half])];
        for service in &mut setup.services {
            service.min_groups *= members / 18;
            service.max_groups *= members / 18;
        }
        let mut world = setup.build();
        world.run_until(Duration::from_mins(5));
        let holder = world
            .nodes
            .iter()
            .position(|node| node.manager.rights(world.now).term().is_some());
        let Some(holder) = holder else { continue };
        let mut now = world.now;
        let mut out = Vec::new();
        let mut total = Duration::ZERO;
        let rounds = 200;
        for _ in 0..rounds {
            now += Duration::from_millis(10);
            for index in 0..world.instances.len() {
                let report = world.instances[index].report();
                let polled_at = now + Duration::from_micros(u64::try_from(index).unwrap_or(0));
                let event = GroupEvent::Reported { polled_at, report };
                let started = Instant::now();
                world.nodes[holder].manager.step(now, event, &mut out);
                total += started.elapsed();
            }
            out.clear();
        }
        let reports = f64::from(rounds) * f64::from(members);
        let name = format!("groups.report_us.members_{members}");
        figures.push(Figure::new(
            &name,
            total.as_secs_f64() * 1e6 / reports,
            "us",
        ));
    }
    figures
}
