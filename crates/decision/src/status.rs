//! What a gateway believes at a moment, for those who count and watch; nothing here decides.

use crate::lifecycle::DecisionEngine;

/// What a gateway believes at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineStatus {
    /// Hosts listed as ready.
    pub listed: usize,
    /// Those of them that it does not hold for slow: measured, or by their zone, at less than twice the mean.
    pub believed_good: usize,
    /// The part of the requests let in.
    pub let_in: f64,
    /// Attempts at once for each able host.
    pub room: f64,
    /// The part of the requests that ask the counter.
    pub ask: f64,
    /// Attempts out.
    pub out: usize,
    /// Requests that wait for room.
    pub held: usize,
}

impl DecisionEngine {
    /// What is believed now.
    #[must_use]
    pub fn view(&self) -> EngineStatus {
        let ready = || self.fleet.hosts.values().filter(|host| host.ready());
        EngineStatus {
            listed: ready().count(),
            believed_good: ready().filter(|host| host.slowness < 2.0).count(),
            let_in: self.fleet.let_in,
            room: self.fleet.room,
            ask: self.quotas.ask,
            out: self.fleet.out,
            held: self.held.len(),
        }
    }
}
