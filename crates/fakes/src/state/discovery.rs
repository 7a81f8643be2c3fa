//! The endpoint list of discovery and its versions.

use quartzcleat_invariants::HostIndex;
use tokio::sync::watch;

/// The version of the endpoint list before any change.
const FIRST_GENERATION: u64 = 1;

/// The state of the fake discovery service.
pub(crate) struct FakeDiscovery {
    /// The host of each change, in their order.
    changes: Vec<HostIndex>,
    /// The newest version that limiters may see.
    published: watch::Sender<u64>,
    listed: Vec<HostIndex>,
    answering: watch::Sender<bool>,
}

/// Receivers for a call that waits for the endpoint list.
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

    /// Lists a host from the start.
    pub(crate) fn list_initially(&mut self, host: HostIndex) {
        self.listed.push(host);
    }

    /// The hosts that are listed.
    pub(crate) fn listed(&self) -> Vec<HostIndex> {
        self.listed.clone()
    }

    /// The newest published version.
    pub(crate) fn generation(&self) -> u64 {
        *self.published.borrow()
    }

    /// Adds a change of a host that is still listed; returns its version.
    pub(crate) fn update(&mut self, host: HostIndex) -> u64 {
        self.listed.retain(|listed| *listed != host);
        self.listed.push(host);
        self.add_change(host)
    }

    /// Adds a change that removes a host; returns its version.
    pub(crate) fn remove(&mut self, host: HostIndex) -> u64 {
        self.listed.retain(|listed| *listed != host);
        self.add_change(host)
    }

    fn add_change(&mut self, host: HostIndex) -> u64 {
        self.changes.push(host);
        self.changes.len() as u64 + FIRST_GENERATION
    }

    /// Lets limiters see all changes up to a version.
    pub(crate) fn publish(&mut self, version: u64) {
        self.published
            .send_modify(|published| *published = version.max(*published));
    }

    /// Holds back all answers, or gives them again.
    pub(crate) fn set_answering(&mut self, answering: bool) {
        self.answering.send_replace(answering);
    }

    /// Subscribes to new versions and to silence.
    pub(crate) fn subscribe(&self) -> EndpointChanges {
        EndpointChanges {
            published: self.published.subscribe(),
            answering: self.answering.subscribe(),
        }
    }

    /// The hosts that changed after version `from` and up to version `to`, each once.
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
