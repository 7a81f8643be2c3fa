//! The actions of a decision engine, and the questions that tests have about them.

use quartzcleat_decision::api::{Action, HostId, Nanos, RequestId, Timer};
use std::ops::{Deref, DerefMut};

/// The actions of one event, in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions(pub Vec<Action>);

impl Deref for Actions {
    type Target = Vec<Action>;

    fn deref(&self) -> &Vec<Action> {
        &self.0
    }
}

impl DerefMut for Actions {
    fn deref_mut(&mut self) -> &mut Vec<Action> {
        &mut self.0
    }
}

impl IntoIterator for Actions {
    type Item = Action;
    type IntoIter = std::vec::IntoIter<Action>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

/// An attempt that an engine ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedAttempt {
    /// The request.
    pub id: RequestId,
    /// The host that it goes to.
    pub host: HostId,
    /// It has to be sent within this time.
    pub begins_within: Nanos,
}

/// A call to the counter that an engine ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterCall {
    /// The name of the count.
    pub name: String,
    /// The amount to add.
    pub amount: f64,
}

impl CounterCall {
    /// A call to add an amount.
    #[must_use]
    pub fn new(name: &str, amount: f64) -> Self {
        CounterCall {
            name: name.to_owned(),
            amount,
        }
    }
}

impl Actions {
    /// All attempts.
    pub fn attempts(&self) -> impl Iterator<Item = OrderedAttempt> + '_ {
        self.iter().filter_map(|action| match action {
            Action::Attempt {
                id,
                host,
                begins_within,
                ..
            } => Some(OrderedAttempt {
                id: *id,
                host: *host,
                begins_within: *begins_within,
            }),
            _ => None,
        })
    }

    /// The first attempt.
    #[must_use]
    pub fn attempt(&self) -> Option<OrderedAttempt> {
        self.attempts().next()
    }

    /// The request of the first attempt.
    #[must_use]
    pub fn attempted_request(&self) -> Option<RequestId> {
        self.attempt().map(|attempt| attempt.id)
    }

    /// The host of the first attempt.
    #[must_use]
    pub fn attempted_host(&self) -> Option<HostId> {
        self.attempt().map(|attempt| attempt.host)
    }

    /// The first call to the counter.
    #[must_use]
    pub fn counter_call(&self) -> Option<CounterCall> {
        self.iter().find_map(|action| match action {
            Action::Count { name, amount, .. } => Some(CounterCall::new(name, *amount)),
            _ => None,
        })
    }

    /// The `retry_after` of a request that is rejected.
    #[must_use]
    pub fn rejection(&self, request: RequestId) -> Option<Nanos> {
        self.iter().find_map(|action| match action {
            Action::Reject { id, retry_after } if *id == request => Some(*retry_after),
            _ => None,
        })
    }

    /// Whether a request is rejected.
    #[must_use]
    pub fn is_rejected(&self, request: RequestId) -> bool {
        self.rejection(request).is_some()
    }

    /// Whether a request fails.
    #[must_use]
    pub fn is_failed(&self, request: RequestId) -> bool {
        self.contains(&Action::Fail { id: request })
    }

    /// The timers that are set.
    pub fn timers(&self) -> impl Iterator<Item = Timer> + '_ {
        self.iter().filter_map(|action| match action {
            Action::SetTimer { timer, .. } => Some(*timer),
            _ => None,
        })
    }

    /// The timer of a request that waits for the counter.
    #[must_use]
    pub fn counter_wait(&self) -> Option<Timer> {
        self.timers()
            .find(|timer| matches!(timer, Timer::CounterWait { .. }))
    }

    /// The timer of a request's latency objective.
    #[must_use]
    pub fn latency_objective(&self) -> Option<Timer> {
        self.timers()
            .find(|timer| matches!(timer, Timer::LatencyObjective { .. }))
    }
}
