//! The decisions of one limiter, without I/O and without a clock: the engine takes [`api::Event`]s with their
//! times and returns [`api::Action`]s. `lifecycle` follows each request and calls `quota` and
//! `host_selection`, which know neither it nor each other. `docs/design.md` gives the reasons and the
//! conditions of each exception.

pub mod api;
mod host_selection;
mod lifecycle;
mod quota;
mod snapshot;
mod status;
mod units;

pub use lifecycle::DecisionEngine;
pub use snapshot::{
    AdmissionSnapshot, ClassSnapshot, ConfirmedSnapshot, CounterCallsSnapshot, CustomerSnapshot,
    EngineSnapshot, HostSnapshot, OwnAddsSnapshot, SlownessSnapshot, TimedUnits, TotalsSnapshot,
    ZoneSnapshot,
};
pub use status::EngineStatus;
