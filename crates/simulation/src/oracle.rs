//! Oracles, which choose among the options that a scenario lists.

/// The kind of a choice that a scenario leaves open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ChoicePoint {
    /// The seed of the limiters.
    Seed,
    /// The offset of the run's start within the windows of the quotas.
    StartOffset,
    /// The time at which a step happens.
    Moment,
    /// Which step of a reorder group takes the group's next time.
    Order,
    /// How long discovery takes to notify a limiter.
    DiscoveryDelay,
    /// The outcome of an attempt.
    Attempt,
    /// The outcome of a call to the counter.
    CounterCall,
}

/// Chooses among the options that a scenario lists.
pub trait Oracle {
    /// Returns the index of the chosen option, out of at least two `options`, or `None` to stop the run. `fingerprint`
    /// identifies the state of the run for searches that visit equal states only once; calling it is expensive.
    fn choose(
        &mut self,
        point: ChoicePoint,
        options: usize,
        fingerprint: &dyn Fn() -> u64,
    ) -> Option<usize>;
}

/// An oracle that always takes the first option.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstOption;

impl Oracle for FirstOption {
    fn choose(&mut self, _: ChoicePoint, _: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        Some(0)
    }
}

/// An oracle that follows a path of choices and then takes the first option.
#[derive(Clone, Debug, Default)]
pub struct ChoicePath {
    choices: Vec<usize>,
    next: usize,
}

impl ChoicePath {
    /// Creates an oracle that follows these choices, given as option indices.
    #[must_use]
    pub fn new(choices: Vec<usize>) -> Self {
        ChoicePath { choices, next: 0 }
    }
}

impl Oracle for ChoicePath {
    fn choose(&mut self, _: ChoicePoint, options: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        let choice = self.choices.get(self.next).copied().unwrap_or(0);
        self.next += 1;
        Some(choice.min(options - 1))
    }
}
