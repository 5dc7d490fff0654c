//! The operator's routing configuration: routes by host and longest path prefix, the API keys of
//! client accounts, limits for callers, and the speed and capacity figures of engines and models.

mod operator_routes;
mod route_table;

pub use {
    operator_routes::{
        AccountRule, CallerLimits, EngineProfile, ModelProfile, OperatorRoutes, RouteKind,
        RouteRule, RouteSplit, ServiceRule,
    },
    route_table::{AccountKey, RouteChoice, RouteKey, RouteRefusal, RouteTable},
};
