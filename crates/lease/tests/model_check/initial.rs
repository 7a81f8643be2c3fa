//! The initial states of the search.

use crate::model::{Model, TIMING};
use crate::state::{ClockRates, Event, InjectedFault, ModelState, CLOCK_ORIGIN};
use quartzcleat_lease::*;
use std::collections::BTreeSet;

const TASK: &str = "t";
const PROPOSERS: usize = 2;

impl Model {
    /// Returns a state with a free lease and one in which the first proposer holds it, each for two sets of clock
    /// rates.
    pub(crate) fn initial_states(&self) -> Vec<ModelState> {
        let free = self.free_lease_states();
        let held = free.clone().map(|state| self.acquire_by_first(state));
        free.into_iter().chain(held).collect()
    }

    /// Returns a free lease for the worst clock rates, a slow first proposer and fast acceptors, and for equal clock
    /// rates.
    fn free_lease_states(&self) -> [ModelState; 2] {
        let worst = ClockRates {
            proposers: vec![-1, 1],
            acceptors: vec![1; self.acceptor_count],
        };
        let equal = ClockRates {
            proposers: vec![0, 0],
            acceptors: vec![0; self.acceptor_count],
        };
        [worst, equal].map(|rates| self.free_lease_state(rates))
    }

    fn free_lease_state(&self, rates: ClockRates) -> ModelState {
        // The silence after the acceptors' start is over.
        let acceptors_started_at = CLOCK_ORIGIN - TIMING.restart_silence();
        let acceptor = Acceptor::new(TIMING, acceptors_started_at);
        ModelState {
            time: 0,
            set_back: 0,
            acceptors: vec![acceptor; self.acceptor_count],
            proposers: (0..PROPOSERS)
                .map(|proposer| self.proposer(proposer, 1, CLOCK_ORIGIN))
                .collect(),
            rates,
            requests: BTreeSet::new(),
            operations_in_flight: BTreeSet::new(),
            target: HighestToken::default(),
            last_admitted: FencingToken::default(),
            restarts: 0,
            operations: 0,
            rounds: 0,
            two_holders: false,
            stale_token_admitted: false,
            takeover: false,
        }
    }

    /// Lets the first proposer acquire the lease from the first two acceptors.
    fn acquire_by_first(&self, state: ModelState) -> ModelState {
        let begin = Event::BeginRound { proposer: 0 };
        let mut state = self.apply(&state, begin).unwrap_or(state);
        for acceptor in [0, 1, 0, 1] {
            let Some(request) = state.requests.last().cloned() else {
                continue;
            };
            let delivery = Event::DeliverRequest {
                acceptor,
                request,
                response_arrives: true,
            };
            state = self.apply(&state, delivery).unwrap_or(state);
        }
        assert!(
            state.guard(0).is_some(),
            "two acceptors of three are a majority"
        );
        state
    }

    pub(crate) fn proposer(&self, node: usize, incarnation: u32, now: Nanos) -> Proposer {
        let timing = match self.fault {
            InjectedFault::NoDriftBound => LeaseTiming {
                drift_per_mille: 0,
                ..TIMING
            },
            InjectedFault::HolderValidityTooLong => LeaseTiming {
                duration: TIMING.duration * 2,
                ..TIMING
            },
            _ => TIMING,
        };
        let acceptor_count = match self.fault {
            InjectedFault::SmallQuorum => 1,
            _ => self.acceptor_count,
        };
        let config = ProposerConfig {
            timing,
            task: TASK.to_owned(),
            node_id: node as u32,
            incarnation,
            acceptor_count,
            initial_round: 0,
        };
        Proposer::new(config, now)
    }
}
