//! The records of a run of limiters, and the invariants that hold for every run.
//!
//! A record is a fact with its time, as an observer outside the limiters sees it: [`record`]. [`checker`] walks over
//! the records of a run and names each violated [`invariant`]; [`timeline`] renders them for people. The crate knows
//! neither the simulation nor the fakes on loopback, which both produce records.

pub mod checker;
pub mod invariant;
pub mod process;
pub mod record;
pub mod timeline;

pub use checker::check;
pub use invariant::{ClassLimits, Invariant, InvariantLimits, Violation};
pub use process::{HostIndex, PartnerIndex, Process, Processes};
pub use record::{Answer, Fact, Record};
