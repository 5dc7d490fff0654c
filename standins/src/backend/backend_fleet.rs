use {
    super::{
        BackendServer, BackendSettings, RunLedger, group_snapshot::GroupLease,
        weight_loader::WeightLoader,
    },
    std::{collections::HashMap, io, net::SocketAddr, sync::Arc},
    toucanring::wire::GroupId,
};

/// All backend servers of the process.
#[derive(Debug)]
pub struct BackendFleet {
    /// Servers in the order of the settings.
    pub servers: Vec<Arc<BackendServer>>,
    /// Runs of all servers.
    pub ledger: RunLedger,
    /// Source of weights.
    pub loader: Arc<WeightLoader>,
    by_address: HashMap<SocketAddr, usize>,
}

impl BackendFleet {
    /// Takes all ports.
    ///
    /// # Errors
    /// Fails when an address can't be bound.
    pub fn bind(settings: BackendSettings) -> io::Result<Self> {
        let servers: Vec<Arc<BackendServer>> = settings
            .servers
            .into_iter()
            .map(|server| BackendServer::bind(server).map(Arc::new))
            .collect::<io::Result<_>>()?;
        let addresses = servers.iter().enumerate();
        Ok(Self {
            by_address: addresses.map(|(n, server)| (server.address, n)).collect(),
            servers,
            ledger: RunLedger::default(),
            loader: Arc::new(WeightLoader {
                platform: settings.platform,
                bytes_per_s: settings.load_bytes_per_s,
            }),
        })
    }

    /// Finds a server by the name of its instance.
    #[must_use]
    pub fn find(&self, instance: &str) -> Option<&Arc<BackendServer>> {
        self.servers
            .iter()
            .find(|server| server.settings.instance == instance)
    }

    /// Checks that the server leads this complete group and returns its members.
    ///
    /// # Errors
    /// Returns a sentence that says what is wrong.
    pub fn join_group(
        &self,
        server: &BackendServer,
        group: &str,
        epoch: u64,
    ) -> Result<GroupLease, String> {
        let addresses = {
            let state = server.lock();
            let Some(membership) = &state.membership else {
                return Err("instance is in no group".to_owned());
            };
            if membership.group.0 != group || membership.epoch != epoch || membership.rank != 0 {
                return Err(format!(
                    "instance is rank {} of group {} in epoch {}",
                    membership.rank, membership.group.0, membership.epoch
                ));
            }
            state.members.clone()
        };
        let mut members = Vec::with_capacity(addresses.len());
        for address in &addresses {
            let index = self.by_address.get(address);
            let Some(member) = index.map(|index| Arc::clone(&self.servers[*index])) else {
                return Err(format!("member {address} does not exist"));
            };
            let Some(incarnation) = member.up() else {
                return Err(format!("member {address} is down"));
            };
            members.push((member, incarnation));
        }
        let lease = GroupLease {
            group: GroupId(group.to_owned()),
            epoch,
            members,
        };
        if !lease.holds() {
            return Err("group is not complete".to_owned());
        }
        Ok(lease)
    }
}
