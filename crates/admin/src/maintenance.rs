//! Hosts that operators took out of service.
//!
//! An operator command overrides discovery: a host in maintenance is passed on as draining until it is enabled again,
//! in whichever state discovery lists it. Of two processes' orders on one host the later one holds.

use quartzcleat_decision::api::{HostEntry, HostState, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use thiserror::Error;

#[cfg(test)]
mod tests;

/// How many names of hosts that were listed are remembered; the oldest is forgotten first.
const MAX_LISTED_NAMES: usize = 16_384;

/// The latest order on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MaintenanceOrder {
    /// The host is in maintenance.
    #[serde(rename = "out")]
    pub is_disabled: bool,
    /// When it was disabled last.
    #[serde(rename = "began")]
    pub disabled_at: Nanos,
    /// When this was ordered.
    #[serde(rename = "at")]
    pub ordered_at: Nanos,
}

/// Whether an order changed the maintenance of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// The maintenance began or ended.
    Changed,
    /// The host was in that state already.
    Unchanged,
}

/// The host was never listed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no host of this name was ever listed")]
pub struct UnknownHost;

/// The hosts listed so far, and the orders on them.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceRegistry {
    listed: BTreeSet<String>,
    /// The names in `listed`, oldest first.
    listed_in_order: VecDeque<String>,
    orders: BTreeMap<String, MaintenanceOrder>,
    revision: u64,
}

impl MaintenanceRegistry {
    /// Remembers that a host was listed.
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

    /// Whether a host was listed at some time, or there is an order on it.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.listed.contains(name) || self.orders.contains_key(name)
    }

    /// Takes a host out of service.
    ///
    /// # Errors
    /// It was never listed.
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

    /// Puts a host back into service. One order ends any number of orders to disable it.
    ///
    /// # Errors
    /// It was never listed.
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

    /// A host's entry with the order on it applied.
    ///
    /// A host that was restarted during its maintenance is cold, although discovery may not have its new start yet: it
    /// counts as started when it was enabled.
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

    /// Takes in another process's orders; returns the hosts whose order changed.
    pub fn merge(&mut self, orders: &BTreeMap<String, MaintenanceOrder>) -> Vec<String> {
        let mut changed = Vec::new();
        for (name, order) in orders {
            let held = self.orders.get(name);
            if held.is_none_or(|held| held.ordered_at < order.ordered_at) {
                self.orders.insert(name.clone(), *order);
                self.revision += 1;
                changed.push(name.clone());
            }
        }
        changed
    }

    /// A number that grows with every change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The latest order on each host.
    #[must_use]
    pub fn orders(&self) -> &BTreeMap<String, MaintenanceOrder> {
        &self.orders
    }

    /// The names of hosts listed so far, oldest first.
    pub fn listed_names(&self) -> impl Iterator<Item = &String> {
        self.listed_in_order.iter()
    }
}
