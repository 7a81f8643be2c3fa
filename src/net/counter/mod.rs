//! Client of the counter service, which pipelines calls on a few long-lived connections.
//!
//! All calls for one name use the same link. A link reports its calls in the order in which they were made, whichever
//! connection each of them was written to.

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
