//! Discovery: its list of hosts, and the notifications that it sends to limiters.

use super::{Simulation, Stopped};
use crate::event_queue::{Event, LimiterIncarnation};
use crate::host::HostStatus;
use crate::oracle::ChoicePoint;
use quartzcleat_decision::api::{self, HostEntry, HostId, HostState, LimiterIndex, ListMode};
use quartzcleat_invariants::{Fact, HostIndex};

/// The state of discovery.
#[derive(Debug)]
pub(super) struct Discovery {
    /// The hosts that are not gone.
    pub(super) entries: Vec<HostEntry>,
    /// Version of the list, incremented with each change.
    pub(super) version: u64,
    /// Whether discovery currently notifies limiters.
    is_notifying: bool,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            entries: Vec::new(),
            version: 1,
            is_notifying: true,
        }
    }
}

impl Simulation<'_> {
    /// Fills the list with the hosts that are present at the start of the run.
    pub(super) fn list_present_hosts(&mut self) {
        self.discovery.entries = (0..self.hosts.len())
            .map(HostIndex)
            .filter(|host| !self.scenario.hosts[host.0].absent)
            .map(|host| self.host_entry(host))
            .collect();
    }

    fn host_entry(&self, host: HostIndex) -> HostEntry {
        let process = &self.scenario.processes.hosts[host.0];
        let current = &self.hosts[host.0];
        let state = match (current.status, current.draining) {
            (HostStatus::Dead, _) => HostState::Gone,
            (_, true) => HostState::Draining,
            // Discovery does not detect that a machine has become unreachable.
            _ => HostState::Ready,
        };
        HostEntry {
            host: HostId(host.0 as u32),
            state,
            cell: process.cell,
            zone: process.zone,
            kind: 0,
            started: current.started,
            weight: self.scenario.hosts[host.0].weight,
        }
    }

    /// Updates the entry of a host in discovery's list and notifies the limiters of the change.
    pub(super) fn update_host(&mut self, host: HostIndex) -> Result<(), Stopped> {
        let entry = self.host_entry(host);
        let entries = &mut self.discovery.entries;
        entries.retain(|listed| listed.host != entry.host);
        if entry.state != HostState::Gone {
            entries.push(entry.clone());
        }
        self.discovery.version += 1;
        if self.discovery.is_notifying {
            self.notify_all(ListMode::Update, &[entry])?;
        }
        Ok(())
    }

    /// Stops notifying limiters, or sends them the whole list and resumes notifications.
    pub(super) fn set_discovery(&mut self, is_notifying: bool) -> Result<(), Stopped> {
        self.discovery.is_notifying = is_notifying;
        if is_notifying {
            let entries = self.discovery.entries.clone();
            self.notify_all(ListMode::Replace, &entries)?;
        }
        Ok(())
    }

    fn notify_all(&mut self, mode: ListMode, entries: &[HostEntry]) -> Result<(), Stopped> {
        for limiter in self.scenario.processes.limiter_indices() {
            let delays = &self.scenario.discovery_delays;
            let choice = self.choose(ChoicePoint::DiscoveryDelay, delays.len())?;
            let delay = delays.get(choice).copied().unwrap_or(0);
            let notification = Event::HostsNotified {
                limiter: self.incarnation(limiter),
                mode,
                entries: entries.to_vec(),
            };
            self.schedule(delay, notification);
        }
        Ok(())
    }

    /// Delivers a notification to a limiter, unless it has died or restarted since the notification was sent.
    pub(super) fn notify_limiter(
        &mut self,
        limiter: LimiterIncarnation,
        mode: ListMode,
        entries: Vec<HostEntry>,
    ) -> Result<(), Stopped> {
        if !self.is_current(limiter) {
            return Ok(());
        }
        let limiter = limiter.limiter;
        if mode == ListMode::Replace {
            self.record_unlisted_hosts(limiter, &entries);
        }
        self.record_host_states(limiter, &entries);
        let hosts = api::Event::Hosts {
            version: self.discovery.version,
            mode,
            entries,
        };
        self.handle(limiter, hosts)
    }

    /// Records that a limiter regards the hosts missing from a complete list as gone.
    fn record_unlisted_hosts(&mut self, limiter: LimiterIndex, entries: &[HostEntry]) {
        for host in (0..self.hosts.len()).map(HostIndex) {
            let is_listed = entries.iter().any(|entry| host_index(entry) == host);
            if !is_listed {
                self.record(Fact::HostStateLearned {
                    limiter,
                    host,
                    state: HostState::Gone,
                });
            }
        }
    }

    pub(super) fn record_host_states(&mut self, limiter: LimiterIndex, entries: &[HostEntry]) {
        for entry in entries {
            self.record(Fact::HostStateLearned {
                limiter,
                host: host_index(entry),
                state: entry.state,
            });
        }
    }
}

/// Returns the index of an entry's host; in the simulation a [`HostId`] holds the host's index.
fn host_index(entry: &HostEntry) -> HostIndex {
    HostIndex(entry.host.0 as usize)
}
