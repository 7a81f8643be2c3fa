//! A quota-keeping request limiter: the decisions, sans I/O (see [`choice::Gateway`] and, for its types,
//! [`api`]), and the program round them ([`net`]).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod choice;
pub mod net;
pub mod wire;

/// The examples of the README, compiled and run with the tests.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
