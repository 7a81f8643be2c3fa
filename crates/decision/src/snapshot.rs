//! What a gateway has learned, in plain figures, for the one that takes its place. Here stands what of it still holds
//! there; requests, attempts and what may be granted once only stay with the one that has them.

use crate::api::{CustomerId, HostId, Nanos};
use crate::host_selection::LET_IN_LEAST;
use crate::lifecycle::DecisionEngine;
use crate::quota::{Quota, ASK_LEAST};
use serde::{Deserialize, Serialize};

/// Customers told of at most; those seen last go first.
const CUSTOMERS: usize = 4096;
/// Older than this it tells nothing any more: evidence of hosts fades in as much.
const HOLDS: Nanos = 10_000_000_000;

/// What a gateway has learned by a moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// When.
    pub at: Nanos,
    /// The part of the requests that ask the counter, and the mean part of its limit that one brings along.
    pub ask: (f64, f64),
    /// The part of the requests let in, mean lateness, when it was last told, and the part of the aim answers take.
    pub let_in: (f64, f64, Nanos, f64),
    /// The mean worth for each second of work.
    pub density: f64,
    /// Attempts at once for each able host.
    pub room: f64,
    /// Classes by name: mean answer time in seconds, and over how many answers.
    pub classes: Vec<(String, f64, f64)>,
    /// Hosts.
    pub hosts: Vec<HostSnapshot>,
    /// Zones by number: slowness, and when it was last told.
    pub zones: Vec<(u32, f64, Nanos)>,
    /// Customers seen last.
    pub customers: Vec<CustomerSnapshot>,
}

/// What was learned of one process of a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostSnapshot {
    /// Its number.
    pub host: u32,
    /// When it started; of another process this tells nothing.
    pub started: Nanos,
    /// Answer time as a multiple of the class's mean, over how many answers, and when the last came.
    pub slowness: (f64, f64, Nanos),
    /// Attempts it takes at once.
    pub room: f64,
}

/// What was seen of one customer's counts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerSnapshot {
    /// Its number.
    pub customer: u64,
    /// The window that the totals are of.
    pub window: u64,
    /// Total of that window and of the one before, and whether they were answered and read.
    pub totals: (f64, f64, bool, bool),
    /// Adds confirmed, and what a counter forgot.
    pub confirmed: (f64, f64),
    /// Adds of this limiter in that window and in the one before.
    pub own: (f64, f64),
    /// Units in the local store, and when that was reckoned.
    pub store: (f64, Nanos),
    /// What its quota held as the window before that one began, in units.
    #[serde(default)]
    pub store_before: f64,
    /// Units asked for through this limiter, which fade, and when the last came.
    pub seen: (f64, Nanos),
}

fn sound(figure: f64, least: f64, most: f64, otherwise: f64) -> f64 {
    if figure.is_finite() {
        figure.clamp(least, most)
    } else {
        otherwise
    }
}

impl DecisionEngine {
    /// What has been learned by now.
    #[must_use]
    pub fn learned(&self) -> EngineSnapshot {
        let classes = self.set.classes.iter().zip(&self.fleet.class_took);
        let hosts = self.fleet.hosts.iter().map(|(id, host)| HostSnapshot {
            host: id.0,
            started: host.entry.started,
            slowness: (host.slowness, host.evidence, host.measured),
            room: host.room,
        });
        let mut seen: Vec<_> = self.quotas.of.iter().collect();
        seen.sort_by_key(|(_, quota)| std::cmp::Reverse(quota.last_seen));
        let customers = seen.into_iter().take(CUSTOMERS).map(|(id, quota)| CustomerSnapshot {
            customer: id.0,
            window: quota.window,
            totals: (quota.known, quota.previous, quota.answered, quota.previous_read),
            confirmed: (quota.confirmed - quota.taken, quota.lost),
            own: (quota.own, quota.own_previous),
            store: (quota.store, quota.stored_at),
            store_before: quota.store_before,
            seen: (quota.seen, quota.last_seen),
        });
        EngineSnapshot {
            at: self.now,
            ask: (self.quotas.ask, self.quotas.need),
            let_in: (self.fleet.let_in, self.fleet.lateness, self.fleet.lateness_at, self.fleet.answered),
            density: self.density,
            room: self.fleet.room,
            classes: classes
                .map(|(class, (elapsed, count))| (class.name.clone(), *elapsed, *count))
                .collect(),
            hosts: hosts.collect(),
            zones: self.fleet.zone_slowness.iter().map(|(zone, (slow, at))| (*zone, *slow, *at)).collect(),
            customers: customers.collect(),
        }
    }

    /// Goes on from what another gateway in the same place had learned. What this one has seen itself stays.
    pub(crate) fn take_over(&mut self, learned: &EngineSnapshot) {
        if self.now.saturating_sub(learned.at) > HOLDS {
            return;
        }
        let past = |at: Nanos| at.min(self.now);
        self.quotas.ask = sound(learned.ask.0, ASK_LEAST, 1.0, self.quotas.ask);
        self.quotas.need = sound(learned.ask.1, 0.0, 1e9, self.quotas.need);
        self.fleet.let_in = sound(learned.let_in.0, LET_IN_LEAST, 1.0, self.fleet.let_in);
        self.fleet.lateness = sound(learned.let_in.1, 0.0, 1.0, self.fleet.lateness);
        self.fleet.lateness_at = past(learned.let_in.2);
        self.fleet.answered = sound(learned.let_in.3, 0.0, 1.0, self.fleet.answered);
        self.density = sound(learned.density, 0.0, 1e9, self.density);
        self.fleet.room = sound(learned.room, 0.1, 1e3, self.fleet.room);
        for (name, elapsed, count) in &learned.classes {
            let number = self.set.classes.iter().rposition(|class| class.name == *name);
            if let Some(held) =
                number.map(|number| &mut self.fleet.class_took[number]).filter(|held| held.1 == 0.0)
            {
                *held = (sound(*elapsed, 0.0, 1e3, 0.0), sound(*count, 0.0, 100.0, 0.0));
            }
        }
        for told in &learned.hosts {
            let held = self.fleet.hosts.get_mut(&HostId(told.host));
            if let Some(host) = held.filter(|host| host.entry.started == told.started) {
                host.slowness = sound(told.slowness.0, 0.0, 10.0, 1.0);
                host.evidence = sound(told.slowness.1, 0.0, 10.0, 0.0);
                host.measured = told.slowness.2.min(self.now);
                host.room = sound(told.room, 1.0, 1e3, host.room);
            }
        }
        for (zone, slow, at) in &learned.zones {
            let told = (sound(*slow, 0.0, 10.0, 1.0), (*at).min(self.now));
            self.fleet.zone_slowness.entry(*zone).or_insert(told);
        }
        for told in &learned.customers {
            let units = |figure| sound(figure, 0.0, 1e9, 0.0);
            let quota = Quota {
                window: told.window,
                known: units(told.totals.0),
                previous: units(told.totals.1),
                answered: told.totals.2,
                previous_read: told.totals.3,
                confirmed: units(told.confirmed.0),
                lost: units(told.confirmed.1),
                own: units(told.own.0),
                own_previous: units(told.own.1),
                store: units(told.store.0),
                stored_at: told.store.1.min(self.now),
                store_before: units(told.store_before),
                seen: units(told.seen.0),
                last_seen: told.seen.1.min(self.now),
                ..Quota::default()
            };
            self.quotas.of.entry(CustomerId(told.customer)).or_insert(quota);
        }
    }
}
