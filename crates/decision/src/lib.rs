//! The decisions of one gateway, without I/O and without a clock: it is told [`api::Event`]s with their times and
//! orders [`api::Action`]s. Three files hold its three matters, `quota`, `lifecycle` and `host_selection`; `docs/design.md` gives
//! their reasons and the conditions under which each exception acts.

pub mod api;
mod host_selection;
mod lifecycle;
mod quota;
mod snapshot;
mod status;
mod terms;

pub use lifecycle::DecisionEngine;
pub use snapshot::{CustomerSnapshot, EngineSnapshot, HostSnapshot};
pub use status::EngineStatus;
