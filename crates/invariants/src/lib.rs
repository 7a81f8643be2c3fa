//! The records of a run of limiters, and the invariants that hold for every run.
//!
//! A [`record`] is a timestamped fact, as observed from outside the limiters. [`checker`] makes one pass over the
//! records of a run and reports each violated [`invariant`]; [`timeline`] renders them as text. The crate depends
//! neither on the simulation nor on the loopback fakes, which both produce records.

pub mod checker;
pub mod invariant;
pub mod process;
pub mod record;
pub mod timeline;

pub use checker::check;
pub use invariant::{ClassLimits, Invariant, InvariantLimits, Violation};
pub use process::{HostIndex, PartnerIndex, Process, Processes};
pub use record::{Answer, Fact, Record};
