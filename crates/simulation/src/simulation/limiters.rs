//! The limiters' decision engines: delivers events to them and executes their actions.

use super::{Simulation, Stopped};
use crate::event_queue::{Event, LimiterIncarnation};
use crate::host::AttemptKey;
use crate::limiter::OpenRequest;
use crate::scenario::ClientRequest;
use quartzcleat_decision::api::{
    self, Action, AttemptIndex, CustomerId, LimiterIndex, Outcome, RequestId, Timer,
};
use quartzcleat_invariants::{Answer, Fact};
use std::collections::VecDeque;

impl Simulation<'_> {
    /// Passes an event to a limiter's engine and executes the resulting actions. Events that the actions cause
    /// immediately are handled next.
    pub(super) fn handle(
        &mut self,
        limiter: LimiterIndex,
        event: api::Event,
    ) -> Result<(), Stopped> {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(mut event) = events.pop_front() {
            let state = &mut self.limiters[limiter.as_usize()];
            if let api::Event::AttemptDone {
                id,
                is_request_finished,
                ..
            } = &mut event
            {
                *is_request_finished |= !state.open_requests.contains_key(id);
            }
            state.engine.handle(self.now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.execute_action(limiter, action, &mut events)?;
            }
        }
        Ok(())
    }

    fn execute_action(
        &mut self,
        limiter: LimiterIndex,
        action: Action,
        events: &mut VecDeque<api::Event>,
    ) -> Result<(), Stopped> {
        match action {
            Action::Attempt {
                id, host, timeout, ..
            } => self.send_attempt(limiter, id, host, timeout, events)?,
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(limiter, id, attempt),
            Action::Reject { id, retry_after } => {
                self.answer(limiter, id, Answer::Rejected(retry_after));
            }
            Action::Fail { id } => self.answer(limiter, id, Answer::Failed),
            Action::SetTimer { timer, after } => {
                let limiter = self.incarnation(limiter);
                self.schedule(after, Event::Timer { limiter, timer });
            }
            Action::Count {
                name,
                amount,
                keep_for,
            } => self.call_counter(limiter, name, amount, keep_for)?,
            Action::Log { event } => {
                let limiter = self.scenario.processes.limiter(limiter);
                self.record(Fact::Note(format!("{limiter} logs: {event}")));
            }
            Action::HealthCheck { .. }
            | Action::CloseIdle { .. }
            | Action::MessagePeers { .. }
            | Action::Watch { .. }
            | Action::FetchHosts => {}
        }
        Ok(())
    }

    fn cancel_attempt(&mut self, limiter: LimiterIndex, request: RequestId, attempt: AttemptIndex) {
        let Some(in_flight) = self.limiters[limiter.as_usize()].attempt(request, attempt) else {
            return;
        };
        let attempt = AttemptKey {
            limiter,
            request,
            attempt,
        };
        self.hosts[in_flight.host.0].cancel(attempt);
        let outcome = Outcome::Cancelled;
        self.schedule(0, Event::AttemptEnds { attempt, outcome });
    }

    pub(super) fn fire_timer(
        &mut self,
        limiter: LimiterIncarnation,
        timer: Timer,
    ) -> Result<(), Stopped> {
        if self.is_current(limiter) {
            self.handle(limiter.limiter, api::Event::Timer { timer })?;
        }
        Ok(())
    }

    /// Fails a request that is still unanswered shortly before its deadline.
    pub(super) fn fail_unanswered(
        &mut self,
        limiter: LimiterIncarnation,
        request: RequestId,
    ) -> Result<(), Stopped> {
        let index = limiter.limiter;
        let is_open = self.limiters[index.as_usize()]
            .open_requests
            .contains_key(&request);
        if self.is_current(limiter) && is_open {
            self.answer(index, request, Answer::Failed);
            self.handle(index, api::Event::Abandoned { id: request })?;
        }
        Ok(())
    }

    /// Registers a request at its limiter and passes it to the engine.
    pub(super) fn receive_request(
        &mut self,
        id: RequestId,
        request: &ClientRequest,
    ) -> Result<(), Stopped> {
        let deadline = self.now + request.timeout;
        self.record(Fact::RequestReceived {
            request: id,
            limiter: request.limiter,
            operation: request.operation,
            class: request.class,
            partner: request.partner,
            units: request.units,
            deadline,
        });
        let open = OpenRequest {
            class: request.class,
            operation: request.operation,
            deadline,
            attempts: 0,
        };
        self.limiters[request.limiter.as_usize()]
            .open_requests
            .insert(id, open);
        let answer_due = Event::AnswerDue {
            limiter: self.incarnation(request.limiter),
            request: id,
        };
        self.schedule(
            request
                .timeout
                .saturating_sub(super::clients::ANSWER_MARGIN),
            answer_due,
        );
        let event = api::Event::Request {
            id,
            class: request.class,
            plan: request.plan,
            customer: CustomerId(request.partner.0 as u64 + 1),
            budget: request.timeout,
            units: request.units,
            spread: request.limiter_set.count,
            first_limiter: request.limiter_set.first,
            flags: 0,
        };
        self.handle(request.limiter, event)
    }
}
