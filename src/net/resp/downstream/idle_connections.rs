//! The idle connections: how long they may be idle, and the order in which they are evicted for other clients.

use crate::net::config::Limits;
use crate::net::resp::eviction::Eviction;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Where a connection stands among the idle ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct IdlePlace {
    since: Instant,
    serial: u64,
}

/// The connections that wait for a command; the first one is evicted first.
#[derive(Default)]
pub(super) struct IdleConnections {
    waiting: RefCell<BTreeMap<IdlePlace, Rc<Notify>>>,
    next_serial: Cell<u64>,
}

impl IdleConnections {
    /// Adds a connection that waits since a moment; `evicted` is notified when it is evicted.
    fn add(&self, since: Instant, evicted: &Rc<Notify>) -> IdlePlace {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        let place = IdlePlace { since, serial };
        self.waiting.borrow_mut().insert(place, evicted.clone());
        place
    }

    fn remove(&self, place: IdlePlace) {
        self.waiting.borrow_mut().remove(&place);
    }

    /// Evicts the first connection.
    pub(super) fn evict_first(&self) -> Eviction {
        let first = self.waiting.borrow_mut().pop_first();
        match first {
            Some((_, evicted)) => {
                evicted.notify_one();
                Eviction::Evicted
            }
            None => Eviction::NoneIdle,
        }
    }
}

/// The activity of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Activity {
    /// A response is pending.
    Busy,
    /// Nothing of the next command has been received.
    Idle,
    /// A part of the next command has been received.
    PartialCommand,
}

/// Whether a connection was ever used.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Usage {
    /// No response was collected yet.
    New,
    /// It has had a response.
    Used,
}

/// How long one connection has been idle, or in the middle of a command.
pub(super) struct IdleTimer {
    idle_connections: Rc<IdleConnections>,
    activity: Activity,
    since: Instant,
    /// It has sent no complete command yet.
    is_new: bool,
    place: Option<IdlePlace>,
    evicted: Rc<Notify>,
}

impl IdleTimer {
    /// The timer of a connection that was just accepted.
    pub(super) fn new(idle_connections: Rc<IdleConnections>) -> Self {
        IdleTimer {
            idle_connections,
            activity: Activity::Busy,
            since: Instant::now(),
            is_new: true,
            place: None,
            evicted: Rc::new(Notify::new()),
        }
    }

    /// Records the connection's activity.
    pub(super) fn update(&mut self, activity: Activity, usage: Usage, limits: &Limits) {
        let is_new = self.is_new && usage == Usage::New && activity != Activity::Busy;
        if activity == self.activity && is_new == self.is_new {
            return;
        }
        // The time of a new connection runs from its start, also once a part of a command was received.
        if !is_new {
            self.since = Instant::now();
        }
        self.activity = activity;
        self.is_new = is_new;
        self.leave_place();
        if activity != Activity::Busy {
            self.enter_place(limits);
        }
    }

    /// Takes a place among the idle connections. A new connection is evicted ahead of those that were used.
    fn enter_place(&mut self, limits: &Limits) {
        let advance = if self.is_new {
            limits.downstream.unused_eviction_advance
        } else {
            Duration::ZERO
        };
        let since = self.since.checked_sub(advance).unwrap_or(self.since);
        self.place = Some(self.idle_connections.add(since, &self.evicted));
    }

    fn leave_place(&mut self) {
        if let Some(place) = self.place.take() {
            self.idle_connections.remove(place);
        }
    }

    /// Waits until the connection has been idle for too long, or is evicted. Without these bounds silent connections,
    /// commands that never end and clients that never return would hold the descriptors.
    pub(super) async fn expired(&self, limits: &Limits) {
        let allowed = match self.activity {
            Activity::Busy => return std::future::pending().await,
            Activity::Idle if !self.is_new => limits.downstream.idle_timeout,
            Activity::Idle | Activity::PartialCommand => limits.downstream.command_timeout,
        };
        tokio::select! {
            () = sleep_until(self.since + allowed) => {}
            () = self.evicted.notified() => {}
        }
    }
}

impl Drop for IdleTimer {
    fn drop(&mut self) {
        self.leave_place();
    }
}
