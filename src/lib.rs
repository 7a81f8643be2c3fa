//! A quota-keeping request limiter: the decisions, sans I/O (see [`choice::DecisionEngine`] and, for its types,
//! [`api`]), and the program round them ([`net`]).

/// The decision module, by the name that its tests know it by.
pub use quartzcleat_decision as choice;
pub use quartzcleat_decision::api;

pub mod cli;
pub mod logging;
pub mod net;
pub mod simulator;

/// The examples of the README, compiled and run with the tests.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
