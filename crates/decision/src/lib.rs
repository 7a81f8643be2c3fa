//! Decision logic of one limiter, free of I/O and of clock reads.
//!
//! The [`DecisionEngine`] takes timestamped [`api::Event`]s and returns [`api::Action`]s. It owns the current
//! time and the settings, and routes events to `lifecycle`, which tracks each request from its arrival to its
//! final answer. `lifecycle` calls three modules that depend neither on it nor on each other: `admission`
//! sheds load, `quota` keeps each customer's count, and `hosts` selects the host of an attempt. `primitives`
//! holds general mechanisms that depend on neither requests nor hosts.
//!
//! `docs/design.md` gives the reasons and the conditions of each exception.

mod admission;
pub mod api;
mod context;
mod engine;
mod hosts;
mod lifecycle;
mod objective;
mod primitives;
mod quota;
mod snapshot;
mod status;
mod time;

pub use engine::DecisionEngine;
pub use snapshot::{
    AdmissionSnapshot, ClassSnapshot, ConfirmedSnapshot, CounterCallsSnapshot, CustomerSnapshot,
    EngineSnapshot, HostSnapshot, LatencyScoreSnapshot, OwnAddsSnapshot, TimedUnits,
    TotalsSnapshot, ZoneSnapshot,
};
pub use status::EngineStatus;
