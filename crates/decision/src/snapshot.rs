//! Snapshots, which pass the measurements of a decision engine to the limiter that succeeds it.
//!
//! A snapshot contains no requests, attempts or tokens that may be granted only once; these stay with the
//! engine that holds them. Each part of the engine writes and reads its own section, and the engine combines
//! them.

mod array_form;
mod bounds;
mod data;

pub(crate) use bounds::{valid_or, valid_units, MAX_UNITS};
pub use data::{
    AdmissionSnapshot, ClassSnapshot, ConfirmedSnapshot, CounterCallsSnapshot, CustomerSnapshot,
    EngineSnapshot, HostSnapshot, LatencyScoreSnapshot, OwnAddsSnapshot, TimedUnits,
    TotalsSnapshot, ZoneSnapshot,
};
