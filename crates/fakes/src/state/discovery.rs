//! The endpoint list of discovery and its versions.

use quartzcleat_invariants::HostIndex;
use tokio::sync::watch;

/// The version of the endpoint list before any change.
const FIRST_GENERATION: u64 = 1;

/// The state of the fake discovery service.
pub(crate) struct FakeDiscovery {
    /// The host of each change, oldest first. The change at index `i` has version `FIRST_GENERATION + i + 1`.
    changes: Vec<HostIndex>,
    /// The latest version that limiters may see.
    published: watch::Sender<u64>,
    listed: Vec<HostIndex>,
    answering: watch::Sender<bool>,
}

/// Receivers for a call that waits for a change of the endpoint list.
pub(crate) struct EndpointChanges {
    pub(crate) published: watch::Receiver<u64>,
    pub(crate) answering: watch::Receiver<bool>,
}

impl FakeDiscovery {
    pub(crate) fn new() -> Self {
        FakeDiscovery {
            changes: Vec::new(),
            published: watch::Sender::new(FIRST_GENERATION),
            listed: Vec::new(),
            answering: watch::Sender::new(true),
        }
    }

    /// Adds a host to the list before any change.
    pub(crate) fn list_initially(&mut self, host: HostIndex) {
        self.listed.push(host);
    }

    /// Returns the listed hosts, including those whose change is not published yet.
    pub(crate) fn listed(&self) -> Vec<HostIndex> {
        self.listed.clone()
    }

    /// Returns the latest published version.
    pub(crate) fn generation(&self) -> u64 {
        *self.published.borrow()
    }

    /// Adds a change of a host that stays listed, or is listed from now on. Returns the version of the change.
    pub(crate) fn update(&mut self, host: HostIndex) -> u64 {
        self.listed.retain(|listed| *listed != host);
        self.listed.push(host);
        self.add_change(host)
    }

    /// Adds a change that removes a host. Returns the version of the change.
    pub(crate) fn remove(&mut self, host: HostIndex) -> u64 {
        self.listed.retain(|listed| *listed != host);
        self.add_change(host)
    }

    fn add_change(&mut self, host: HostIndex) -> u64 {
        self.changes.push(host);
        self.changes.len() as u64 + FIRST_GENERATION
    }

    /// Makes all changes up to a version visible to limiters.
    pub(crate) fn publish(&mut self, version: u64) {
        self.published
            .send_modify(|published| *published = version.max(*published));
    }

    /// Sets whether discovery answers calls. While it does not, calls wait.
    pub(crate) fn set_answering(&mut self, answering: bool) {
        self.answering.send_replace(answering);
    }

    /// Subscribes to published versions and to whether discovery answers.
    pub(crate) fn subscribe(&self) -> EndpointChanges {
        EndpointChanges {
            published: self.published.subscribe(),
            answering: self.answering.subscribe(),
        }
    }

    /// Returns the hosts that changed after version `from` and up to version `to`, without duplicates.
    pub(crate) fn changed_between(&self, from: u64, to: u64) -> Vec<HostIndex> {
        let first = (from.max(FIRST_GENERATION) - FIRST_GENERATION) as usize;
        let end = (to.max(FIRST_GENERATION) - FIRST_GENERATION) as usize;
        let range = first..end.min(self.changes.len());
        let mut hosts = self.changes.get(range).unwrap_or_default().to_vec();
        hosts.sort_unstable();
        hosts.dedup();
        hosts
    }
}
