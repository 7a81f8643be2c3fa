//! The invariants, their limits, and violations.

use quartzcleat_decision::api::{
    Class, ClassIndex, DedupScope, Effect, Nanos, RequestId, Settings,
};

/// A statement that holds for every run with any configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Each request received gets exactly one final answer, before its client gives up.
    OneAnswer,
    /// At most one attempt of a request is in flight, and the number of attempts is capped.
    AttemptCap,
    /// A request that may have been executed is sent again only as its class allows.
    SafeRepeats,
    /// No new request goes to a host that is draining or gone, once the grace period is over.
    Drains,
    /// No host that is warming up is sent more than it can do.
    SlowStart,
    /// No client is served a value that no host made.
    Values,
}

impl Invariant {
    /// The invariant's name in reports.
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

/// An invariant that a run violated, when, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When it was violated.
    pub at: Nanos,
    /// The request, where one is concerned.
    pub request: Option<RequestId>,
    /// The description of the violation for people.
    pub description: String,
}

/// How requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// Whether a second execution is harmless.
    pub effect: Effect,
    /// The hosts that recognise each other's idempotency keys.
    pub dedup_scope: DedupScope,
    /// How long they remember a key.
    pub dedup_window: Nanos,
}

impl ClassLimits {
    /// For a class that is not configured: nothing may be repeated.
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

/// The limits of the invariants. They are the platform's, not those of the settings under test: a
/// configuration that grants too much must not loosen the invariant that it violates.
#[derive(Clone, Debug, PartialEq)]
pub struct InvariantLimits {
    /// How requests may be repeated, by class index.
    pub classes: Vec<ClassLimits>,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// How long after a drain became known new requests may still reach the host.
    pub drain_grace: Nanos,
    /// How long after its deadline an answer still counts as in time.
    pub answer_grace: Nanos,
    /// Added to each time limit. On sockets the observer's times are not exact.
    pub time_tolerance: Nanos,
}

impl InvariantLimits {
    /// The limits that settings state.
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

    /// How requests of a class may be repeated.
    #[must_use]
    pub fn class(&self, class: ClassIndex) -> ClassLimits {
        self.classes
            .get(class.as_usize())
            .copied()
            .unwrap_or(ClassLimits::UNKNOWN_CLASS)
    }
}
