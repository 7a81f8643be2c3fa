//! Idle client connections: their time-outs, and the order in which they are evicted to make room for other clients.

use super::closing::CloseReason;
use crate::net::config::Limits;
use crate::net::resp::eviction::Eviction;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// The position of a connection in the eviction order: by time, then by serial number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionKey {
    since: Instant,
    serial: u64,
}

/// The connections that wait for a command, in the order of their eviction.
#[derive(Default)]
pub(super) struct IdleConnections {
    waiting: RefCell<BTreeMap<EvictionKey, Rc<Notify>>>,
    next_serial: Cell<u64>,
}

impl IdleConnections {
    /// Adds a connection that has been idle since `since`; `evicted` is notified when it is evicted.
    fn add(&self, since: Instant, evicted: &Rc<Notify>) -> EvictionKey {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        let key = EvictionKey { since, serial };
        self.waiting.borrow_mut().insert(key, evicted.clone());
        key
    }

    fn remove(&self, key: EvictionKey) {
        self.waiting.borrow_mut().remove(&key);
    }

    /// Evicts the first connection in the eviction order.
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

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Activity {
    /// A response is pending or unsent.
    Busy,
    /// Nothing of the next command has been received.
    Idle,
    /// A part of the next command has been received.
    PartialCommand,
}

/// Whether a connection has had a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Usage {
    /// No response has been collected yet.
    New,
    /// At least one response has been collected.
    Used,
}

/// The timer of how long a connection has been idle or in the middle of a command.
pub(super) struct IdleTimer {
    idle_connections: Rc<IdleConnections>,
    activity: Activity,
    /// When the current activity began; for a new connection, when it was accepted.
    since: Instant,
    /// Whether it has sent no complete command yet.
    is_new: bool,
    /// Key among the idle connections; `None` while it is busy.
    eviction_key: Option<EvictionKey>,
    /// Notified when the connection is evicted.
    evicted: Rc<Notify>,
}

impl IdleTimer {
    /// Creates the timer of a connection that was just accepted.
    pub(super) fn new(idle_connections: Rc<IdleConnections>) -> Self {
        IdleTimer {
            idle_connections,
            activity: Activity::Busy,
            since: Instant::now(),
            is_new: true,
            eviction_key: None,
            evicted: Rc::new(Notify::new()),
        }
    }

    /// Records the activity of the connection, and restarts the timer when it changes.
    pub(super) fn update(&mut self, activity: Activity, usage: Usage, limits: &Limits) {
        let is_new = self.is_new && usage == Usage::New && activity != Activity::Busy;
        if activity == self.activity && is_new == self.is_new {
            return;
        }
        // The timer of a new connection runs from its start and is not restarted by a partial command.
        if !is_new {
            self.since = Instant::now();
        }
        self.activity = activity;
        self.is_new = is_new;
        self.deregister();
        if activity != Activity::Busy {
            self.register(limits);
        }
    }

    /// Adds the connection to the idle ones. A new connection counts as idle for `unused_eviction_advance` longer, so
    /// that it is evicted before connections that were used.
    fn register(&mut self, limits: &Limits) {
        let advance = if self.is_new {
            limits.downstream.unused_eviction_advance
        } else {
            Duration::ZERO
        };
        let since = self.since.checked_sub(advance).unwrap_or(self.since);
        self.eviction_key = Some(self.idle_connections.add(since, &self.evicted));
    }

    fn deregister(&mut self) {
        if let Some(key) = self.eviction_key.take() {
            self.idle_connections.remove(key);
        }
    }

    /// Waits until the connection has been idle for too long, or is evicted, and returns which. Without these time-outs, connections that
    /// stay unused, commands that are never completed and clients that never return would occupy file descriptors.
    pub(super) async fn expired(&self, limits: &Limits) -> CloseReason {
        let (allowed, reason) = match self.activity {
            Activity::Busy => return std::future::pending().await,
            Activity::Idle if !self.is_new => {
                (limits.downstream.idle_timeout, CloseReason::IdleTimeout)
            }
            Activity::Idle | Activity::PartialCommand => (
                limits.downstream.command_timeout,
                CloseReason::CommandTimeout,
            ),
        };
        tokio::select! {
            () = sleep_until(self.since + allowed) => reason,
            () = self.evicted.notified() => CloseReason::Evicted,
        }
    }
}

impl Drop for IdleTimer {
    fn drop(&mut self) {
        self.deregister();
    }
}
