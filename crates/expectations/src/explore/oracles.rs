//! Oracles that take the choices of a run: systematic search and random walk.

use quartzcleat_simulation::{ChoicePoint, Oracle};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;

/// Multiplier that spreads the kind of a choice over the bits of a state's fingerprint.
const CHOICE_POINT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Multiplier of seeds, so that the walks of adjacent seeds do not share generator seeds.
const SEED_FACTOR: u64 = 1_000_003;
/// Probability of taking the first option outright; otherwise all options, the first included, are equally likely.
const FIRST_OPTION_PROBABILITY: f64 = 0.5;

/// A choice and the number of options that it had.
#[derive(Clone, Copy, Debug)]
struct TakenChoice {
    choice: usize,
    options: usize,
}

/// An oracle that follows a prefix of choices, then takes first options.
///
/// Within the depth it stops the run at a state that was visited with at least as many choices left to the depth.
pub(super) struct SystematicSearch<'a> {
    prefix: &'a [usize],
    taken: Vec<TakenChoice>,
    depth: usize,
    /// The largest number of choices left to the depth at each visited state, by fingerprint.
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

    /// Returns the choices that the run took.
    pub(super) fn choices(&self) -> Vec<usize> {
        self.taken.iter().map(|taken| taken.choice).collect()
    }

    /// Returns the prefix of the next path, or `None` if no path is left: the last choice within the depth that has an
    /// untried option takes it.
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

    /// Marks a state as visited with `left` choices left. Returns whether it was visited before with at least as many.
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
            // The kind of choice is part of the state, because choices of two kinds may follow at the same time.
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

/// An oracle that chooses at random. The first option is the most likely, because it is the normal outcome and faults
/// are rare.
pub(super) struct RandomWalk {
    generator: Pcg64Mcg,
    choices: Vec<usize>,
}

impl RandomWalk {
    /// Returns the walk with this number for a seed.
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
