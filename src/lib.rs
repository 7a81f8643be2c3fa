//! A quota-keeping request limiter: the sans-I/O decision engine ([`decision::DecisionEngine`], with its types in
//! [`api`]) and the program that runs it ([`net`]).

/// The sans-I/O decision engine.
pub use quartzcleat_decision as decision;
pub use quartzcleat_decision::api;

pub mod cli;
pub mod logging;
pub mod net;
pub mod simulator;

/// Compiles and runs the code examples of the README as doctests.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
