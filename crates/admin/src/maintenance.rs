//! Hosts that operators have taken out of service.
//!
//! An operator's order overrides discovery: a host in maintenance that discovery lists as ready is passed on as
//! draining until it is enabled again. Of two processes' orders for one host the later one holds.

use quartzcleat_decision::api::{HostEntry, HostState, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Maximum number of host names that are recorded as listed, past which the oldest one is dropped.
const MAX_LISTED_NAMES: usize = 16_384;

/// An operator's order for one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceOrder {
    /// Whether the host is in maintenance.
    #[serde(rename = "out")]
    pub is_disabled: bool,
    /// Time at which the host was last disabled, in nanoseconds of Unix time.
    #[serde(rename = "began")]
    pub disabled_at: Nanos,
    /// Time of the order, in nanoseconds of Unix time.
    #[serde(rename = "at")]
    pub ordered_at: Nanos,
}

/// Whether an order changed whether its host is in maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// The maintenance of the host began or ended.
    Changed,
    /// The host was already in the ordered state.
    Unchanged,
}

/// Error for an order that names a host that was never listed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no host of this name was ever listed")]
pub struct UnknownHost;

/// Hosts that discovery has listed so far, and the latest order for each.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceRegistry {
    /// Names of the hosts listed so far.
    listed: BTreeSet<String>,
    /// Names in `listed`, oldest first.
    listed_in_order: VecDeque<String>,
    orders: BTreeMap<String, MaintenanceOrder>,
    /// Number that grows with every change.
    revision: u64,
}

impl MaintenanceRegistry {
    /// Records that a host was listed.
    pub fn record_listed(&mut self, name: &str) {
        if self.listed.contains(name) {
            return;
        }
        self.revision += 1;
        self.listed.insert(name.to_owned());
        self.listed_in_order.push_back(name.to_owned());
        if self.listed_in_order.len() > MAX_LISTED_NAMES {
            let oldest = self.listed_in_order.pop_front().unwrap_or_default();
            self.listed.remove(&oldest);
        }
    }

    /// Whether a host is known: it was listed at some time, or there is an order for it.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.listed.contains(name) || self.orders.contains_key(name)
    }

    /// Takes a host out of service.
    ///
    /// # Errors
    /// Returns an error if the host is not known.
    pub fn disable(&mut self, name: &str, now: Nanos) -> Result<MaintenanceChange, UnknownHost> {
        if !self.contains(name) {
            return Err(UnknownHost);
        }
        if self.is_disabled(name) {
            return Ok(MaintenanceChange::Unchanged);
        }
        let last_order = self.orders.get(name);
        let ordered_at = last_order.map_or(now, |order| now.max(order.ordered_at + 1));
        let order = MaintenanceOrder {
            is_disabled: true,
            disabled_at: ordered_at,
            ordered_at,
        };
        self.orders.insert(name.to_owned(), order);
        self.revision += 1;
        Ok(MaintenanceChange::Changed)
    }

    /// Puts a host back into service. One call undoes any number of calls to [`disable`](Self::disable).
    ///
    /// # Errors
    /// Returns an error if the host is not known.
    pub fn enable(&mut self, name: &str, now: Nanos) -> Result<MaintenanceChange, UnknownHost> {
        match self.orders.get_mut(name) {
            Some(order) if order.is_disabled => {
                order.is_disabled = false;
                order.ordered_at = now.max(order.ordered_at + 1);
                self.revision += 1;
                Ok(MaintenanceChange::Changed)
            }
            Some(_) => Ok(MaintenanceChange::Unchanged),
            None if self.listed.contains(name) => Ok(MaintenanceChange::Unchanged),
            None => Err(UnknownHost),
        }
    }

    /// Whether a host is in maintenance.
    #[must_use]
    pub fn is_disabled(&self, name: &str) -> bool {
        self.orders.get(name).is_some_and(|order| order.is_disabled)
    }

    /// Returns a host's entry in the endpoint list with the order for the host applied.
    ///
    /// A host may have been restarted during its maintenance, and so be cold, before discovery lists its new start.
    /// Until then it counts as started when it was enabled.
    #[must_use]
    pub fn apply(&self, name: &str, entry: &HostEntry) -> HostEntry {
        let mut entry = entry.clone();
        match self.orders.get(name) {
            Some(order) if order.is_disabled && entry.state == HostState::Ready => {
                entry.state = HostState::Draining;
            }
            Some(order) if !order.is_disabled && entry.started < order.disabled_at => {
                entry.started = order.ordered_at;
            }
            _ => {}
        }
        entry
    }

    /// Merges another process's orders, of which later ones replace the own; returns the names of the hosts whose order
    /// changed.
    pub fn merge(&mut self, orders: &BTreeMap<String, MaintenanceOrder>) -> Vec<String> {
        let mut changed = Vec::new();
        for (name, order) in orders {
            let own = self.orders.get(name);
            if own.is_none_or(|own| own.ordered_at < order.ordered_at) {
                self.orders.insert(name.clone(), *order);
                self.revision += 1;
                changed.push(name.clone());
            }
        }
        changed
    }

    /// Returns a number that grows with every change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the latest order for each host, by host name.
    #[must_use]
    pub fn orders(&self) -> &BTreeMap<String, MaintenanceOrder> {
        &self.orders
    }

    /// Returns the names of the hosts listed so far, oldest first.
    pub fn listed_names(&self) -> impl Iterator<Item = &String> {
        self.listed_in_order.iter()
    }
}
