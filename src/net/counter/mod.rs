//! The client of the counter service: a few lasting connections, on which calls are pipelined.
//!
//! All calls on one name use the same link, which reports them in their order, whichever connection each of them was
//! written to.

mod answer;
mod call_queue;
mod client;
mod connection;
mod drain;
mod link;
mod liveness;
mod receive;

#[cfg(test)]
mod tests;

pub use client::CounterClient;
pub use link::start;
