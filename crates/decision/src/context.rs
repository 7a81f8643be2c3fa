//! Inputs and output shared by all modules while one event is handled.

use crate::api::{Action, Actions, Class, ClassIndex, Nanos, Plan, PlanIndex, Settings, Timer};

/// Current time, settings, random generator and action buffer for the handling of one event. The engine
/// creates one per event, so that no module keeps its own copy of the time or of the settings.
pub(crate) struct Context<'a> {
    now: Nanos,
    settings: &'a Settings,
    random: &'a mut fastrand::Rng,
    actions: &'a mut Actions,
}

impl<'a> Context<'a> {
    pub(crate) fn new(
        now: Nanos,
        settings: &'a Settings,
        random: &'a mut fastrand::Rng,
        actions: &'a mut Actions,
    ) -> Self {
        Context {
            now,
            settings,
            random,
            actions,
        }
    }

    /// Returns the time of the event.
    pub(crate) fn now(&self) -> Nanos {
        self.now
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> &'a Settings {
        self.settings
    }

    /// Returns the settings of a class. Panics if the index is out of range.
    pub(crate) fn class(&self, class: ClassIndex) -> &'a Class {
        &self.settings.classes[class.as_usize()]
    }

    /// Returns the settings of a plan. Panics if the index is out of range.
    pub(crate) fn plan(&self, plan: PlanIndex) -> &'a Plan {
        &self.settings.plans[plan.as_usize()]
    }

    /// Returns a random number in 0..1.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.random.f64()
    }

    /// Appends an action to the output of the event.
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Requests a timer that fires `after` nanoseconds from now.
    pub(crate) fn set_timer(&mut self, timer: Timer, after: Nanos) {
        self.push(Action::SetTimer { timer, after });
    }
}
