//! Snapshots: measurements of a decision engine for the limiter that succeeds it. Requests, attempts and
//! tokens that may be granted only once stay with the engine that has them. Each part writes and reads its own
//! section; the engine joins them.

mod array_form;
mod bounds;
mod data;

pub(crate) use bounds::{valid_or, valid_units, MAX_UNITS};
pub use data::{
    AdmissionSnapshot, ClassSnapshot, ConfirmedSnapshot, CounterCallsSnapshot, CustomerSnapshot,
    EngineSnapshot, HostSnapshot, LatencyScoreSnapshot, OwnAddsSnapshot, TimedUnits,
    TotalsSnapshot, ZoneSnapshot,
};
