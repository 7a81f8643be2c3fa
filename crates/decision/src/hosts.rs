//! Hosts: the known hosts with their measurements, and the host that an attempt goes to. Knows neither quotas
//! nor requests beyond their ids.

mod class_latency;
mod host;
mod latency;
mod limits;
mod pool;
mod selection;
mod slow_start;
mod snapshot;

pub(crate) use host::{AttemptResult, HostRequirements, Location, SentAttempt};
pub(crate) use pool::HostPool;
