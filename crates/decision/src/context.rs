//! What the handling of one event needs beside the state of the parts.

use crate::api::{Action, Actions, Class, ClassIndex, Nanos, Plan, PlanIndex, Settings, Timer};

/// Time, settings, random numbers and output during the handling of one event. The engine makes one for each
/// event, so that no part keeps a copy of the time or of the settings.
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

    /// Time of the event.
    pub(crate) fn now(&self) -> Nanos {
        self.now
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> &'a Settings {
        self.settings
    }

    /// A class of the settings.
    pub(crate) fn class(&self, class: ClassIndex) -> &'a Class {
        &self.settings.classes[class.as_usize()]
    }

    /// A plan of the settings.
    pub(crate) fn plan(&self, plan: PlanIndex) -> &'a Plan {
        &self.settings.plans[plan.as_usize()]
    }

    /// A random number in 0..1.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.random.f64()
    }

    /// Appends an action.
    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sets a timer that is due after a duration.
    pub(crate) fn set_timer(&mut self, timer: Timer, after: Nanos) {
        self.push(Action::SetTimer { timer, after });
    }
}
