//! The state of the fake services, independent of their protocols and of the harness.

mod counter;
mod discovery;
mod host;

pub(crate) use counter::FakeCounter;
pub(crate) use discovery::{EndpointChanges, FakeDiscovery};
pub(crate) use host::{Endpoint, FakeHost};
