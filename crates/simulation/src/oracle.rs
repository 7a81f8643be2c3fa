//! An oracle chooses where a scenario leaves something open.

/// A point of a scenario that a choice decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ChoicePoint {
    /// The seed of the limiters.
    Seed,
    /// The offset of the run's start within the windows of the quotas.
    StartOffset,
    /// The moment at which a step happens.
    Moment,
    /// Which of some steps takes the next moment.
    Order,
    /// How long discovery takes to notify a limiter.
    DiscoveryDelay,
    /// The outcome of an attempt.
    Attempt,
    /// The outcome of a call to the counter.
    CounterCall,
}

/// Chooses where a scenario leaves something open.
pub trait Oracle {
    /// The index of one of the options, of which there are two at least; `None` stops the run. `fingerprint`
    /// identifies the state of the run, for searches that visit equal states once; calling it takes time.
    fn choose(
        &mut self,
        point: ChoicePoint,
        options: usize,
        fingerprint: &dyn Fn() -> u64,
    ) -> Option<usize>;
}

/// Always takes the first option.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstOption;

impl Oracle for FirstOption {
    fn choose(&mut self, _: ChoicePoint, _: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        Some(0)
    }
}

/// Follows a path of choices, then takes the first option.
#[derive(Clone, Debug, Default)]
pub struct ChoicePath {
    choices: Vec<usize>,
    next: usize,
}

impl ChoicePath {
    /// An oracle that follows these choices.
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
