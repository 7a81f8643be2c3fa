//! The other process of this limiter, while a new version takes over.
//!
//! Each process with an admin interface publishes a [`SharedState`], and polls those of other processes at short
//! intervals. Of two operator orders for the same host, or on draining, the later one holds for both processes, even
//! after the process that received it has ended. Before a new process accepts clients, the earlier one hands over its
//! endpoint list and a snapshot of its engine.

pub mod listener_handover;
mod local_process;
mod seen_states;
mod shared_folder;

pub use local_process::LocalProcess;

use self::seen_states::{Seen, SeenStates};
use self::shared_folder::SharedFolder;
use super::config::Limits;
use super::discovery::DiscoveryClient;
use super::engine::EngineDriver;
use super::shutdown::Shutdown;
use super::task::spawn;
use crate::api::{Event, Nanos, ZoneId};
use quartzcleat_admin::{DrainOrder, Handoff, SharedState, Successor, FORMAT_VERSION};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::time::sleep;

/// Exchange of state between this process and the other process of its limiter.
pub struct HotRestart {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    discovery: Rc<DiscoveryClient>,
    shutdown: Rc<Shutdown>,
    process: LocalProcess,
    /// Whether this process accepts clients.
    is_serving: Cell<bool>,
    /// Values at the last publication; `None` if the state has to be published again.
    published: Cell<Option<PublishedState>>,
    /// Names of processes that have ended. Their files are removed once this process has published their orders.
    ended_processes: RefCell<Vec<String>>,
    seen: SeenStates,
    /// Start, in nanoseconds of Unix time, of the other process that accepts clients; `None` if there is none.
    other_started_at: Cell<Option<Nanos>>,
    /// Names of later processes for which this one has made a handoff, whether or not it could be written.
    handed_over_to: RefCell<HashSet<String>>,
}

/// Whether a handoff from another process is still expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffStatus {
    /// The handoff was taken, or there is no other process.
    Done,
    /// The handoff has not been written yet.
    Awaited,
}

/// Values that determine the published state; it is published again when one of them changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PublishedState {
    maintenance_revision: u64,
    drain: DrainOrder,
    is_serving: bool,
}

impl HotRestart {
    /// Creates the exchange for a process that has not polled other processes yet.
    pub fn new(
        limits: &Rc<Limits>,
        engine: &Rc<EngineDriver>,
        discovery: &Rc<DiscoveryClient>,
        shutdown: &Rc<Shutdown>,
        process: LocalProcess,
    ) -> Self {
        HotRestart {
            limits: limits.clone(),
            engine: engine.clone(),
            discovery: discovery.clone(),
            shutdown: shutdown.clone(),
            process,
            is_serving: Cell::default(),
            published: Cell::default(),
            ended_processes: RefCell::default(),
            seen: SeenStates::default(),
            other_started_at: Cell::default(),
            handed_over_to: RefCell::default(),
        }
    }

    /// Whether another process of this limiter accepts clients.
    pub fn is_other_serving(&self) -> bool {
        self.other_started_at.get().is_some()
    }

    /// Returns whether a process of this limiter that started later accepts clients.
    pub fn successor(&self) -> Successor {
        match self.other_started_at.get() {
            Some(started_at) if started_at > self.process.started_at => Successor::Serving,
            _ => Successor::None,
        }
    }

    /// Publishes that this process accepts clients, and starts to poll other processes at short intervals.
    pub fn start_serving(self: &Rc<Self>) {
        self.is_serving.set(true);
        self.publish();
        let hot_restart = self.clone();
        spawn(async move {
            loop {
                sleep(hot_restart.limits.hot_restart.poll_interval).await;
                hot_restart.poll_other_processes();
                hot_restart.publish();
            }
        });
    }

    /// Publishes the state of this process if it has changed.
    pub fn publish(&self) {
        let Some(folder) = &self.process.folder else {
            return;
        };
        let current = PublishedState {
            maintenance_revision: self.discovery.maintenance_revision(),
            drain: self.shutdown.drain_order(),
            is_serving: self.is_serving.get(),
        };
        if self.published.get() == Some(current) {
            return;
        }
        if let Err(error) = folder.write_state(&self.shared_state().to_text()) {
            let folder = folder.path().display();
            return tracing::warn!(%folder, %error, "state for the other process not written");
        }
        self.published.set(Some(current));
        for process in self.ended_processes.take() {
            folder.remove_files(&process);
        }
    }

    fn shared_state(&self) -> SharedState {
        SharedState {
            version: FORMAT_VERSION,
            name: self.process.name.clone(),
            listen: self.process.listen.clone(),
            started_at: self.process.started_at,
            is_serving: self.is_serving.get(),
            drain: self.shutdown.drain_order(),
            maintenance: self.discovery.maintenance_orders(),
            listed: self.discovery.listed_names(),
        }
    }

    /// Reads the states that other processes of this limiter published. The orders of a process that has ended still
    /// hold.
    pub fn poll_other_processes(&self) {
        let Some(folder) = &self.process.folder else {
            return;
        };
        let Ok(processes) = folder.other_processes() else {
            return;
        };
        let started_at_of_serving = processes
            .iter()
            .filter_map(|process| self.read_process(folder, process));
        let other_started_at = started_at_of_serving.max();
        // Two processes together must not hold more connections than one may.
        let processes = 1 + usize::from(other_started_at.is_some());
        self.limits.hot_restart.process_count.set(processes);
        let before = self.other_started_at.replace(other_started_at);
        if before.is_some() != other_started_at.is_some() {
            let serves = other_started_at.is_some();
            tracing::info!(serves, "other process of this limiter");
        }
    }

    /// Reads the state that one process published; returns the start of that process if it is alive and accepts
    /// clients.
    fn read_process(&self, folder: &SharedFolder, process: &str) -> Option<Nanos> {
        let text = folder.read_state(process).ok()?;
        let state = self.parse_state(process, &text)?;
        let is_alive = folder.is_alive(process);
        let is_successor = !state.is_serving && state.started_at > self.process.started_at;
        if is_alive && is_successor && self.is_serving.get() {
            self.hand_over(folder, process);
        }
        if self.seen.record(process, &text) != Seen::Unchanged {
            self.apply(&state);
        }
        if !is_alive {
            // This process publishes the orders of the ended one before it removes its files.
            self.published.set(None);
            self.ended_processes.borrow_mut().push(process.to_owned());
        }
        (is_alive && state.is_serving).then_some(state.started_at)
    }

    /// Parses the state of a process of this limiter. If the first text read from a process is no such state, a warning
    /// is logged.
    fn parse_state(&self, process: &str, text: &str) -> Option<SharedState> {
        match SharedState::from_text(text, self.process.identity()) {
            Ok(state) => Some(state),
            Err(error) => {
                if self.seen.record(process, text) == Seen::First {
                    tracing::warn!(process, %error, "state of another process ignored");
                }
                None
            }
        }
    }

    /// Applies the orders that another process published.
    fn apply(&self, state: &SharedState) {
        self.discovery
            .merge_maintenance(&state.listed, &state.maintenance);
        self.shutdown.merge_drain_order(state.drain);
    }

    /// Hands over the endpoint list and a snapshot of the engine to a later process that is about to accept clients.
    /// Does nothing after the first call for that process.
    fn hand_over(&self, folder: &SharedFolder, successor: &str) {
        if !self
            .handed_over_to
            .borrow_mut()
            .insert(successor.to_owned())
        {
            return;
        }
        let handoff = Handoff::new(
            self.process.identity(),
            self.discovery.zone_names(),
            self.discovery.list_to_json(),
            self.engine.snapshot(),
        );
        match folder.write_handoff(successor, &handoff.to_text()) {
            Ok(()) => tracing::info!(successor, "handoff written"),
            Err(error) => tracing::warn!(successor, %error, "handoff not written"),
        }
    }

    /// Applies the handoff from another process if it has been written.
    pub fn take_handoff(&self) -> HandoffStatus {
        let Some(folder) = &self.process.folder else {
            return HandoffStatus::Done;
        };
        let Some(text) = folder.take_handoff() else {
            return HandoffStatus::Awaited;
        };
        match Handoff::from_text(&text, self.process.identity()) {
            Ok(handoff) => self.apply_handoff(handoff),
            Err(error) => tracing::warn!(%error, "handoff ignored"),
        }
        HandoffStatus::Done
    }

    fn apply_handoff(&self, handoff: Handoff) {
        if !self.discovery.has_answered() {
            if let Err(error) = self.discovery.restore(&handoff.list) {
                tracing::warn!(%error, "endpoint list of the handoff ignored");
            }
        }
        let mut learned = handoff.learned;
        for snapshot in &mut learned.zones {
            let zone = ZoneId(snapshot.zone);
            snapshot.zone = self.discovery.zone(&handoff.zones, zone).0;
        }
        tracing::info!(
            hosts = learned.hosts.len(),
            customers = learned.customers.len(),
            "handoff taken"
        );
        self.engine.handle(Event::SnapshotRestored {
            snapshot: Box::new(learned),
        });
    }
}
