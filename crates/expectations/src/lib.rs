//! Checks operators' expectations of routing, quotas and retries. Expectations are written as YAML beside the
//! configuration and checked without traffic: the real decision engine runs through every small scenario that they
//! allow.
//!
//! [`suite`] reads files, [`mod@compile`] turns an expectation into a scenario and its requirements for a deployment,
//! [`explore`] searches the runs of the scenario, [`evaluation`] judges a run, [`attribution`] finds the lines of
//! configuration that cause a verdict, [`mod@check`] combines these steps, and [`report`] renders the results. The
//! crate opens no sockets.

pub mod attribution;
pub mod check;
pub mod compile;
mod error;
pub mod evaluation;
pub mod explore;
mod history;
pub mod report;
pub mod requirement;
pub mod suite;

pub use check::{check, CheckReport, ExpectationResult, Options, SettingRange, Verdict};
pub use compile::{compile, CompiledExpectation};
pub use explore::{Budget, Exploration};
pub use suite::{Expectation, Suite};
