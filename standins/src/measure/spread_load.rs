use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    toucanring::{
        conf::{
            BackendServer, ClientAccount, FailureDomain, ModelService, OperatorText,
            PlannerWeights, RequestKind, ServiceObjective,
        },
        core::view::Configuration,
        wire::{
            ControllerHeartbeat, FencingNumber, GroupEntry, GroupId, GroupState, MemberEntry,
            UsageEntry,
        },
    },
};

/// Creates an operator text with the given numbers of instances and failure domains, and with ten
/// model services, request kinds and client accounts.
#[must_use]
pub fn sample_text(instances: usize, failure_domains: usize) -> OperatorText {
    let mut text = OperatorText {
        deployment: "measured".to_owned(),
        planner: PlannerWeights {
            group_downtime: 1.0,
            stranded_accelerators: 0.1,
        },
        failure_domains: Vec::new(),
        backend_servers: Vec::new(),
        model_services: Vec::new(),
        plain_services: Vec::new(),
        request_kinds: Vec::new(),
        client_accounts: Vec::new(),
        drains: Vec::new(),
        objective: ServiceObjective { completion: 0.99 },
    };
    for domain in 0..failure_domains {
        text.failure_domains.push(FailureDomain {
            name: format!("domain-{domain}"),
            region: format!("region-{}", domain / 3),
            fabric_domains: vec![format!("domain-{domain}-f1"), format!("domain-{domain}-f2")],
        });
    }
    for index in 0..instances {
        let domain = index % failure_domains;
        text.backend_servers.push(BackendServer {
            instance: format!("domain-{domain}-m{index:03}"),
            address: sample_address(index / 250, index % 250 + 1),
            failure_domain: format!("domain-{domain}"),
            fabric_domain: format!("domain-{domain}-f{}", index % 2 + 1),
            accelerators: 4,
            checks_fencing: true,
        });
    }
    for index in 0..10 {
        text.model_services.push(ModelService {
            name: format!("service-{index}"),
            model: format!("model-{index}"),
            span: 8,
            weight_bytes: 200_000_000_000,
            min_groups: 1,
            max_groups: 2,
            weight: 1.0,
            depends_on: Vec::new(),
        });
        text.request_kinds.push(RequestKind {
            name: format!("kind-{index}"),
            weight: 1.0,
            priority: 1,
            deadline_ms: 1_300,
        });
        text.client_accounts.push(ClientAccount {
            name: format!("account-{index}"),
            key_digest: sample_digest(index),
            requests_per_s: 50.0,
            tokens_per_s: 30_000.0,
            concurrency: 200,
        });
    }
    text
}

/// Returns an address in 10.1.0.0/16.
fn sample_address(high: usize, low: usize) -> SocketAddr {
    let part = |number: usize| u8::try_from(number % 256).unwrap_or(0);
    (Ipv4Addr::new(10, 1, part(high), part(low)), 8_000).into()
}

/// Returns 64 hexadecimal digits that differ by account; they are the digest of no key, because no
/// caller authenticates in a run.
fn sample_digest(index: usize) -> String {
    format!("{index:064x}")
}

/// Creates a version of the configuration with a copy of the text.
#[must_use]
pub fn sample_version(version: u64, text: &OperatorText) -> Arc<Configuration> {
    Arc::new(Configuration {
        version,
        text: text.clone(),
    })
}

/// Creates the entry of a serving group with `span` members; entries with the same `domain` and
/// `number` are versions of the same group, ordered by `sequence`.
#[must_use]
pub fn sample_group(domain: usize, number: usize, span: usize, sequence: u64) -> GroupEntry {
    let mut rng = ChaCha8Rng::seed_from_u64(number as u64);
    let mut entry = GroupEntry {
        id: GroupId(format!("domain-{domain}-3-{number}")),
        failure_domain: format!("domain-{domain}"),
        version: FencingNumber { term: 3, sequence },
        service: format!("service-{}", number % 10),
        epoch: sequence,
        state: GroupState::Serving,
        members: Vec::new().into(),
        slow: false,
        draining: false,
    };
    for rank in 0..span {
        entry.members.push(MemberEntry {
            instance: format!("domain-{domain}-m{:03}", number * 8 + rank),
            incarnation: rng.random(),
            address: sample_address(domain, rank + 1),
        });
    }
    entry
}

/// Creates the heartbeat of the lease holder of a failure domain.
#[must_use]
pub fn sample_controller_heartbeat(domain: usize, sequence: u64) -> ControllerHeartbeat {
    ControllerHeartbeat {
        failure_domain: format!("domain-{domain}"),
        version: FencingNumber { term: 3, sequence },
    }
}

/// Creates the usage of ten client accounts on a gateway; the round orders the entries of a
/// gateway.
#[must_use]
pub fn sample_usage(round: u64) -> Vec<UsageEntry> {
    let mut entries = Vec::new();
    for index in 0..10 {
        entries.push(UsageEntry {
            account: format!("account-{index}"),
            round,
            requests_per_s: 0.4,
            tokens_per_s: 140.0,
            in_flight: 3,
        });
    }
    entries
}
