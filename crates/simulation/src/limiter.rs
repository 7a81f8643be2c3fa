//! A limiter: the real decision module, and round it what the program on sockets keeps for it: what is open, what is
//! out, and the order of the counter's answers.

use quartzcleat_decision::api::*;
use quartzcleat_decision::DecisionEngine;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
pub(crate) struct Open {
    pub(crate) class: usize,
    pub(crate) operation: u64,
    pub(crate) deadline: Nanos,
    pub(crate) attempts: u32,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Out {
    pub(crate) host: usize,
    pub(crate) began: Nanos,
    pub(crate) class: usize,
    pub(crate) operation: u64,
}

#[derive(Clone, Debug)]
struct Call {
    number: u64,
    name: String,
    began: Nanos,
    end: Option<(Outcome, f64, Nanos)>,
}

#[derive(Debug)]
pub(crate) struct Limiter {
    pub(crate) gateway: DecisionEngine,
    pub(crate) up: bool,
    /// Which start this is: what belongs to an earlier one is void.
    pub(crate) epoch: u32,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) out: BTreeMap<(RequestId, u32), Out>,
    calls: VecDeque<Call>,
    number: u64,
}

impl Limiter {
    pub(crate) fn new(settings: Settings, seed: u64, now: Nanos, epoch: u32) -> Self {
        Limiter {
            gateway: DecisionEngine::new(settings, seed, now),
            up: true,
            epoch,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            calls: VecDeque::new(),
            number: 0,
        }
    }

    /// Notes a call to the counter; its number.
    pub(crate) fn call(&mut self, name: &str, now: Nanos) -> u64 {
        self.number += 1;
        self.calls.push_back(Call {
            number: self.number,
            name: name.to_owned(),
            began: now,
            end: None,
        });
        self.number
    }

    /// A call has come to its end; what the module may be told by now, in the order of the calls.
    pub(crate) fn called(
        &mut self,
        number: u64,
        outcome: Outcome,
        total: f64,
        now: Nanos,
    ) -> Vec<Event> {
        if let Some(call) = self.calls.iter_mut().find(|call| call.number == number) {
            call.end.get_or_insert((outcome, total, now - call.began));
        }
        let mut events = Vec::new();
        while let Some((outcome, total, elapsed)) = self.calls.front().and_then(|call| call.end) {
            if let Some(call) = self.calls.pop_front() {
                events.push(Event::CounterReplied {
                    name: call.name,
                    outcome,
                    total,
                    elapsed,
                });
            }
        }
        events
    }

    /// Begins an attempt. `Err` is its number where it must not be made.
    pub(crate) fn begin(
        &mut self,
        id: RequestId,
        host: usize,
        now: Nanos,
        most: u32,
    ) -> Result<(u32, Open), u32> {
        let Some(open) = self.open.get_mut(&id) else {
            return Err(0);
        };
        let attempt = open.attempts;
        open.attempts += 1;
        if attempt >= most || now >= open.deadline {
            return Err(attempt);
        }
        let out = Out {
            host,
            began: now,
            class: open.class,
            operation: open.operation,
        };
        self.out.insert((id, attempt), out);
        Ok((attempt, open.clone()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_counters_answers_come_in_the_order_of_the_calls() {
        let mut limiter = Limiter::new(Settings::default(), 1, 0, 0);
        let (one, two) = (limiter.call("a", 0), limiter.call("b", 1));
        assert!(limiter.called(two, Outcome::Good, 2.0, 5).is_empty());
        let told = limiter.called(one, Outcome::Timeout, 0.0, 9);
        let names: Vec<_> = told
            .iter()
            .map(|event| match event {
                Event::CounterReplied {
                    name,
                    outcome,
                    elapsed,
                    ..
                } => (name.as_str(), *outcome, *elapsed),
                _ => ("", Outcome::Error, 0),
            })
            .collect();
        assert_eq!(names, [("a", Outcome::Timeout, 9), ("b", Outcome::Good, 4)]);
        assert!(
            limiter.called(one, Outcome::Good, 1.0, 10).is_empty(),
            "each ends once"
        );
    }

    #[test]
    fn attempts_keep_to_cap_and_deadline() {
        let mut limiter = Limiter::new(Settings::default(), 1, 0, 0);
        let id = RequestId(1);
        limiter.open.insert(
            id,
            Open {
                class: 0,
                operation: 1,
                deadline: 100,
                attempts: 0,
            },
        );
        assert_eq!(limiter.begin(id, 0, 5, 2).map(|begun| begun.0), Ok(0));
        assert_eq!(limiter.begin(id, 0, 100, 2).map(|begun| begun.0), Err(1));
        assert_eq!(limiter.begin(id, 0, 5, 2).map(|begun| begun.0), Err(2));
        assert_eq!(
            limiter.begin(RequestId(2), 0, 5, 2).map(|begun| begun.0),
            Err(0)
        );
    }
}
