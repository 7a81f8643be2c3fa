//! Expectations: what operators expect of routing, quotas and retries, written as YAML beside the configuration and
//! checked without traffic, by playing the real decision module through every small world that they allow.
//!
//! [`mod@file`] reads them, [`mod@compile`] sets them in the terms of a day, [`explore`] plays, [`must`] judges, [`blame`]
//! finds the lines of configuration behind a verdict, [`report`] tells. Knows no sockets.

pub mod blame;
pub mod compile;
mod demands;
pub mod explore;
pub mod file;
mod given;
mod installation;
pub mod must;
pub mod report;
pub mod run;
mod steps;
mod vary;

pub use compile::{compile, Compiled};
pub use explore::{Budget, Explored};
pub use file::{Expectation, Suite};
pub use run::{run, Options, Outcome, Result, Verdict};
