//! The networked limiter: socket I/O around the decision engine.
//!
//! A request passes through the [`stages`] in order: accept, admit, route, dispatch, attempt, complete. [`resp`]
//! implements RESP2 for clients (downstream) and hosts (upstream); [`counter`] and [`discovery`] are the clients of the
//! two services of these names.

pub mod admin;
pub mod config;
pub mod counter;
pub mod discovery;
pub mod engine;
pub mod frontend;
pub mod hot_restart;
pub mod leases;
pub mod limiter;
pub mod memory;
pub mod metrics;
pub mod metrics_log;
pub mod peers;
pub mod reload;
pub mod resp;
pub mod shutdown;
pub mod signals;
pub mod stages;
mod start_error;
pub mod streaming_body;
pub mod system_call;
pub mod task;
pub mod unix_time;
pub mod usage_export;

#[cfg(test)]
pub(crate) use limiter::tests;
pub use limiter::{serve, Limiter};
pub use start_error::StartError;
