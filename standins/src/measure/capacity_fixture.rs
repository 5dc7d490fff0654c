use {
    crate::fakes::groups::{WorldSetup, service},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    toucanring::{
        conf::{ClientAccount, OperatorText, RequestKind},
        core::view::{AccountUsage, ClusterView, Configuration, ControllerRecord, HeartbeatRecord},
        wire::{
            ControllerHeartbeat, FencingNumber, GroupEntry, GroupId, GroupState, MemberEntry,
            PeerHeartbeat, ProcessRole, SuspectEntry, UsageEntry,
        },
    },
};

/// Number of failure domains at the design scale.
pub(super) const DOMAINS: u32 = 9;

/// Number of entries in each part of a generated view.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ViewSize {
    pub peers: u32,
    pub groups: u32,
    /// Members of each group.
    pub span: u32,
    /// Client accounts for which each peer has a usage entry.
    pub accounts: u32,
    pub suspects: u32,
}

/// Name of a failure domain; higher numbers wrap around at [`DOMAINS`].
pub(super) fn domain(number: u32) -> String {
    format!("domain-{}", number % DOMAINS)
}

/// Returns a loopback address with a different IP for each number.
///
/// It uses the whole of 127.0.0.0/8, so that there are enough for thousands of processes.
pub(super) fn address(number: u32) -> SocketAddr {
    let [_, second, third, fourth] = (number + 1).to_be_bytes();
    SocketAddr::from(([127, second, third, fourth], 7_000))
}

/// Creates a serving group with `span` members.
pub(super) fn group(number: u32, span: u32) -> GroupEntry {
    let members = (0..span).map(|rank| MemberEntry {
        instance: format!("{}-instance-{}", domain(number), number * span + rank),
        incarnation: 1,
        address: address(number * span + rank),
    });
    GroupEntry {
        id: GroupId(format!("{}-1-{number}", domain(number))),
        failure_domain: domain(number),
        version: FencingNumber {
            term: 1,
            sequence: u64::from(number) + 1,
        },
        service: "layouts".to_owned(),
        epoch: 1,
        state: GroupState::Serving,
        members: members.collect(),
        slow: false,
        draining: false,
    }
}

pub(super) fn heartbeat(number: u32, sequence: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        process: format!("{}-gateway-{number}", domain(number)),
        role: ProcessRole::Gateway,
        failure_domain: domain(number),
        boot: u64::from(number) + 1,
        started_ms: 1_800_000_000_000,
        sequence,
        address: address(number),
        config_version: 1,
        ready: true,
    }
}

/// Creates a client account with limits that no measurement reaches.
pub(super) fn account(number: u32) -> ClientAccount {
    ClientAccount {
        name: format!("account-{number}"),
        key_digest: format!("{number:064x}"),
        requests_per_s: 1e9,
        tokens_per_s: 1e12,
        concurrency: 1_000_000,
    }
}

pub(super) fn usage(number: u32, round: u64) -> UsageEntry {
    UsageEntry {
        account: format!("account-{number}"),
        round,
        requests_per_s: 1.0,
        tokens_per_s: 100.0,
        in_flight: 3,
    }
}

/// Creates a view of the given size with a controller heartbeat of every failure domain; all
/// entries were received at time zero.
pub(super) fn view(size: ViewSize) -> ClusterView {
    let now = Duration::ZERO;
    let mut view = ClusterView::default();
    for number in 0..size.groups {
        let entry = group(number, size.span);
        view.groups.insert(entry.id.clone(), entry);
    }
    for number in 0..DOMAINS {
        let heartbeat = ControllerHeartbeat {
            failure_domain: domain(number),
            version: FencingNumber {
                term: 1,
                sequence: 1,
            },
        };
        let record = ControllerRecord {
            heartbeat,
            received_at: now,
        };
        view.controllers.insert(domain(number), record);
    }
    for number in 0..size.peers {
        let heartbeat = heartbeat(number, 1);
        for account in 0..size.accounts {
            let key = (heartbeat.process.clone(), format!("account-{account}"));
            let usage = AccountUsage {
                usage: usage(account, 1),
                received_at: now,
            };
            view.usage.insert(key, usage);
        }
        let record = HeartbeatRecord {
            heartbeat,
            received_at: now,
        };
        let name = record.heartbeat.process.clone();
        view.peers.insert(name, record);
    }
    for number in 0..size.suspects {
        view.suspects.insert(u64::from(number), suspect(number));
    }
    view
}

/// Creates a suspect that crashed one group once.
pub(super) fn suspect(number: u32) -> SuspectEntry {
    SuspectEntry {
        fingerprint: u64::from(number),
        crashed: [toucanring::wire::GroupCrash {
            group: GroupId(format!("{}-1-{number}", domain(number))),
            epoch: 1,
            alone: false,
        }]
        .into_iter()
        .collect(),
        cleared: false,
    }
}

/// Sets up one failure domain with one controller, fabric domains of up to 48 instances, and one
/// service that fills each fabric domain with groups of `span`.
pub(super) fn setup(instances: u32, span: u32) -> WorldSetup {
    let mut fabrics = Vec::new();
    let mut remaining = instances;
    while remaining > 0 {
        let size = remaining.min(48);
        fabrics.push(size);
        remaining -= size;
    }
    let groups: u32 = fabrics.iter().map(|size| size / span).sum();
    WorldSetup {
        services: vec![service("layouts", span, 1, (groups, groups), 1.0)],
        controllers: 1,
        ..WorldSetup::small(&fabrics)
    }
}

/// Creates an operator text with the given numbers of servers and accounts, and five request kinds.
pub(super) fn text(servers: u32, accounts: u32) -> OperatorText {
    let mut text = setup(servers, 4).text();
    text.client_accounts = (0..accounts).map(account).collect();
    for number in 0..5 {
        text.request_kinds.push(RequestKind {
            name: format!("kind-{number}"),
            weight: 1.0,
            priority: 1,
            deadline_ms: 10_000,
        });
    }
    text
}

pub(super) fn configuration(version: u64, text: OperatorText) -> Arc<Configuration> {
    Arc::new(Configuration { version, text })
}
