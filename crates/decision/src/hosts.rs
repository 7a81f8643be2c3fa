//! Known hosts, their measurements, and the selection of a host for each attempt. Independent of quotas, and
//! of requests beyond their ids.

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
