//! Access to the size of the endpoint list for the tests of the client.

use super::*;

/// Numbers of hosts that the endpoint list holds in memory.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct HostCounts {
    /// Host names with an id.
    pub(crate) names: usize,
    /// Host ids in use.
    pub(crate) ids: usize,
    /// Hosts on the current list.
    pub(crate) listed: usize,
}

impl EndpointList {
    pub(crate) fn host_counts(&self) -> HostCounts {
        HostCounts {
            names: self.names.host_name_count(),
            ids: self.names.host_id_count(),
            listed: self.endpoints.len(),
        }
    }
}
