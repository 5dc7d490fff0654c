use {
    super::{
        BackendServer, BackendSettings, RunLedger, group_snapshot::GroupSnapshot,
        weight_loader::WeightLoader,
    },
    std::{collections::HashMap, io, net::SocketAddr, sync::Arc},
    toucanring::wire::GroupId,
};

/// All backend servers of the process.
#[derive(Debug)]
pub struct BackendFleet {
    /// Servers in the order in which the settings list them.
    pub servers: Vec<Arc<BackendServer>>,
    /// Runs and refusals of all servers.
    pub ledger: RunLedger,
    /// Loads the shards of joining members for all servers.
    pub loader: Arc<WeightLoader>,
    // Index in `servers` by listen address.
    index_by_address: HashMap<SocketAddr, usize>,
}

impl BackendFleet {
    /// Creates the servers and reserves their ports.
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
            index_by_address: addresses
                .map(|(index, server)| (server.address, index))
                .collect(),
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
    pub fn find_server(&self, instance: &str) -> Option<&Arc<BackendServer>> {
        self.servers
            .iter()
            .find(|server| server.settings.instance == instance)
    }

    /// Records the members of a group, after a check that the server is its head (rank 0 member)
    /// and that every member is up and ready.
    ///
    /// # Errors
    /// Returns the reason, which is sent as the detail of the refusal.
    pub fn snapshot_group(
        &self,
        server: &BackendServer,
        group: &str,
        epoch: u64,
    ) -> Result<GroupSnapshot, String> {
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
            let index = self.index_by_address.get(address);
            let Some(member) = index.map(|index| Arc::clone(&self.servers[*index])) else {
                return Err(format!("member {address} does not exist"));
            };
            let Some(incarnation) = member.live_incarnation() else {
                return Err(format!("member {address} is down"));
            };
            members.push((member, incarnation));
        }
        let snapshot = GroupSnapshot {
            group: GroupId(group.to_owned()),
            epoch,
            members,
        };
        if !snapshot.is_current() {
            return Err("group is not complete".to_owned());
        }
        Ok(snapshot)
    }
}
