//! Access to the size of the list, for tests of the client.

use super::*;

/// How many hosts the list remembers.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct HostCounts {
    /// Names that have an id.
    pub(crate) names: usize,
    /// Ids in use.
    pub(crate) ids: usize,
    /// Hosts on the list.
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
