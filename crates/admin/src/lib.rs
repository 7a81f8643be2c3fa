//! Operator orders to a limiter, handled without sockets, files or a clock.
//!
//! Covers the requests of the admin interface, hosts in maintenance, draining, the indices of classes and plans across
//! reloads, and the messages between two processes of one limiter. Times are Unix time in nanoseconds, so that two
//! processes on one machine agree on them.

mod class_indices;
mod drain;
mod handoff;
mod maintenance;
mod request;
mod shared_state;
mod stored;

pub use class_indices::{AcceptedIndices, ClassIndices};
pub use drain::{
    DrainController, DrainOrder, DrainTimes, MergeOutcome, OrderTime, Phase, PhaseStatus, Successor,
};
pub use handoff::Handoff;
pub use maintenance::{MaintenanceChange, MaintenanceOrder, MaintenanceRegistry, UnknownHost};
pub use request::{parse_request, AdminRequest, RequestError};
pub use shared_state::SharedState;
pub use stored::{LimiterIdentity, StoredError, FORMAT_VERSION};
