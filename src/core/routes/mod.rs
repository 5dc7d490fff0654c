//! Which service a request goes to and under which limits: routes by host and
//! longest prefix, keys of client accounts, shapes of the models.

mod operator_routes;
mod route_table;

pub use {
    operator_routes::{
        AccountRule, CallerLimits, EngineShape, ModelShape, OperatorRoutes, RouteKind, RouteRule,
        RouteSplit, ServiceRule,
    },
    route_table::{AccountKey, RouteChoice, RouteKey, RouteRefusal, RouteTable},
};
