use {
    super::{AccountRule, OperatorRoutes, RouteRule, ServiceRule},
    std::collections::HashMap,
};

value_type! {
    /// Index of a route in the [`RouteTable`] that returned it; not valid for other versions.
    #[derive(Copy, Eq, Hash)]
    pub struct RouteKey(pub usize);

    /// Index of a client account in the [`RouteTable`] that returned it; not valid for other
    /// versions.
    #[derive(Copy, Eq, Hash)]
    pub struct AccountKey(pub usize);

    /// Route and client account of a request.
    #[derive(Copy, Eq)]
    pub struct RouteChoice {
        /// Route with the longest matching prefix.
        pub route: RouteKey,
        /// Client account of the request's API key. None only if the route needs no key and the
        /// request has no known one.
        pub account: Option<AccountKey>,
    }

    /// Reason for which a request is not routed.
    #[derive(Copy, Eq)]
    pub enum RouteRefusal {
        /// No route of the host has a prefix of the path, or the host has no routes.
        NoRoute,
        /// The route needs an API key, but the request has none or one of no account.
        UnknownKey,
    }
}

/// Lookup tables over one version of the operator's routes.
#[derive(Debug, Clone)]
pub struct RouteTable {
    rules: OperatorRoutes,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<RouteKey>>,
    /// Client accounts by API key.
    keys: HashMap<String, AccountKey>,
    /// Indices of the services by name.
    services: HashMap<String, usize>,
}

impl RouteTable {
    /// Builds the lookup tables.
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

    /// The configuration from which the table was built.
    #[must_use]
    pub const fn rules(&self) -> &OperatorRoutes {
        &self.rules
    }

    /// Returns a route by its key. `key` must come from this table.
    #[must_use]
    pub fn route(&self, key: RouteKey) -> &RouteRule {
        &self.rules.routes[key.0]
    }

    /// Returns a client account by its key. `key` must come from this table.
    #[must_use]
    pub fn account(&self, key: AccountKey) -> &AccountRule {
        &self.rules.accounts[key.0]
    }

    /// Finds a service by name; none when it is not configured.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let index = self.services.get(name)?;
        Some(&self.rules.services[*index])
    }

    /// Finds the route of a request and checks its API key. `host` may be in any case and have a
    /// port; `key` is none when the request has no API key.
    ///
    /// # Errors
    /// [`RouteRefusal`] when no route matches, or the route needs a key and no account has it.
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

    /// Picks a service of the route by weight. `draw` is a random number from 0 up to but not
    /// including 1. Returns the empty string when the route has no service.
    #[must_use]
    pub fn pick_service(&self, route: RouteKey, draw: f64) -> &str {
        let splits = &self.route(route).splits;
        let total: f64 = splits.iter().map(|split| f64::from(split.weight)).sum();
        let mut remaining = draw * total;
        for split in splits {
            remaining -= f64::from(split.weight);
            if remaining < 0.0 {
                return &split.service;
            }
        }
        splits.last().map_or("", |split| &split.service)
    }
}
