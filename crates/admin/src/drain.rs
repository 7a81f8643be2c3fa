//! Whether clients are accepted: draining by an operator, and the shutdown at SIGTERM, in one state machine. Both go
//! through the same phases, each from its own start, and the later phase of the two holds.

use quartzcleat_decision::api::Nanos;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The phase of draining.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All clients are served, and connections are kept.
    #[default]
    Serving,
    /// Connections close between requests.
    Closing,
    /// New requests are rejected.
    LastCall,
}

/// A phase, and when the next one begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseStatus {
    /// The phase.
    pub phase: Phase,
    /// When the next phase begins, if one does.
    pub next_at: Option<Nanos>,
}

/// How long after its start each phase of draining begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// Until then connections are kept: the load balancer in front still brings new ones.
    pub linger: Nanos,
    /// From then on new requests are rejected.
    pub last_call: Nanos,
}

/// The latest operator command on draining.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainOrder {
    /// Clients are to be drained.
    #[serde(rename = "on")]
    pub is_draining: bool,
    /// When that was ordered; zero: never.
    #[serde(rename = "at")]
    pub ordered_at: Nanos,
}

/// Whether an order of another process holds from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is later than the own one, and holds.
    Adopted,
    /// The own one is at least as late, and still holds.
    Ignored,
}

/// Whether a later process of the limiter accepts the clients when this one shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// There is one, and it accepts the clients.
    Serving,
    /// There is none, or it does not accept clients yet.
    None,
}

/// A shutdown that was asked for.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    asked_at: Nanos,
    successor: Successor,
}

/// Draining and shutdown of one process.
#[derive(Clone, Copy, Debug)]
pub struct DrainController {
    times: DrainTimes,
    order: DrainOrder,
    shutdown: Option<Shutdown>,
}

impl DrainController {
    /// All clients are served.
    #[must_use]
    pub fn new(times: DrainTimes) -> Self {
        DrainController {
            times,
            order: DrainOrder::default(),
            shutdown: None,
        }
    }

    /// Starts draining; ordered again it changes nothing.
    pub fn drain(&mut self, now: Nanos) {
        self.set_order(true, now);
    }

    /// Stops draining; a shutdown that has started continues.
    pub fn undrain(&mut self, now: Nanos) {
        self.set_order(false, now);
    }

    fn set_order(&mut self, is_draining: bool, now: Nanos) {
        if self.order.is_draining != is_draining {
            self.order = DrainOrder {
                is_draining,
                ordered_at: now.max(self.order.ordered_at + 1),
            };
        }
    }

    /// Starts the shutdown; the first call counts.
    pub fn shut_down(&mut self, now: Nanos, successor: Successor) {
        self.shutdown.get_or_insert(Shutdown {
            asked_at: now,
            successor,
        });
    }

    /// Takes in another process's order; the later one holds.
    pub fn merge(&mut self, order: DrainOrder) -> MergeOutcome {
        if order.ordered_at > self.order.ordered_at {
            self.order = order;
            MergeOutcome::Adopted
        } else {
            MergeOutcome::Ignored
        }
    }

    /// The latest order on draining.
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

    /// Whether a successor accepted the clients already when the shutdown was asked for.
    #[must_use]
    pub fn has_serving_successor(&self) -> bool {
        self.shutdown
            .is_some_and(|shutdown| shutdown.successor == Successor::Serving)
    }

    /// The phase at a moment.
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
            self.status_since(self.order.ordered_at, self.times.linger, now)
        } else {
            PhaseStatus::default()
        }
    }

    fn shutdown_status(&self, now: Nanos) -> PhaseStatus {
        let Some(shutdown) = self.shutdown else {
            return PhaseStatus::default();
        };
        let linger = match shutdown.successor {
            Successor::Serving => 0,
            Successor::None => self.times.linger,
        };
        self.status_since(shutdown.asked_at, linger, now)
    }

    fn status_since(&self, start: Nanos, linger: Nanos, now: Nanos) -> PhaseStatus {
        let closing_at = start + linger;
        let last_call_at = start + self.times.last_call;
        if now >= last_call_at {
            PhaseStatus {
                phase: Phase::LastCall,
                next_at: None,
            }
        } else if now >= closing_at {
            PhaseStatus {
                phase: Phase::Closing,
                next_at: Some(last_call_at),
            }
        } else {
            PhaseStatus {
                phase: Phase::Serving,
                next_at: Some(closing_at),
            }
        }
    }
}
