//! Routes: which service takes a request, and what holds for it, by its host and path.
//!
//! The whole table is written elsewhere, under versions that only rise. Each daemon watches it
//! there and compares its version with others, so that a daemon that is cut off from the source
//! still learns of a newer table.

mod message;
mod service;
mod split;
mod table;

pub use message::Message;
pub use service::{Routes, RoutesSettings};
pub use table::{IngressLimits, Route, RouteTable, RouteTerms, ServiceTerms, WeightedService};

use std::time::Duration;

use macro_rules_attribute::apply;

use crate::derives::message;
use crate::ids::{RouteName, ServiceName};
use crate::table::{BoxFuture, PlatformError};

/// The name of the service that keeps the route table.
pub const NAME: &str = "routes";

/// What the source of route tables says.
#[apply(message!)]
pub struct RouteUpdate {
    /// The place to go on from; `None` where the history is gone and all must be read anew.
    pub position: Option<u64>,
    /// The newest table, where there is a new one that can be read.
    pub table: Option<RouteTable>,
}

/// Where route tables come from.
pub trait RouteSource: Send + Sync {
    /// Reads the present table, or with a position waits for one that came after it.
    fn next(
        &self,
        after: Option<u64>,
        wait: Duration,
    ) -> BoxFuture<'_, Result<RouteUpdate, PlatformError>>;
}

/// A source for daemons that take their configuration from operators.
pub struct NoRouteSource;

impl RouteSource for NoRouteSource {
    fn next(
        &self,
        _: Option<u64>,
        _: Duration,
    ) -> BoxFuture<'_, Result<RouteUpdate, PlatformError>> {
        Box::pin(async { Err(PlatformError::NotExecuted) })
    }
}

/// What the route table says of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Resolution {
    /// A route matched.
    Matched {
        /// The route.
        route: RouteName,
        /// The service that takes the request.
        service: ServiceName,
        /// What holds for the request.
        terms: RouteTerms,
    },
    /// No route matched.
    NoRoute,
    /// No table is known yet.
    NoTable,
}
