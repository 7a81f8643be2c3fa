//! Search of the model's states: exhaustively up to a depth, and by random walks beyond it.

use crate::model::{Limits, Model};
use crate::state::{Event, InjectedFault, ModelState};
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher as _};

const WALK_STEPS: usize = 60;

pub(crate) struct ExhaustiveResult {
    /// Whether a state that violates an invariant was reached.
    pub violated: bool,
    /// The number of distinct states that were reached.
    pub states: usize,
}

/// The walk and its step that violated an invariant; `seed` reproduces the walk.
#[derive(Debug, PartialEq)]
pub(crate) struct Violation {
    pub seed: u64,
    pub step: usize,
}

pub(crate) struct WalkResult {
    /// The first violation, or `None` if no walk violated an invariant.
    pub violation: Option<Violation>,
    /// The number of completed walks in which another proposer acquired the lease after an operation of a holder.
    pub takeovers: usize,
}

/// Explores every order of up to `depth` events, from a free lease and from one that is held.
pub(crate) fn exhaustive(fault: InjectedFault, depth: usize) -> ExhaustiveResult {
    let model = Model {
        acceptor_count: 3,
        fault,
        limits: Limits {
            end: 6,
            rounds: 3,
            operations: 2,
        },
    };
    let mut frontier = model.initial_states();
    let mut seen: HashSet<u64> = frontier.iter().map(hash_of).collect();
    for _ in 0..depth {
        for state in std::mem::take(&mut frontier) {
            for event in model.events(&state) {
                let Some(next) = model.apply(&state, event) else {
                    continue;
                };
                if next.is_violated() {
                    return ExhaustiveResult {
                        violated: true,
                        states: seen.len(),
                    };
                }
                if seen.insert(hash_of(&next)) {
                    frontier.push(next);
                }
            }
        }
    }
    ExhaustiveResult {
        violated: false,
        states: seen.len(),
    }
}

fn hash_of(state: &ModelState) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Runs random walks with the seeds from 0 to `walks - 1` until one violates an invariant.
pub(crate) fn random_walks(fault: InjectedFault, walks: u64) -> WalkResult {
    let model = Model {
        acceptor_count: 3,
        fault,
        limits: Limits {
            end: 9,
            rounds: 5,
            operations: 6,
        },
    };
    let mut takeovers = 0;
    for seed in 0..walks {
        match random_walk(&model, seed) {
            WalkEnd::Violated { step } => {
                return WalkResult {
                    violation: Some(Violation { seed, step }),
                    takeovers,
                }
            }
            WalkEnd::Finished { takeover: true } => takeovers += 1,
            WalkEnd::Finished { takeover: false } | WalkEnd::Stuck => {}
        }
    }
    WalkResult {
        violation: None,
        takeovers,
    }
}

enum WalkEnd {
    Violated {
        step: usize,
    },
    Finished {
        takeover: bool,
    },
    /// No event was possible.
    Stuck,
}

fn random_walk(model: &Model, seed: u64) -> WalkEnd {
    let mut rng = fastrand::Rng::with_seed(seed);
    let initial_states = model.initial_states();
    let mut state = initial_states[rng.usize(..initial_states.len())].clone();
    for step in 0..WALK_STEPS {
        let mut events = model.events(&state);
        // Every other walk excludes restarts and releases, so that it reaches states that only the passage of time
        // leads to.
        if seed % 2 == 1 {
            events.retain(|event| !event.is_restart_or_release());
        }
        let Some(event) = choose_event(&state, &events, &mut rng) else {
            return WalkEnd::Stuck;
        };
        state = model.apply(&state, event).unwrap_or(state);
        if state.is_violated() {
            return WalkEnd::Violated { step };
        }
    }
    WalkEnd::Finished {
        takeover: state.takeover,
    }
}

/// Chooses a delivery of the latest request, which is the greatest in the order of messages, with a probability of one
/// half, and any event otherwise. Walks that choose uniformly hardly ever acquire a lease.
fn choose_event(state: &ModelState, events: &[Event], rng: &mut fastrand::Rng) -> Option<Event> {
    let latest_request = state.requests.last();
    let deliveries: Vec<&Event> = events
        .iter()
        .filter(|event| event.delivers_with_response(latest_request))
        .collect();
    if !deliveries.is_empty() && rng.bool() {
        rng.choice(deliveries).cloned()
    } else {
        rng.choice(events).cloned()
    }
}
