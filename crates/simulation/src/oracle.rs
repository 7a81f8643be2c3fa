//! What a scenario leaves open is chosen by an oracle.

/// What is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Point {
    /// The seed of the limiters.
    Seed,
    /// Where in its windows the play begins.
    Phase,
    /// At which of its moments a step happens.
    Moment,
    /// Which of some steps takes the next moment.
    Order,
    /// How long discovery takes to tell a limiter.
    Lag,
    /// How an attempt fares.
    Attempt,
    /// How a call to the counter fares.
    Call,
}

/// Chooses where a scenario leaves something open.
pub trait Oracle {
    /// One of so many options, two at least; `None` ends the play here. `print` gives a fingerprint of the state
    /// that the play is in, for those who meet equal states once; it takes time.
    fn choose(&mut self, point: Point, options: usize, print: &dyn Fn() -> u64) -> Option<usize>;
}

/// Always takes the first option.
#[derive(Clone, Copy, Debug, Default)]
pub struct First;

impl Oracle for First {
    fn choose(&mut self, _: Point, _: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        Some(0)
    }
}

/// Follows a path of choices, then takes the first option.
#[derive(Clone, Debug, Default)]
pub struct Path {
    choices: Vec<usize>,
    next: usize,
}

impl Path {
    /// An oracle that follows these choices.
    pub fn new(choices: Vec<usize>) -> Self {
        Path { choices, next: 0 }
    }
}

impl Oracle for Path {
    fn choose(&mut self, _: Point, options: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        let choice = self.choices.get(self.next).copied().unwrap_or(0);
        self.next += 1;
        Some(choice.min(options - 1))
    }
}
