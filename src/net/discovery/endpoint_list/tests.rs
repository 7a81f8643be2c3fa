//! Access to the size of the list, for tests of the client.

use super::*;

impl EndpointList {
    /// How many names of hosts have ids, how many ids are in use, and how many hosts are listed.
    pub(crate) fn counts(&self) -> (usize, usize, usize) {
        let (named, in_use) = self.names.host_counts();
        (named, in_use, self.endpoints.len())
    }
}
