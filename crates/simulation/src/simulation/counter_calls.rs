//! Counter calls of the limiters: sending, execution and replies.

use super::{Simulation, Stopped};
use crate::counter::CounterReply;
use crate::event_queue::{CounterCall, Event, LimiterIncarnation};
use crate::oracle::ChoicePoint;
use crate::scenario::CounterCallOutcome;
use quartzcleat_decision::api::{LimiterIndex, Nanos, Outcome};

impl Simulation<'_> {
    /// Sends a call of a limiter to the counter, and schedules the end of the call at its timeout.
    pub(super) fn call_counter(
        &mut self,
        limiter: LimiterIndex,
        name: String,
        amount: f64,
        keep_for: Nanos,
    ) -> Result<(), Stopped> {
        let number = self.limiters[limiter.as_usize()].start_call(&name, self.now);
        let timeout = self.scenario.settings.counter.timeout.max(1);
        let outcomes = &self.scenario.counter.call_outcomes;
        let choice = self.choose_numbered(
            ChoicePoint::CounterCall,
            number as usize - 1,
            outcomes.len(),
        )?;
        let outcome = outcomes
            .get(choice)
            .copied()
            .unwrap_or(CounterCallOutcome::Normal);
        let delay = self.network.delay_to_counter(&mut self.variation);
        let caller = self.incarnation(limiter);
        self.schedule_failed_call(timeout, caller, number, Outcome::Timeout);
        match outcome {
            CounterCallOutcome::Normal => {
                let call = CounterCall {
                    caller,
                    number,
                    name,
                    amount,
                    keep_for,
                };
                self.schedule(delay, Event::CounterCallArrives(call));
            }
            CounterCallOutcome::RequestLost => {}
            CounterCallOutcome::AnswerLost => {
                self.counter.execute(&name, amount, keep_for, self.now);
            }
            CounterCallOutcome::Rejected => {
                self.schedule_failed_call(2 * delay, caller, number, Outcome::Rejected);
            }
        }
        Ok(())
    }

    fn schedule_failed_call(
        &mut self,
        delay: Nanos,
        caller: LimiterIncarnation,
        number: u64,
        outcome: Outcome,
    ) {
        let end = Event::CounterCallEnds {
            caller,
            number,
            outcome,
            total: 0.0,
        };
        self.schedule(delay, end);
    }

    /// Queues a call that has reached the counter.
    pub(super) fn receive_counter_call(&mut self, call: CounterCall) {
        if let Some(done) = self.counter.enqueue(&call.name, self.now) {
            self.schedule(done - self.now, Event::CounterCallExecutes(call));
        }
    }

    /// Executes a call at the counter and sends the reply.
    pub(super) fn execute_counter_call(&mut self, call: &CounterCall) {
        let reply = self
            .counter
            .execute(&call.name, call.amount, call.keep_for, self.now);
        if reply.outcome == Outcome::Timeout {
            return;
        }
        let delay = self.network.delay_to_counter(&mut self.variation);
        let end = Event::CounterCallEnds {
            caller: call.caller,
            number: call.number,
            outcome: reply.outcome,
            total: reply.total,
        };
        self.schedule(delay, end);
    }

    /// Reports the end of a call to the limiter that made it, unless it has died or restarted since.
    pub(super) fn end_counter_call(
        &mut self,
        caller: LimiterIncarnation,
        number: u64,
        outcome: Outcome,
        total: f64,
    ) -> Result<(), Stopped> {
        if !self.is_current(caller) {
            return Ok(());
        }
        let reply = CounterReply { outcome, total };
        let events = self.limiters[caller.limiter.as_usize()].end_call(number, reply, self.now);
        for event in events {
            self.handle(caller.limiter, event)?;
        }
        Ok(())
    }
}
