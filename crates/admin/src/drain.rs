//! State machine for draining by an operator and for the shutdown at SIGTERM. Both go through the same phases, each
//! from its own start, and the later phase of the two holds.

use quartzcleat_decision::api::Nanos;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Phase of draining or of a shutdown. Later phases compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All clients are served, and connections are kept.
    #[default]
    Serving,
    /// Connections close between requests.
    Closing,
    /// New requests are rejected.
    Rejecting,
}

/// A phase, and the time at which the next one begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseStatus {
    /// Phase at the time of the query.
    pub phase: Phase,
    /// Start of the next phase, in nanoseconds of the monotonic clock; `None` if no further phase follows.
    pub next_at: Option<Nanos>,
}

/// Times at which the phases begin, in nanoseconds after the start of the draining or the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// Time until [`Phase::Closing`]. Connections are kept until then: the load balancer in front still sends new ones.
    pub drain_delay: Nanos,
    /// Time until [`Phase::Rejecting`].
    pub reject_after: Nanos,
}

/// The time of an order on both clocks of a process, in nanoseconds.
///
/// Processes compare their orders by wall-clock time. Phases are spans of real time and follow the monotonic clock: the
/// wall clock may be stepped while clients are drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTime {
    /// Unix time.
    pub unix: Nanos,
    /// Time of the process's monotonic clock.
    pub monotonic: Nanos,
}

impl OrderTime {
    /// Returns the monotonic time at which an order was given; now if the order's wall clock is ahead.
    fn monotonic_time_of(self, order: DrainOrder) -> Nanos {
        let age = self.unix.saturating_sub(order.ordered_at);
        self.monotonic.saturating_sub(age)
    }
}

/// An operator's order to start or to stop draining.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainOrder {
    /// Whether clients are to be drained.
    #[serde(rename = "on")]
    pub is_draining: bool,
    /// Time of the order, in nanoseconds of Unix time; 0 if there has been none.
    #[serde(rename = "at")]
    pub ordered_at: Nanos,
}

/// Result of merging another process's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The other order is later than the own one, and replaces it.
    Adopted,
    /// The own order is at least as late, and still holds.
    Ignored,
}

/// Whether a later process of the limiter accepts clients when this one shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// There is a later process, and it accepts clients.
    Serving,
    /// There is no later process, or it does not accept clients yet.
    None,
}

/// A shutdown that has been requested.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    requested_at: Nanos,
    successor: Successor,
}

/// Draining and shutdown of one process.
#[derive(Clone, Copy, Debug)]
pub struct DrainController {
    times: DrainTimes,
    order: DrainOrder,
    /// Time of the order on the monotonic clock.
    ordered_at: Nanos,
    shutdown: Option<Shutdown>,
}

impl DrainController {
    /// Creates the controller of a process that serves all clients.
    #[must_use]
    pub fn new(times: DrainTimes) -> Self {
        DrainController {
            times,
            order: DrainOrder::default(),
            ordered_at: 0,
            shutdown: None,
        }
    }

    /// Starts draining. Has no effect if clients are being drained already.
    pub fn drain(&mut self, now: OrderTime) {
        self.set_order(true, now);
    }

    /// Stops draining. A shutdown that has started continues.
    pub fn undrain(&mut self, now: OrderTime) {
        self.set_order(false, now);
    }

    fn set_order(&mut self, is_draining: bool, now: OrderTime) {
        if self.order.is_draining != is_draining {
            self.order = DrainOrder {
                is_draining,
                ordered_at: now.unix.max(self.order.ordered_at + 1),
            };
            self.ordered_at = now.monotonic;
        }
    }

    /// Starts the shutdown, at a time of the monotonic clock. Further calls have no effect.
    pub fn shut_down(&mut self, now: Nanos, successor: Successor) {
        self.shutdown.get_or_insert(Shutdown {
            requested_at: now,
            successor,
        });
    }

    /// Merges another process's order: the later of it and the own one holds.
    pub fn merge(&mut self, order: DrainOrder, now: OrderTime) -> MergeOutcome {
        if order.ordered_at > self.order.ordered_at {
            self.order = order;
            self.ordered_at = now.monotonic_time_of(order);
            MergeOutcome::Adopted
        } else {
            MergeOutcome::Ignored
        }
    }

    /// Returns the latest order on draining.
    #[must_use]
    pub fn order(&self) -> DrainOrder {
        self.order
    }

    /// Whether the load balancer in front may send clients.
    #[must_use]
    pub fn accepts_clients(&self) -> bool {
        !self.order.is_draining
    }

    /// Whether the process is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether a successor already accepted clients when the shutdown was requested.
    #[must_use]
    pub fn has_serving_successor(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.successor == Successor::Serving)
    }

    /// Returns the phase at `now`, a time of the monotonic clock, and when the next one begins.
    #[must_use]
    pub fn status(&self, now: Nanos) -> PhaseStatus {
        let drain = self.drain_status(now);
        let shutdown = self.shutdown_status(now);
        PhaseStatus {
            phase: drain.phase.max(shutdown.phase),
            next_at: [drain.next_at, shutdown.next_at]
                .into_iter()
                .flatten()
                .min(),
        }
    }

    fn drain_status(&self, now: Nanos) -> PhaseStatus {
        if self.order.is_draining {
            self.status_since(self.ordered_at, self.times.drain_delay, now)
        } else {
            PhaseStatus::default()
        }
    }

    fn shutdown_status(&self, now: Nanos) -> PhaseStatus {
        let Some(shutdown) = self.shutdown else {
            return PhaseStatus::default();
        };
        let drain_delay = match shutdown.successor {
            Successor::Serving => 0,
            Successor::None => self.times.drain_delay,
        };
        self.status_since(shutdown.requested_at, drain_delay, now)
    }

    fn status_since(&self, start: Nanos, drain_delay: Nanos, now: Nanos) -> PhaseStatus {
        let closing_at = start + drain_delay;
        let rejecting_at = start + self.times.reject_after;
        if now >= rejecting_at {
            PhaseStatus {
                phase: Phase::Rejecting,
                next_at: None,
            }
        } else if now >= closing_at {
            PhaseStatus {
                phase: Phase::Closing,
                next_at: Some(rejecting_at),
            }
        } else {
            PhaseStatus {
                phase: Phase::Serving,
                next_at: Some(closing_at),
            }
        }
    }
}
