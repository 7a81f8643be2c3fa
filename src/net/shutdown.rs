//! Draining by an operator and shutdown at SIGTERM.
//!
//! The drain controller determines the phase; this module publishes it to the tasks that wait for a change. During a
//! shutdown clients are served as before while the load balancer in front still sends new ones. Then connections close
//! between requests, and the process ends once all accepted requests are answered.

use super::config::Limits;
use super::signals::{self, SignalError};
use super::task::spawn;
use super::unix_time;
use crate::api::Nanos;
use quartzcleat_admin::{DrainController, DrainOrder, DrainTimes, OrderTime, Successor};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, Instant};

#[cfg(test)]
mod tests;

pub use quartzcleat_admin::Phase;

/// Delay between the start of a phase and its publication: before its start the controller reports the previous phase.
const PHASE_SWITCH_DELAY: Duration = Duration::from_millis(1);

/// Time that the monotonic clock of the phases shows at the start of the process. Orders of an earlier process that hold
/// on are older than the start; past this age all phases have begun.
const CLOCK_ORIGIN: Duration = Duration::from_secs(3600);

/// Deadlines of a shutdown. They are fixed at SIGTERM: a later configuration does not move the platform's SIGKILL.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    /// Time at which requests that are still open are failed. Later requests are rejected.
    pub answers: Instant,
    /// Time from which the process waits for nothing but responses that are in progress.
    pub exit: Instant,
}

/// Draining and shutdown of this process, and the number of its client connections.
pub struct Shutdown {
    limits: Rc<Limits>,
    controller: RefCell<DrainController>,
    /// Start of the process.
    started: Instant,
    /// Notified of each operator order and of the start of the shutdown.
    order_changed: Notify,
    /// Current phase, for the tasks that wait for a change.
    phase: watch::Sender<Phase>,
    /// Whether the process has permanently stopped accepting clients.
    is_closing: watch::Sender<bool>,
    /// Deadlines of the shutdown; `None` before SIGTERM.
    deadlines: Cell<Option<ShutdownDeadlines>>,
    /// Number of client connections.
    connections: Rc<watch::Sender<usize>>,
    /// Number of client connections with a response in progress.
    responses: Rc<watch::Sender<usize>>,
}

impl Shutdown {
    /// Creates the state of a process that serves all clients.
    pub fn new(limits: &Rc<Limits>) -> Self {
        let times = DrainTimes {
            drain_delay: limits.shutdown.drain_delay.as_nanos() as Nanos,
            reject_after: limits.shutdown.reject_after.as_nanos() as Nanos,
        };
        Shutdown {
            limits: limits.clone(),
            controller: RefCell::new(DrainController::new(times)),
            started: Instant::now(),
            order_changed: Notify::new(),
            phase: watch::Sender::default(),
            is_closing: watch::Sender::default(),
            deadlines: Cell::default(),
            connections: Rc::default(),
            responses: Rc::default(),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that follows the phase.
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Returns a receiver that becomes true when the process permanently stops accepting clients.
    pub fn subscribe_closing(&self) -> watch::Receiver<bool> {
        self.is_closing.subscribe()
    }

    /// Whether the process has permanently stopped accepting clients.
    pub fn is_closing(&self) -> bool {
        *self.is_closing.borrow()
    }

    /// Whether the load balancer in front may send clients.
    pub fn accepts_clients(&self) -> bool {
        self.controller.borrow().accepts_clients()
    }

    /// Whether this process is shutting down and a successor already accepted the clients when the shutdown started.
    pub fn has_serving_successor(&self) -> bool {
        self.controller.borrow().has_serving_successor()
    }

    /// Returns the latest operator order on draining.
    pub fn drain_order(&self) -> DrainOrder {
        self.controller.borrow().order()
    }

    /// Starts draining, by an operator's order.
    pub fn drain(&self) {
        let now = self.now();
        self.update(|controller| controller.drain(now));
    }

    /// Stops draining, by an operator's order.
    pub fn undrain(&self) {
        let now = self.now();
        self.update(|controller| controller.undrain(now));
    }

    /// Adopts another process's order on draining if it is later than the current one.
    pub fn merge_drain_order(&self, order: DrainOrder) {
        let now = self.now();
        self.update(|controller| {
            controller.merge(order, now);
        });
    }

    /// Returns the current time on the clocks of orders.
    fn now(&self) -> OrderTime {
        OrderTime {
            unix: unix_time::now(),
            monotonic: self.monotonic_now(),
        }
    }

    /// Returns the time of the monotonic clock that the phases follow.
    fn monotonic_now(&self) -> Nanos {
        (CLOCK_ORIGIN + self.started.elapsed()).as_nanos() as Nanos
    }

    /// Applies `change` to the drain controller, and publishes the resulting phase.
    fn update(&self, change: impl FnOnce(&mut DrainController)) {
        change(&mut self.controller.borrow_mut());
        self.publish_phase();
        self.order_changed.notify_one();
    }

    /// Publishes the current phase; returns the time until the next one begins, or `None` if no further phase follows.
    fn publish_phase(&self) -> Option<Duration> {
        let now = self.monotonic_now();
        let (status, is_shutting_down) = {
            let controller = self.controller.borrow();
            (controller.status(now), controller.is_shutting_down())
        };
        let previous = self.phase();
        set_if_changed(&self.phase, status.phase);
        if status.phase != previous {
            self.log_phase(status.phase);
        }
        let is_closing = status.phase >= Phase::Closing && is_shutting_down;
        set_if_changed(&self.is_closing, is_closing);
        let next_at = status.next_at?;
        Some(Duration::from_nanos(next_at.saturating_sub(now)))
    }

    /// Publishes each phase when it begins, until the process ends.
    async fn follow_phases(self: Rc<Self>) {
        loop {
            match self.publish_phase() {
                None => self.order_changed.notified().await,
                Some(remaining) => {
                    let pause = remaining + PHASE_SWITCH_DELAY;
                    // Both a timeout and an order lead to the next iteration, which determines the phase again.
                    let _ = timeout(pause, self.order_changed.notified()).await;
                }
            }
        }
    }

    fn log_phase(&self, phase: Phase) {
        let answers = self.deadlines().map(|deadlines| deadlines.answers);
        let until_answers = answers.map(|at| at.saturating_duration_since(Instant::now()));
        tracing::info!(?phase, ?until_answers, "drain phase started");
    }

    /// Returns the deadlines of the shutdown; `None` before SIGTERM.
    pub fn deadlines(&self) -> Option<ShutdownDeadlines> {
        self.deadlines.get()
    }

    /// Fixes the deadlines of a shutdown that starts now.
    fn set_deadlines(&self) {
        let now = Instant::now();
        let limits = &self.limits.shutdown;
        self.deadlines.set(Some(ShutdownDeadlines {
            answers: now + limits.answer_timeout.get(),
            exit: now + limits.exit_timeout.get(),
        }));
    }

    /// Returns whether the process waits for nothing but responses that are in progress.
    pub fn is_past_exit(&self) -> bool {
        self.deadlines()
            .is_some_and(|deadlines| Instant::now() >= deadlines.exit)
    }

    /// Counts a client connection until the returned guard is dropped.
    pub fn count_connection(&self) -> CountGuard {
        CountGuard::new(&self.connections)
    }

    /// Counts a response that is written to a client, or received from a host for a client that has received a part of it,
    /// until the returned guard is dropped.
    pub fn count_response(&self) -> CountGuard {
        CountGuard::new(&self.responses)
    }

    /// Returns the number of client connections.
    pub fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Returns a receiver that follows the number of client connections.
    pub fn subscribe_connections(&self) -> watch::Receiver<usize> {
        self.connections.subscribe()
    }

    /// Returns the number of client connections with a response in progress.
    pub fn responses(&self) -> usize {
        *self.responses.borrow()
    }

    /// Returns a receiver that follows the number of client connections with a response in progress.
    pub fn subscribe_responses(&self) -> watch::Receiver<usize> {
        self.responses.subscribe()
    }
}

/// Guard of a counted client connection or response; dropping it ends the count.
pub struct CountGuard {
    count: Rc<watch::Sender<usize>>,
}

impl CountGuard {
    fn new(count: &Rc<watch::Sender<usize>>) -> Self {
        count.send_modify(|count| *count += 1);
        CountGuard {
            count: count.clone(),
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}

/// Sets a watched value, and notifies its receivers only if it has changed.
fn set_if_changed<T: PartialEq>(sender: &watch::Sender<T>, value: T) {
    sender.send_if_modified(|current| {
        let has_changed = *current != value;
        *current = value;
        has_changed
    });
}

/// Starts to publish the phases, and to wait for SIGTERM. At SIGTERM `find_successor` determines whether another
/// process of this limiter accepts the clients.
///
/// # Errors
/// Returns an error if the signal handler cannot be installed.
pub fn watch(
    shutdown: &Rc<Shutdown>,
    find_successor: impl FnOnce() -> Successor + 'static,
) -> Result<(), SignalError> {
    let mut terminate = signals::on_terminate()?;
    spawn(shutdown.clone().follow_phases());
    let shutdown = shutdown.clone();
    spawn(async move {
        terminate.recv().await;
        shutdown.set_deadlines();
        let successor = find_successor();
        let other_serves = successor == Successor::Serving;
        let answer_timeout = shutdown.limits.shutdown.answer_timeout.get();
        tracing::info!(other_serves, ?answer_timeout, "shutdown started");
        let now = shutdown.monotonic_now();
        shutdown.update(|controller| controller.shut_down(now, successor));
    });
    Ok(())
}
