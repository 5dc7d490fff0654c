use {
    super::{at, engine, model, profile, routes, row_version, stream_route},
    smallvec::SmallVec,
    std::time::Duration,
    toucanring::core::{
        fairness::AccountTag,
        fleet::{BackendEntry, EngineMembership, FleetView, MemberState},
        placement::{
            PlacementClass, PlacementDecision, PlacementRequest, PlacementScheduler, PlainBalancer,
        },
        routes::RouteTable,
    },
};

/// Entry of the head of an open group that consists of this server alone.
pub fn head(id: &str) -> BackendEntry {
    let mut entry = engine(id, "f");
    entry.model = Some("m-0".to_owned());
    entry.membership = Some(EngineMembership {
        group: format!("g-{id}"),
        epoch: 1,
        rank: 0,
        state: MemberState::Open,
    });
    entry
}

pub fn plain_server(id: &str) -> BackendEntry {
    let mut entry = engine(id, "");
    entry.service = String::from("desk");
    entry
}

/// The entry of the next incarnation of a server, under the same identifier.
pub fn restarted(mut entry: BackendEntry) -> BackendEntry {
    entry.born_ms += 1;
    entry
}

fn table() -> RouteTable {
    let rules = vec![stream_route("r-1", "/draft/", at(300))];
    RouteTable::new(routes(1, rules, profile(vec![model("m-0", 1, 1.0)])))
}

/// A request to the model that arrives now.
pub fn request(now: Duration) -> PlacementRequest {
    PlacementRequest {
        service: "model".to_owned(),
        model: "m-0".to_owned(),
        route: "r-1".to_owned(),
        prompt_tokens: 100,
        answer_tokens: 170,
        priority: 1,
        account: AccountTag::of(None),
        objective: at(300),
        in_time_until: now + at(300),
        wait_until: now + at(1_500),
        give_up_at: now + at(8_000),
        placement_class: PlacementClass::InTime,
        avoid: None,
        only_heads: SmallVec::new(),
    }
}

/// A fleet, and the schedulers of one gateway that follow it.
pub struct GatewayWorld {
    pub fleet: FleetView,
    pub scheduler: PlacementScheduler,
    pub balancer: PlainBalancer,
    table: RouteTable,
}

impl GatewayWorld {
    pub fn new(entries: Vec<BackendEntry>) -> Self {
        let mut world = Self {
            fleet: FleetView::new(),
            scheduler: PlacementScheduler::new("kochi", 7),
            balancer: PlainBalancer::default(),
            table: table(),
        };
        for entry in entries {
            world.fleet.put(row_version(5), entry);
        }
        world.sync();
        world
    }

    pub fn sync(&mut self) {
        self.scheduler.sync(&self.fleet, &self.table);
        self.balancer.sync(&self.fleet);
    }

    /// Passes the pauses on to the schedulers.
    pub fn apply_pauses(&mut self) {
        self.scheduler.apply_pauses(&self.fleet);
        self.balancer.apply_pauses(&self.fleet);
    }

    pub fn put(&mut self, version: u64, entry: BackendEntry) {
        self.fleet.put(row_version(version), entry);
        self.sync();
    }

    /// Heads at which `count` requests are placed.
    pub fn heads_used(&mut self, now: Duration, count: usize) -> Vec<String> {
        let mut heads = Vec::new();
        for _ in 0..count {
            let decision = self.scheduler.arrive(now, &request(now));
            if let PlacementDecision::Place(placement) = decision {
                heads.push(placement.head);
                self.scheduler.ended(placement.attempt);
            }
        }
        heads.sort();
        heads.dedup();
        heads
    }

    /// Plain servers at which `count` requests run at the same time.
    pub fn plain_used(&mut self, now: Duration, count: usize) -> Vec<String> {
        let mut servers = Vec::new();
        let mut keys = Vec::new();
        for _ in 0..count {
            if let Some((key, server, _)) = self.balancer.pick(now, "desk", "kochi", &[]) {
                servers.push(server);
                keys.push(key);
            }
        }
        for key in keys {
            self.balancer.abandoned(key);
        }
        servers.sort();
        servers.dedup();
        servers
    }
}
