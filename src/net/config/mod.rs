//! The configuration of one process: read from the environment and a JSON file, checked, and completed with defaults.

mod environment;
mod error;
mod limits;
mod parse;
mod platform_settings;
#[cfg(test)]
mod tests;

pub use environment::{from_environment, reload_from_environment};
pub use error::ConfigError;
pub use limits::{
    AdminLimits, CodecLimits, CounterLimits, DiscoveryLimits, DownstreamLimits, HotRestartLimits,
    Limits, RequestLimits, ShutdownLimits, StreamingLimits, UpstreamLimits,
};
pub use parse::{parse, parse_replacement};

use crate::api::Settings;
use quartzcleat_config::lease::LeaseConfig;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Addresses of the services that a limiter calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter; `None` if the limiter calls none.
    pub counter: Option<SocketAddr>,
}

/// Complete, validated configuration of one process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the limiter, which stays the same across restarts.
    pub name: String,
    /// Address on which clients are accepted.
    pub listen: SocketAddr,
    /// Address of the admin interface; `None` if there is no admin interface.
    pub admin: Option<SocketAddr>,
    /// Addresses of discovery and the counter.
    pub addresses: Addresses,
    /// Seed of the random number generators; taken from the clock if the file has none.
    pub seed: u64,
    /// Endpoint list that this limiter last had, in discovery's format; null if the file has none.
    pub known_hosts: Value,
    /// Settings of the decision engine.
    pub settings: Settings,
    /// Zone names, by zone index.
    pub zone_names: Vec<String>,
    /// Names of the machine kinds, by index.
    pub machine_kind_names: Vec<String>,
    /// Sizes, counts and times that bound the process's work.
    pub limits: Limits,
    /// Content of the file as it was read, without the endpoint list.
    pub file: Value,
    /// Interval at which the metrics are logged, from the product's own file; `None` if they are not logged.
    pub metrics_interval: Option<Duration>,
    /// Leases for fleet-wide tasks, from the product's own file; `None` if there are none.
    pub lease: Option<LeaseConfig>,
}
