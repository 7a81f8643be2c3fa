//! The transitions of the model: the events that are possible in a state, and the state after an event.

use crate::state::{Event, InjectedFault, ModelState, TICK};
use quartzcleat_lease::*;

/// The lease timing of the model. Clock rates may differ by a quarter, because the model's time advances in coarse
/// ticks.
pub(crate) const TIMING: LeaseTiming = LeaseTiming {
    duration: 4_000,
    drift_per_mille: 250,
};

/// Bounds on the states that the search explores.
pub(crate) struct Limits {
    /// The last tick, up to which time advances.
    pub end: u64,
    /// The maximum number of rounds that the proposers begin in total.
    pub rounds: u32,
    /// The maximum number of operations that start in total.
    pub operations: u32,
}

pub(crate) struct Model {
    pub acceptor_count: usize,
    pub fault: InjectedFault,
    pub limits: Limits,
}

fn other_proposer(proposer: usize) -> usize {
    1 - proposer
}

impl Model {
    pub(crate) fn events(&self, state: &ModelState) -> Vec<Event> {
        let mut events = Vec::new();
        if state.time < self.limits.end {
            events.push(Event::AdvanceTime);
        }
        for proposer in 0..state.proposers.len() {
            self.add_proposer_events(state, proposer, &mut events);
        }
        self.add_request_events(state, &mut events);
        let operations = state.operations_in_flight.iter();
        events.extend(operations.map(|token| Event::OperationArrives { token: *token }));
        if state.restarts < 1 {
            let acceptors = 0..self.acceptor_count;
            events.extend(acceptors.map(|acceptor| Event::RestartAcceptor { acceptor }));
            events.push(Event::RestartProposer { proposer: 0 });
        }
        let can_set_back = state.set_back == 0 && state.time >= 2;
        if self.fault == InjectedFault::ClockSetBack && can_set_back {
            events.push(Event::SetClockBack);
        }
        events
    }

    /// Returns the state after an event, or `None` if the event changes nothing.
    pub(crate) fn apply(&self, before: &ModelState, event: Event) -> Option<ModelState> {
        let mut state = before.clone();
        match event {
            Event::AdvanceTime => state.time += 1,
            Event::BeginRound { proposer } => begin_round(&mut state, proposer),
            Event::DeliverRequest {
                acceptor,
                request,
                response_arrives,
            } => {
                let response = self.deliver_request(&mut state, acceptor, &request);
                if let Some(response) = response.filter(|_| response_arrives) {
                    deliver_response(&mut state, acceptor, &response);
                }
            }
            Event::StartOperation { proposer } => self.start_operation(&mut state, proposer)?,
            Event::OperationArrives { token } => self.operation_arrives(&mut state, token),
            Event::RestartAcceptor { acceptor } => self.restart_acceptor(&mut state, acceptor),
            Event::RestartProposer { proposer } => self.restart_proposer(&mut state, proposer),
            Event::Release { proposer } => self.release(&mut state, proposer),
            Event::SetClockBack => state.set_back = 2 * TICK,
        }
        (state != *before).then_some(state)
    }

    fn add_proposer_events(&self, state: &ModelState, proposer: usize, events: &mut Vec<Event>) {
        let now = state.proposer_clock(proposer);
        let is_past_deadline = now >= state.proposers[proposer].next_deadline();
        if is_past_deadline && state.rounds < self.limits.rounds {
            events.push(Event::BeginRound { proposer });
        }
        let held = state.guard(proposer).is_some();
        let unguarded = self.fault == InjectedFault::OperationWithoutGuard
            && state.proposers[proposer].guard(0).is_some();
        if state.operations < self.limits.operations && (held || unguarded) {
            events.push(Event::StartOperation { proposer });
        }
        if held {
            events.push(Event::Release { proposer });
        }
    }

    fn add_request_events(&self, state: &ModelState, events: &mut Vec<Event>) {
        for request in &state.requests {
            for acceptor in 0..self.acceptor_count {
                for response_arrives in [true, false] {
                    events.push(Event::DeliverRequest {
                        acceptor,
                        request: request.clone(),
                        response_arrives,
                    });
                }
            }
        }
    }

    fn deliver_request(
        &self,
        state: &mut ModelState,
        acceptor: usize,
        request: &Message,
    ) -> Option<Message> {
        let now = state.acceptor_clock(acceptor);
        let before = state.acceptors[acceptor].clone();
        let mut body = state.acceptors[acceptor].handle(now, request)?;
        if request.body == Body::Propose {
            match self.fault {
                InjectedFault::AcceptedProposalNotStored => state.acceptors[acceptor] = before,
                InjectedFault::PromiseIgnored => body = Body::Accepted,
                _ => {}
            }
        }
        Some(Message {
            body,
            ..request.clone()
        })
    }

    fn start_operation(&self, state: &mut ModelState, proposer: usize) -> Option<()> {
        let now = match self.fault {
            InjectedFault::OperationWithoutGuard => 0,
            _ => state.proposer_clock(proposer),
        };
        let operation = state.proposers[proposer].guard(now)?.permit(now, 1)?;
        state.two_holders |= state.guard(other_proposer(proposer)).is_some();
        state.operations += 1;
        state.operations_in_flight.insert(operation.token);
        Some(())
    }

    fn operation_arrives(&self, state: &mut ModelState, token: FencingToken) {
        let mut target = match self.fault {
            InjectedFault::TokenUnchecked => HighestToken::default(),
            _ => state.target,
        };
        if target.admit(token).is_ok() {
            state.stale_token_admitted |= token < state.last_admitted;
            state.target = target;
            state.last_admitted = token;
        }
    }

    fn restart_acceptor(&self, state: &mut ModelState, acceptor: usize) {
        let skipped_silence = match self.fault {
            InjectedFault::NoRestartSilence => TIMING.restart_silence(),
            _ => 0,
        };
        let now = state.acceptor_clock(acceptor);
        state.acceptors[acceptor] = Acceptor::new(TIMING, now - skipped_silence);
        state.restarts += 1;
    }

    fn restart_proposer(&self, state: &mut ModelState, proposer: usize) {
        let now = state.proposer_clock(proposer);
        state.proposers[proposer] = self.proposer(proposer, 2, now);
        state.restarts += 1;
    }

    fn release(&self, state: &mut ModelState, proposer: usize) {
        let now = state.proposer_clock(proposer);
        let before = state.proposers[proposer].clone();
        state
            .requests
            .extend(state.proposers[proposer].release(now));
        if self.fault == InjectedFault::OperationsAfterRelease {
            state.proposers[proposer] = before;
        }
    }
}

fn begin_round(state: &mut ModelState, proposer: usize) {
    let now = state.proposer_clock(proposer);
    state.requests.extend(state.proposers[proposer].tick(now));
    state.rounds += 1;
}

fn deliver_response(state: &mut ModelState, acceptor: usize, response: &Message) {
    let proposer = response.ballot.proposer as usize;
    let now = state.proposer_clock(proposer);
    let held_before = state.guard(proposer).is_some();
    let request = state.proposers[proposer].handle_response(now, acceptor as u32, response);
    state.requests.extend(request);
    let acquired = !held_before && state.guard(proposer).is_some();
    if !acquired {
        return;
    }
    state.two_holders |= state.guard(other_proposer(proposer)).is_some();
    let last = state.last_admitted;
    state.takeover |= last.round > 0 && last.proposer as usize != proposer;
}
