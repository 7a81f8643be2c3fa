//! Host selection: what answers show of hosts, and which host an attempt goes to. Knows neither quota nor
//! requests.

mod capacity;
mod host;
mod latency;
mod pool;
mod selection;
mod slow_start;

pub(crate) use capacity::MIN_ADMISSION_RATIO;
pub(crate) use host::*;
