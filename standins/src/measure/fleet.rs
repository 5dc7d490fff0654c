//! Cost of the list of servers at a gateway: of one changed entry, of a whole list from a peer, and
//! of a request, at several sizes.

use {
    super::{Figure, capacity_timing::time_us},
    std::{net::SocketAddr, time::Duration},
    toucanring::core::{
        cold::ColdRule,
        fairness::AccountTag,
        fleet::{BackendEntry, EngineMembership, FleetView, MemberState},
        placement::{
            PlacementClass, PlacementDecision, PlacementRequest, PlacementScheduler, PlainBalancer,
        },
        routes::{
            CallerLimits, EngineProfile, ModelProfile, OperatorRoutes, RouteTable, ServiceRule,
        },
        store::StoreVersion,
    },
};

/// Numbers of engines.
const SERVERS: [usize; 3] = [100, 1_000, 3_000];

/// Members of a group.
const GROUP_SIZE: usize = 8;

/// Calls of each timing; the slow ones have fewer.
const CHANGES: u32 = 2_000;
const REBUILDS: u32 = 20;

/// Measures the cost in microseconds of a changed entry, beside that of building the groups and
/// servers anew from the whole list, of a list from a peer, and of the placement of a request.
#[must_use]
pub fn fleet() -> Vec<Figure> {
    let mut figures = Vec::new();
    for servers in SERVERS {
        let mut add = |name: &str, micros: f64| {
            let name = format!("fleet.{name}.servers_{servers}");
            figures.push(Figure::new(&name, micros, "us"));
        };
        add("change", change_us(servers));
        add("rebuild", rebuild_us(servers));
        add("whole_list", whole_list_us(servers));
        add("request", request_us(servers));
    }
    figures
}

fn change_us(servers: usize) -> f64 {
    let table = table();
    let (mut scheduler, mut balancer) = schedulers();
    let mut fleet = fleet_of(servers);
    scheduler.sync(&fleet, &table);
    balancer.sync(&fleet);
    let mut number = 1;
    let mut leaving = vec![false; servers];
    time_us(CHANGES, |call| {
        number += 1;
        let server = call as usize % servers;
        leaving[server] = !leaving[server];
        let mut entry = engine(server);
        entry.leaving = leaving[server];
        fleet.put(StoreVersion::new(1, number), entry);
        scheduler.sync(&fleet, &table);
        balancer.sync(&fleet);
    })
}

fn rebuild_us(servers: usize) -> f64 {
    let table = table();
    let fleet = fleet_of(servers);
    time_us(REBUILDS, |_| {
        let (mut scheduler, mut balancer) = schedulers();
        scheduler.sync(&fleet, &table);
        balancer.sync(&fleet);
    })
}

fn whole_list_us(servers: usize) -> f64 {
    let mut fleet = fleet_of(servers);
    let mut number = 1;
    time_us(REBUILDS, |_| {
        number += 1;
        let version = StoreVersion::new(1, number);
        let rows = (0..servers).map(|server| (version, engine(server)));
        let changes = fleet.replace(Duration::ZERO, version, rows.collect());
        assert!(changes.is_empty(), "the list has not changed");
    })
}

fn request_us(servers: usize) -> f64 {
    let (mut scheduler, _) = schedulers();
    scheduler.sync(&fleet_of(servers), &table());
    time_us(CHANGES, |_| {
        let decision = scheduler.arrive(Duration::ZERO, &request());
        if let PlacementDecision::Place(placement) = decision {
            scheduler.ended(placement.attempt);
        }
    })
}

fn schedulers() -> (PlacementScheduler, PlainBalancer) {
    let scheduler = PlacementScheduler::new("domain-0", 1);
    (scheduler, PlainBalancer::default())
}

/// A list of engines, all members of open groups.
fn fleet_of(servers: usize) -> FleetView {
    let mut fleet = FleetView::new();
    for server in 0..servers {
        fleet.put(StoreVersion::new(1, 1), engine(server));
    }
    fleet
}

fn engine(server: usize) -> BackendEntry {
    let rank = u32::try_from(server % GROUP_SIZE).unwrap_or(0);
    let state = match rank {
        0 => MemberState::Open,
        _ => MemberState::Ready,
    };
    BackendEntry {
        id: format!("i-{server:08x}"),
        service: "model".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        failure_domain: format!("domain-{}", server % 5),
        leaving: false,
        slots: 22,
        born_ms: 1,
        fabric: format!("fabric-{}", server / 73),
        staged: vec!["m-0".to_owned()],
        model: Some("m-0".to_owned()),
        membership: Some(EngineMembership {
            group: format!("g-{}", server / GROUP_SIZE),
            epoch: 1,
            rank,
            state,
        }),
        write_count: 0,
        cold_left_ms: None,
    }
}

fn table() -> RouteTable {
    RouteTable::new(OperatorRoutes {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceRule {
            name: "model".to_owned(),
            max_connections: 1_388,
            engine: Some(profile()),
            cold: ColdRule::default(),
        }],
        accounts: Vec::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 100_000,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    })
}

fn profile() -> EngineProfile {
    EngineProfile {
        slots: 22,
        step_ms: 6.0,
        per_sequence_ms: 0.05,
        context_ms_per_kilotoken: 0.01,
        prefill_per_s: 50_000.0,
        pair_ms_per_million: 0.4,
        stride: 11,
        loads_per_s: 4.5,
        loads_at_once: 6,
        form: Duration::from_millis(300),
        models: vec![ModelProfile {
            name: "m-0".to_owned(),
            size: GROUP_SIZE,
            share: 1.0,
            pace: 1.0,
            load: Duration::from_secs(16),
            warm: Duration::from_secs(2),
        }],
    }
}

fn request() -> PlacementRequest {
    let objective = Duration::from_millis(250);
    PlacementRequest {
        service: "model".to_owned(),
        model: "m-0".to_owned(),
        route: "r-1".to_owned(),
        prompt_tokens: 700,
        answer_tokens: 230,
        priority: 1,
        account: AccountTag::of(None),
        objective,
        in_time_until: objective,
        wait_until: Duration::from_millis(1_500),
        give_up_at: Duration::from_secs(6),
        placement_class: PlacementClass::InTime,
        avoid: None,
        only_heads: Vec::new().into(),
    }
}
