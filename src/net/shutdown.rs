//! Draining by an operator and the shutdown at SIGTERM.
//!
//! The drain controller decides on the phase; this unit announces the phases to the tasks that wait for them. During a
//! shutdown clients are served as before while the load balancer in front still sends new ones. Then connections close
//! between requests, and the process ends once all accepted requests are answered.

use super::config::Limits;
use super::signals::{self, SignalError};
use super::task::spawn;
use super::unix_time;
use crate::api::Nanos;
use quartzcleat_admin::{DrainController, DrainOrder, DrainTimes, Successor};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, Instant};

#[cfg(test)]
mod tests;

pub use quartzcleat_admin::Phase;

/// How long after the start of a phase the step to it is taken.
const STEP_MARGIN: Duration = Duration::from_millis(1);

/// The drain controller, its phase for the tasks that wait for a change, and the number of client connections.
pub struct Shutdown {
    controller: RefCell<DrainController>,
    /// Notified of each order.
    order_changed: Notify,
    phase: watch::Sender<Phase>,
    /// No further clients are accepted, for good.
    is_closing: watch::Sender<bool>,
    /// When SIGTERM was received.
    asked_at: Cell<Option<Instant>>,
    connections: watch::Sender<usize>,
}

impl Shutdown {
    /// A process that serves all clients.
    pub fn new(limits: &Limits) -> Self {
        let times = DrainTimes {
            linger: limits.shutdown.drain_delay.as_nanos() as Nanos,
            last_call: limits.shutdown.reject_after.as_nanos() as Nanos,
        };
        Shutdown {
            controller: RefCell::new(DrainController::new(times)),
            order_changed: Notify::new(),
            phase: watch::Sender::default(),
            is_closing: watch::Sender::default(),
            asked_at: Cell::default(),
            connections: watch::Sender::default(),
        }
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// A receiver that follows the phase.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// A receiver that becomes true when no further clients are accepted, for good.
    pub fn subscribe_closing(&self) -> watch::Receiver<bool> {
        self.is_closing.subscribe()
    }

    /// Whether no further clients are accepted, for good.
    pub fn is_closing(&self) -> bool {
        *self.is_closing.borrow()
    }

    /// Whether the load balancer in front may send clients.
    pub fn accepts_clients(&self) -> bool {
        self.controller.borrow().accepts_clients()
    }

    /// Whether a successor accepts the clients, now that this process shuts down.
    pub fn has_serving_successor(&self) -> bool {
        self.controller.borrow().has_serving_successor()
    }

    /// The latest operator command on draining.
    pub fn drain_order(&self) -> DrainOrder {
        self.controller.borrow().order()
    }

    /// Drains the clients, by an operator.
    pub fn drain(&self) {
        self.update(|controller| controller.drain(unix_time::now()));
    }

    /// Stops draining, by an operator.
    pub fn undrain(&self) {
        self.update(|controller| controller.undrain(unix_time::now()));
    }

    /// Takes in another process's order on draining.
    pub fn merge_drain_order(&self, order: DrainOrder) {
        self.update(|controller| {
            controller.merge(order);
        });
    }

    fn update(&self, change: impl FnOnce(&mut DrainController)) {
        change(&mut self.controller.borrow_mut());
        self.announce_phase();
        self.order_changed.notify_one();
    }

    /// Announces the phase of this moment; returns how long it is until the next one begins.
    fn announce_phase(&self) -> Option<Duration> {
        let now = unix_time::now();
        let (status, is_shutting_down) = {
            let controller = self.controller.borrow();
            (controller.status(now), controller.is_shutting_down())
        };
        set_if_changed(&self.phase, status.phase);
        let is_closing = status.phase >= Phase::Closing && is_shutting_down;
        set_if_changed(&self.is_closing, is_closing);
        let next_at = status.next_at?;
        Some(Duration::from_nanos(next_at.saturating_sub(now)))
    }

    /// Goes through the phases until the process ends.
    async fn follow_phases(self: Rc<Self>) {
        loop {
            match self.announce_phase() {
                None => self.order_changed.notified().await,
                // A step before the start of the phase would find nothing changed.
                Some(remaining) => {
                    let pause = remaining + STEP_MARGIN;
                    // Whether the time is over or there is an order, the next round looks at both.
                    let _ = timeout(pause, self.order_changed.notified()).await;
                }
            }
        }
    }

    /// When the last answers are given, once SIGTERM was received.
    pub fn last_answers(&self, limits: &Limits) -> Option<Instant> {
        let asked_at = self.asked_at.get()?;
        Some(asked_at + limits.shutdown.timeout.get() - limits.shutdown.final_answer_margin.get())
    }

    /// Counts a client connection until the guard is dropped.
    pub fn count_connection(self: &Rc<Self>) -> CountedConnection {
        self.connections.send_modify(|count| *count += 1);
        CountedConnection {
            shutdown: self.clone(),
        }
    }

    /// How many connections clients hold.
    pub fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// A receiver that follows the number of client connections.
    pub fn subscribe_connections(&self) -> watch::Receiver<usize> {
        self.connections.subscribe()
    }
}

/// A client connection that counts until this is dropped.
pub struct CountedConnection {
    shutdown: Rc<Shutdown>,
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.shutdown.connections.send_modify(|count| *count -= 1);
    }
}

fn set_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|held| {
        let has_changed = *held != value;
        *held = value;
        has_changed
    });
}

/// Goes through the phases, and waits for SIGTERM. `find_successor` then looks for another process of this limiter that
/// accepts the clients.
///
/// # Errors
/// The signal handler cannot be installed.
pub fn watch(
    shutdown: &Rc<Shutdown>,
    find_successor: impl FnOnce() -> Successor + 'static,
) -> Result<(), SignalError> {
    let mut terminate = signals::on_terminate()?;
    spawn(shutdown.clone().follow_phases());
    let shutdown = shutdown.clone();
    spawn(async move {
        terminate.recv().await;
        shutdown.asked_at.set(Some(Instant::now()));
        let successor = find_successor();
        let other_serves = successor == Successor::Serving;
        tracing::info!(other_serves, "shutdown started");
        shutdown.update(|controller| controller.shut_down(unix_time::now(), successor));
    });
    Ok(())
}
