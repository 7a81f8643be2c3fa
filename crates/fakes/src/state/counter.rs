//! The counter's totals and the number of calls from each limiter.

use quartzcleat_decision::api::LimiterIndex;
use quartzcleat_simulation::counter::Counter;
use quartzcleat_simulation::scenario::CounterSetup;

/// The state of the fake counter.
pub(crate) struct FakeCounter {
    pub(crate) model: Counter,
    /// The number of calls so far, by limiter index.
    calls: Vec<usize>,
}

impl FakeCounter {
    pub(crate) fn new(setup: &CounterSetup) -> Self {
        FakeCounter {
            model: Counter::new(setup),
            calls: Vec::new(),
        }
    }

    /// Counts a limiter's call and returns its index among the limiter's calls, starting at zero.
    pub(crate) fn next_call(&mut self, limiter: LimiterIndex) -> usize {
        let limiters = self.calls.len().max(limiter.as_usize() + 1);
        self.calls.resize(limiters, 0);
        let call = self.calls[limiter.as_usize()];
        self.calls[limiter.as_usize()] += 1;
        call
    }
}
