//! The state of fake services. It knows neither sockets' protocols nor the harness.

mod counter;
mod discovery;
mod host;

pub(crate) use counter::FakeCounter;
pub(crate) use discovery::{EndpointChanges, FakeDiscovery};
pub(crate) use host::{Endpoint, FakeHost};
