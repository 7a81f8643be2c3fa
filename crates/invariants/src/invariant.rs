//! The invariants of a run, the limits that they check against, and violations.

use quartzcleat_decision::api::{
    Class, ClassIndex, DedupScope, Effect, Nanos, RequestId, Settings,
};

/// A property that must hold for every run, whatever the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Each received request gets exactly one final answer before its deadline.
    OneAnswer,
    /// At most one attempt of a request is in flight at a time, and the total number of attempts is capped.
    AttemptCap,
    /// A request that may have been executed is retried only as its class allows.
    SafeRepeats,
    /// No attempt is sent to a host that has been known to be draining or gone for longer than the grace period.
    Drains,
    /// No host is sent more work than it can execute while it is warming up.
    SlowStart,
    /// No request is answered as served unless a host executed it.
    Values,
}

impl Invariant {
    /// Returns the name of the invariant in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Invariant::OneAnswer => "one final answer in time",
            Invariant::AttemptCap => "one attempt at a time, within the cap",
            Invariant::SafeRepeats => "no repeat that its class forbids",
            Invariant::Drains => "nothing new to a draining node",
            Invariant::SlowStart => "no cold node tipped",
            Invariant::Values => "served only with what a node made",
        }
    }
}

/// A violation of an invariant by a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// When it was violated, in nanoseconds of the run's clock.
    pub at: Nanos,
    /// The request concerned; `None` if the violation concerns a host.
    pub request: Option<RequestId>,
    /// Human-readable description of what happened.
    pub description: String,
}

/// Rules for repeating requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// Whether a second execution is harmless, harmless with the same idempotency key, or harmful.
    pub effect: Effect,
    /// The set of hosts that recognise each other's idempotency keys.
    pub dedup_scope: DedupScope,
    /// How long hosts remember an idempotency key, in nanoseconds.
    pub dedup_window: Nanos,
}

impl ClassLimits {
    /// The strictest rules, used for a class that is not configured: no request may be repeated.
    pub const UNKNOWN_CLASS: ClassLimits = ClassLimits {
        effect: Effect::Unsafe,
        dedup_scope: DedupScope::Cell,
        dedup_window: 0,
    };
}

impl From<&Class> for ClassLimits {
    fn from(class: &Class) -> Self {
        ClassLimits {
            effect: class.effect,
            dedup_scope: class.dedup_scope,
            dedup_window: class.dedup_window,
        }
    }
}

/// The limits that the invariants check against. They come from the platform, not from the settings under test, so
/// that a configuration that permits too much does not loosen the invariant that it violates.
#[derive(Clone, Debug, PartialEq)]
pub struct InvariantLimits {
    /// Rules for repeating requests, by [`ClassIndex`].
    pub classes: Vec<ClassLimits>,
    /// Maximum number of attempts of one request; at least 1.
    pub max_attempts: u32,
    /// How long a limiter may still send attempts to a host after learning of its drain, in nanoseconds.
    pub drain_grace: Nanos,
    /// How long after the deadline an answer still counts as in time, in nanoseconds.
    pub answer_grace: Nanos,
    /// Tolerance in nanoseconds, added to each time limit, because timestamps taken on real sockets are not exact.
    pub time_tolerance: Nanos,
}

impl InvariantLimits {
    /// Takes the limits from `settings`, with a tolerance in nanoseconds for inexact timestamps.
    #[must_use]
    pub fn from_settings(settings: &Settings, time_tolerance: Nanos) -> Self {
        InvariantLimits {
            classes: settings.classes.iter().map(ClassLimits::from).collect(),
            max_attempts: settings.attempts.max_per_request.max(1),
            drain_grace: settings.grace.drain,
            answer_grace: settings.grace.answer,
            time_tolerance,
        }
    }

    /// Returns the rules for repeating requests of a class; [`ClassLimits::UNKNOWN_CLASS`] if it is not configured.
    #[must_use]
    pub fn class(&self, class: ClassIndex) -> ClassLimits {
        self.classes
            .get(class.as_usize())
            .copied()
            .unwrap_or(ClassLimits::UNKNOWN_CLASS)
    }
}
