use {
    super::{AccountRule, OperatorRoutes, RouteRule, ServiceRule},
    std::collections::HashMap,
};

value_type! {
    /// Index of a route in its table.
    #[derive(Copy, Eq, Hash)]
    pub struct RouteKey(pub usize);

    /// Index of a client account in its table.
    #[derive(Copy, Eq, Hash)]
    pub struct AccountKey(pub usize);

    /// The route and account of a request.
    #[derive(Copy, Eq)]
    pub struct RouteChoice {
        /// The route.
        pub route: RouteKey,
        /// The client account; none on public routes and without accounts.
        pub account: Option<AccountKey>,
    }

    /// Why a request has no route.
    #[derive(Copy, Eq)]
    pub enum RouteRefusal {
        /// No prefix of the host begins the path.
        NoRoute,
        /// The key belongs to no account.
        UnknownKey,
    }
}

/// Index over one version of the operator's routes.
#[derive(Debug, Clone)]
pub struct RouteTable {
    rules: OperatorRoutes,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<RouteKey>>,
    keys: HashMap<String, AccountKey>,
    services: HashMap<String, usize>,
}

impl RouteTable {
    /// Builds the index.
    #[must_use]
    pub fn new(rules: OperatorRoutes) -> Self {
        let mut hosts: HashMap<String, Vec<RouteKey>> = HashMap::new();
        for (index, route) in rules.routes.iter().enumerate() {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(RouteKey(index));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|key| std::cmp::Reverse(rules.routes[key.0].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, account) in rules.accounts.iter().enumerate() {
            for key in &account.keys {
                keys.insert(key.clone(), AccountKey(index));
            }
        }
        let names = rules.services.iter().enumerate();
        let services = names
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            rules,
            hosts,
            keys,
            services,
        }
    }

    /// Version of the operator's routes.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.rules.version
    }

    /// All rules.
    #[must_use]
    pub const fn rules(&self) -> &OperatorRoutes {
        &self.rules
    }

    /// A route of this table.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &RouteRule {
        &self.rules.routes[key.0]
    }

    /// A client account of this table.
    #[must_use]
    pub fn account(&self, key: AccountKey) -> &AccountRule {
        &self.rules.accounts[key.0]
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let index = self.services.get(name)?;
        Some(&self.rules.services[*index])
    }

    /// Finds the route of a request and checks its key.
    ///
    /// # Errors
    /// [`RouteRefusal`] when no route or no account fits.
    pub fn choose(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteChoice, RouteRefusal> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self
                .hosts
                .get(&name.to_ascii_lowercase())
                .ok_or(RouteRefusal::NoRoute)?,
        };
        let route = routes
            .iter()
            .copied()
            .find(|key| path.starts_with(&self.route(*key).prefix))
            .ok_or(RouteRefusal::NoRoute)?;
        if self.rules.accounts.is_empty() || self.route(route).public {
            let account = key.and_then(|key| self.keys.get(key)).copied();
            return Ok(RouteChoice { route, account });
        }
        let account = key.and_then(|key| self.keys.get(key)).copied();
        let account = Some(account.ok_or(RouteRefusal::UnknownKey)?);
        Ok(RouteChoice { route, account })
    }

    /// Picks the service of a route; `draw` is a random number in 0..1.
    #[must_use]
    pub fn pick_service(&self, route: RouteKey, draw: f64) -> &str {
        let splits = &self.route(route).splits;
        let total: u32 = splits.iter().map(|split| split.weight).sum();
        let mut left = draw * f64::from(total);
        for split in splits {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return &split.service;
            }
        }
        splits.last().map_or("", |split| &split.service)
    }
}
