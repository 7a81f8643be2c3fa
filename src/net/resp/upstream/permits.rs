//! Counting of the connections to hosts.

use crate::api::HostId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A permit for a connection that is open or being opened. The connection counts until the permit is dropped.
pub struct ConnectionPermit {
    counts: [Rc<Cell<usize>>; 2],
}

impl ConnectionPermit {
    fn new(counts: [Rc<Cell<usize>>; 2]) -> Self {
        for count in &counts {
            count.set(count.get() + 1);
        }
        ConnectionPermit { counts }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        for count in &self.counts {
            count.set(count.get() - 1);
        }
    }
}

/// The numbers of connections that are open or being opened, in total and by host.
#[derive(Default)]
pub(super) struct ConnectionCounts {
    total: Rc<Cell<usize>>,
    by_host: RefCell<BTreeMap<HostId, Rc<Cell<usize>>>>,
}

impl ConnectionCounts {
    /// Returns the number of connections to all hosts.
    pub(super) fn total(&self) -> usize {
        self.total.get()
    }

    /// Returns the number of connections by host, without the hosts that have none.
    pub(super) fn by_host(&self) -> BTreeMap<HostId, usize> {
        self.by_host
            .borrow()
            .iter()
            .filter(|(_, count)| count.get() > 0)
            .map(|(id, count)| (*id, count.get()))
            .collect()
    }

    /// Counts one more connection to a host, until the permit is dropped.
    pub(super) fn acquire(&self, id: HostId) -> ConnectionPermit {
        let by_host = self.by_host.borrow_mut().entry(id).or_default().clone();
        ConnectionPermit::new([self.total.clone(), by_host])
    }

    /// Removes the counts of hosts without connections, except those for which `is_retained` returns `true`.
    pub(super) fn forget_unused(&self, is_retained: impl Fn(HostId) -> bool) {
        self.by_host
            .borrow_mut()
            .retain(|id, count| count.get() > 0 || is_retained(*id));
    }
}
