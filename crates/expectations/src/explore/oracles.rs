//! The oracles of the search.

use quartzcleat_simulation::{ChoicePoint, Oracle};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// Spreads the kind of a choice over the bits of a state's fingerprint.
const CHOICE_POINT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Spreads seeds, so that walks of neighbouring seeds have different ones.
const SEED_FACTOR: u64 = 1_000_003;
/// The probability of the first option in a random walk, beside its part of the rest.
const FIRST_OPTION_PROBABILITY: f64 = 0.5;

/// A choice and the number of options that it had.
#[derive(Clone, Copy, Debug)]
struct TakenChoice {
    choice: usize,
    options: usize,
}

/// Follows a prefix of choices, then takes first options. Within the depth it stops at a state that was visited with
/// at least as many choices left.
pub(super) struct SystematicSearch<'a> {
    prefix: &'a [usize],
    taken: Vec<TakenChoice>,
    depth: usize,
    /// The most choices that were left at each visited state.
    visited: &'a mut HashMap<u64, usize>,
}

impl<'a> SystematicSearch<'a> {
    pub(super) fn new(
        prefix: &'a [usize],
        depth: usize,
        visited: &'a mut HashMap<u64, usize>,
    ) -> Self {
        SystematicSearch {
            prefix,
            taken: Vec::new(),
            depth,
            visited,
        }
    }

    /// The choices of the run.
    pub(super) fn choices(&self) -> Vec<usize> {
        self.taken.iter().map(|taken| taken.choice).collect()
    }

    /// The prefix of the next way: the last choice within the depth that has another option takes it.
    pub(super) fn next_prefix(&self) -> Option<Vec<usize>> {
        let last = self
            .taken
            .iter()
            .take(self.depth)
            .rposition(|taken| taken.choice + 1 < taken.options)?;
        let mut prefix = self.choices();
        prefix.truncate(last + 1);
        prefix[last] += 1;
        Some(prefix)
    }

    /// Marks a state as visited with so many choices left. Returns whether it was visited before with as many.
    fn is_visited(&mut self, state: u64, left: usize) -> bool {
        if self.visited.get(&state).is_some_and(|known| *known >= left) {
            return true;
        }
        self.visited.insert(state, left);
        false
    }
}

impl Oracle for SystematicSearch<'_> {
    fn choose(
        &mut self,
        point: ChoicePoint,
        options: usize,
        fingerprint: &dyn Fn() -> u64,
    ) -> Option<usize> {
        let position = self.taken.len();
        let choice = if let Some(choice) = self.prefix.get(position) {
            *choice
        } else {
            // The kind of choice belongs to the state: two of them may follow at one moment.
            let state = || fingerprint() ^ (point as u64).wrapping_mul(CHOICE_POINT_FACTOR);
            if position < self.depth && self.is_visited(state(), self.depth - position) {
                return None;
            }
            0
        };
        self.taken.push(TakenChoice { choice, options });
        Some(choice)
    }
}

/// Chooses at random. The first option is the likeliest: most of what can fail does not, on most days.
pub(super) struct RandomWalk {
    generator: Pcg64Mcg,
    choices: Vec<usize>,
}

impl RandomWalk {
    /// The walk of this number for a seed.
    pub(super) fn new(seed: u64, number: u64) -> Self {
        let seed = seed.wrapping_mul(SEED_FACTOR).wrapping_add(number);
        RandomWalk {
            generator: Pcg64Mcg::seed_from_u64(seed),
            choices: Vec::new(),
        }
    }

    pub(super) fn into_choices(self) -> Vec<usize> {
        self.choices
    }
}

impl Oracle for RandomWalk {
    fn choose(&mut self, _: ChoicePoint, options: usize, _: &dyn Fn() -> u64) -> Option<usize> {
        let choice = if self.generator.random_bool(FIRST_OPTION_PROBABILITY) {
            0
        } else {
            self.generator.random_range(0..options)
        };
        self.choices.push(choice);
        Some(choice)
    }
}
