//! What on-call staff order of a limiter, decided without sockets, files or a clock.
//!
//! The requests of the admin interface, the hosts in maintenance, draining, the indices of classes over reloads, and what
//! two processes of one limiter tell each other. Times are Unix time in nanoseconds, so that two processes on one machine
//! agree on them.

mod class_indices;
mod drain;
mod handoff;
mod maintenance;
mod request;
mod shared_state;
mod stored;

pub use class_indices::{AcceptedIndices, ClassIndices};
pub use drain::{DrainController, DrainOrder, DrainTimes, Phase, PhaseStatus};
pub use handoff::Handoff;
pub use maintenance::{MaintenanceOrder, MaintenanceRegistry, UnknownHost};
pub use request::{parse_request, AdminRequest, RequestError};
pub use shared_state::SharedState;
pub use stored::{LimiterIdentity, StoredError, FORMAT_VERSION};
