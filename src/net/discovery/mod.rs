//! Client of the discovery service: follows the endpoint list without missing a change, and passes each change on to
//! the decision engine and to the pool of connections to hosts.

pub mod backoff;
mod client;
mod connection;
mod endpoint_list;
mod endpoint_names;
pub mod http;
mod received_list;
mod watch;

#[cfg(test)]
mod race_tests;
#[cfg(test)]
pub(crate) mod tests;

pub use backoff::Backoff;
pub use client::DiscoveryClient;
pub use endpoint_list::{EndpointList, ListSource};
pub use received_list::ListError;
pub use watch::{check, follow};
