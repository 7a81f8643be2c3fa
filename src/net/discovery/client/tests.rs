//! Access to the size of the endpoint list for the tests of the client.

use super::*;
use crate::net::discovery::endpoint_list::tests::HostCounts;

impl DiscoveryClient {
    pub(crate) fn host_counts(&self) -> HostCounts {
        self.endpoints.borrow().host_counts()
    }
}
