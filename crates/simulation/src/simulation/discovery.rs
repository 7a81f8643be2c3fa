//! Discovery: its list of hosts, and the notifications of the limiters.

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
    pub(super) version: u64,
    /// Whether it notifies limiters at present.
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
    /// Lists the hosts that are there at the start.
    pub(super) fn list_present_hosts(&mut self) {
        self.discovery.entries = (0..self.hosts.len())
            .map(HostIndex)
            .filter(|host| !self.scenario.hosts[host.0].absent)
            .map(|host| self.host_entry(host))
            .collect();
    }

    fn host_entry(&self, host: HostIndex) -> HostEntry {
        let process = &self.scenario.processes.hosts[host.0];
        let present = &self.hosts[host.0];
        let state = match (present.status, present.draining) {
            (HostStatus::Dead, _) => HostState::Gone,
            (_, true) => HostState::Draining,
            // Discovery hears nothing of a machine that has become unreachable.
            _ => HostState::Ready,
        };
        HostEntry {
            host: HostId(host.0 as u32),
            state,
            cell: process.cell,
            zone: process.zone,
            kind: 0,
            started: present.started,
            weight: self.scenario.hosts[host.0].weight,
        }
    }

    /// Discovery learns of a host's change and notifies the limiters.
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

    /// Discovery stops to notify limiters, or notifies them of its whole list and goes on.
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

    /// A limiter receives a notification.
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

    /// Records that the hosts which a whole list leaves out are gone for a limiter.
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

/// The host of an entry; the engines of the simulation know hosts by their positions.
fn host_index(entry: &HostEntry) -> HostIndex {
    HostIndex(entry.host.0 as usize)
}
