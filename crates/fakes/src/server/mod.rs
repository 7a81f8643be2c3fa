//! The servers of the fakes: protocols in front of the shared state.

pub(crate) mod counter;
pub(crate) mod discovery;
pub(crate) mod host;
mod host_attempt;
