//! Tests of host ids.

use super::*;

impl EndpointNames {
    pub(crate) fn host_name_count(&self) -> usize {
        self.hosts.ids.len()
    }

    pub(crate) fn host_id_count(&self) -> usize {
        self.hosts.in_use.len()
    }
}

/// A name has the same id at every limiter, and two names never share an id.
#[test]
fn host_ids_are_stable_and_unique() {
    let mut one = HostIds::default();
    let mut two = HostIds::default();
    assert_eq!(one.id("s-5be2a07c"), two.id("s-5be2a07c"));
    let taken = two.id("s-1");
    let mut three = HostIds::default();
    three.in_use.insert(taken);
    assert_eq!(three.id("s-1"), HostId(taken.0.wrapping_add(1)));
    assert_eq!(three.id("s-1"), HostId(taken.0.wrapping_add(1)));
}
