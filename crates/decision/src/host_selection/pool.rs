//! Upkeep of the known hosts: host lists, attempts in flight.

use super::capacity::{initial_host_limit, initial_pool_limit};
use super::{ClassLatency, Host, HostAttempt, HostPool, Location};
use crate::api::*;
use crate::units::SECOND;
use std::sync::Arc;

impl HostPool {
    pub(crate) fn new(settings: Arc<Settings>, now: Nanos) -> Self {
        HostPool {
            now,
            class_latency: vec![ClassLatency::default(); settings.classes.len()],
            admission_ratio: 1.0,
            lateness_at: now,
            concurrency_limit: initial_pool_limit(&settings),
            settings,
            ..HostPool::default()
        }
    }

    /// Applies a host list, or retries the subscription when there is none.
    pub(crate) fn update_hosts(
        &mut self,
        mode: ListMode,
        entries: Vec<HostEntry>,
        actions: &mut Actions,
    ) {
        if mode == ListMode::Unavailable && self.settings.discovery.is_polled {
            actions.push(Action::SetTimer {
                timer: Timer::WatchHosts,
                after: SECOND,
            });
        }
        if matches!(mode, ListMode::Replace | ListMode::Restored) {
            for host in self.hosts.values_mut() {
                host.entry.state = HostState::Gone;
            }
        }
        for entry in entries {
            self.update_host(entry);
        }
    }

    fn update_host(&mut self, entry: HostEntry) {
        let concurrency_limit = initial_host_limit(&self.settings);
        let new = Host {
            slowness: 1.0,
            measured_at: self.now,
            concurrency_limit,
            ..Host::default()
        };
        let host = self.hosts.entry(entry.host).or_insert(Host {
            entry: entry.clone(),
            ..new.clone()
        });
        if entry.started != host.entry.started {
            // A new process: measurements of the old one are void, but its attempts are still in flight.
            *host = Host {
                in_flight: std::mem::take(&mut host.in_flight),
                ..new
            };
        }
        host.entry = entry;
    }

    /// Records an attempt that is sent now. Returns the host's location.
    pub(crate) fn record_dispatch(&mut self, request: RequestId, host: HostId) -> Option<Location> {
        let host = self.hosts.get_mut(&host)?;
        self.in_flight += 1;
        host.in_flight.insert(HostAttempt {
            sent_at: self.now,
            request,
        });
        Some(Location {
            cell: host.entry.cell,
            zone: host.entry.zone,
        })
    }

    /// Removes hosts that are gone and have no attempt in flight. Kept, they would accumulate as hosts are
    /// replaced.
    pub(crate) fn remove_unused(&mut self) {
        self.hosts
            .retain(|_, host| host.entry.state != HostState::Gone || !host.in_flight.is_empty());
    }

    pub(crate) fn has_ready_host(&self) -> bool {
        self.hosts.values().any(Host::is_ready)
    }

    /// Whether a host that is ready has no attempt of this limiter.
    pub(crate) fn has_idle_host(&self) -> bool {
        self.hosts
            .values()
            .any(|host| host.is_ready() && host.in_flight.is_empty())
    }
}
