//! The decisions of one limiter, without I/O and without a clock.
//!
//! The [`DecisionEngine`] takes [`api::Event`]s with their times and returns [`api::Action`]s. It owns the
//! time and the settings and routes events to `lifecycle`, which follows each request from its arrival to its
//! final answer. `lifecycle` calls three parts that know neither it nor each other: `admission` sheds load,
//! `quota` keeps each customer's count, `hosts` selects the host of an attempt. `primitives` holds mechanisms
//! that know neither requests nor hosts.
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
