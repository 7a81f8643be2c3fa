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

/// The addresses of the services that a limiter calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The counter, if there is one.
    pub counter: Option<SocketAddr>,
}

/// The configuration of one process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The limiter's name, which stays the same over restarts.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the admin interface; without it there is none.
    pub admin: Option<SocketAddr>,
    /// The addresses of the services.
    pub addresses: Addresses,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The endpoint list that this limiter last had, in discovery's form; null if the file has none.
    pub known_hosts: Value,
    /// The settings of the decision engine.
    pub settings: Settings,
    /// The names of the zones, by their indices.
    pub zone_names: Vec<String>,
    /// The names of the machine kinds, by their indices.
    pub machine_kind_names: Vec<String>,
    /// The sizes, counts and times that the process keeps to.
    pub limits: Limits,
    /// The file as it was read, without the endpoint list.
    pub file: Value,
    /// How often the metrics are logged, from the product's own file; never if absent.
    pub metrics_interval: Option<Duration>,
    /// Leases for fleet-wide tasks, from the product's own file; none if absent.
    pub lease: Option<LeaseConfig>,
}
