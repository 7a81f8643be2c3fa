//! Snapshots: measurements of a decision engine for the limiter that succeeds it. Requests, attempts and
//! tokens that may be granted only once stay with the engine that has them.

mod array_form;
mod data;
mod restore;
mod take;

pub use data::*;

use crate::api::{Class, CustomerId, HostId, Nanos, ZoneId};
use crate::host_selection::{ClassLatency, Host, ZoneSlowness};
use crate::lifecycle::DecisionEngine;
