//! The other process of this limiter, while a new version takes over.
//!
//! Each process with an admin interface publishes a [`SharedState`], and looks for those of other processes at short
//! intervals. The later order on each matter holds for both, also after the process that received it has ended. To a
//! process that is about to accept clients, the one before it hands over its endpoint list and a snapshot of its
//! engine.

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

/// The state that this process shares with the other process of its limiter.
pub struct HotRestart {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    discovery: Rc<DiscoveryClient>,
    shutdown: Rc<Shutdown>,
    process: LocalProcess,
    /// This process accepts clients.
    is_serving: Cell<bool>,
    /// The state that was published last.
    published: Cell<Option<PublishedState>>,
    /// Processes that have ended, whose files are removed once their orders are published by this one.
    ended: RefCell<Vec<String>>,
    seen: SeenStates,
    /// When the other process of this limiter started that accepts clients.
    other_serving_since: Cell<Option<Nanos>>,
    /// Later processes to which this one has handed over.
    successors: RefCell<HashSet<String>>,
}

/// Whether a handoff of another process is still awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoffStatus {
    /// It was taken, or there is no other process.
    Done,
    /// It has not been written yet.
    Awaited,
}

/// The values that the published state depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PublishedState {
    maintenance_revision: u64,
    drain: DrainOrder,
    is_serving: bool,
}

impl HotRestart {
    /// A process that has not looked for others yet.
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
            ended: RefCell::default(),
            seen: SeenStates::default(),
            other_serving_since: Cell::default(),
            successors: RefCell::default(),
        }
    }

    /// Whether another process of this limiter accepts clients.
    pub fn is_other_serving(&self) -> bool {
        self.other_serving_since.get().is_some()
    }

    /// Whether a later process of this limiter accepts the clients.
    pub fn successor(&self) -> Successor {
        match self.other_serving_since.get() {
            Some(started_at) if started_at > self.process.started_at => Successor::Serving,
            _ => Successor::None,
        }
    }

    /// Publishes from now on that this process accepts clients, and looks for other processes at short intervals.
    pub fn start_serving(self: &Rc<Self>) {
        self.is_serving.set(true);
        self.publish();
        let hot_restart = self.clone();
        spawn(async move {
            loop {
                sleep(hot_restart.limits.hot_restart.poll_interval).await;
                hot_restart.look();
                hot_restart.publish();
            }
        });
    }

    /// Publishes the state of this process, if it has changed.
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
        for process in self.ended.take() {
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

    /// Reads the states that other processes of this limiter published. The orders of a process that has ended hold
    /// too.
    pub fn look(&self) {
        let Some(folder) = &self.process.folder else {
            return;
        };
        let Ok(processes) = folder.other_processes() else {
            return;
        };
        let serving = processes
            .iter()
            .filter_map(|process| self.look_at(folder, process));
        let other_serving_since = serving.max();
        // Two processes must not hold more connections together than one may.
        let processes = 1 + usize::from(other_serving_since.is_some());
        self.limits.hot_restart.process_count.set(processes);
        let before = self.other_serving_since.replace(other_serving_since);
        if before.is_some() != other_serving_since.is_some() {
            let serves = other_serving_since.is_some();
            tracing::info!(serves, "other process of this limiter");
        }
    }

    /// Reads the state that one process published; returns when that process started, if it lives and accepts clients.
    fn look_at(&self, folder: &SharedFolder, process: &str) -> Option<Nanos> {
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
            // Its orders are published by this process before its files are removed.
            self.published.set(None);
            self.ended.borrow_mut().push(process.to_owned());
        }
        (is_alive && state.is_serving).then_some(state.started_at)
    }

    /// Parses the state of a process of this limiter. The first text of another process that is no such state is logged.
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

    /// Hands over the endpoint list and the engine's snapshot to a later process that is about to accept clients, once.
    fn hand_over(&self, folder: &SharedFolder, successor: &str) {
        if !self.successors.borrow_mut().insert(successor.to_owned()) {
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

    /// Takes the handoff of another process, if it was written.
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
