//! The classes, plans and quantities that a request may contain according to the current configuration.

use crate::api::{Class, ClassIndex, LimiterIndex, PlanIndex, Settings};
use quartzcleat_admin::AcceptedIndices;

/// A class that requests may name.
#[derive(Clone, Debug)]
pub struct CatalogClass {
    /// The index of the class in the settings.
    pub index: ClassIndex,
    /// The settings of the class.
    pub class: Class,
}

/// A plan that requests may name.
#[derive(Clone, Debug)]
struct CatalogPlan {
    index: PlanIndex,
    name: String,
}

/// The names and ranges against which requests are validated.
#[derive(Clone, Debug)]
pub struct RequestCatalog {
    classes: Vec<CatalogClass>,
    plans: Vec<CatalogPlan>,
    /// Number of limiters; at least 1.
    limiter_count: u32,
    /// Maximum units of one request; [`f64::MAX`] if the settings give no maximum.
    max_units: f64,
}

impl RequestCatalog {
    /// Creates the catalog of the accepted classes and plans of the settings.
    pub fn new(settings: &Settings, accepted: &AcceptedIndices) -> Self {
        let classes = accepted.classes.iter().map(|&index| CatalogClass {
            index,
            class: settings.classes[index.as_usize()].clone(),
        });
        let plans = accepted.plans.iter().map(|&index| CatalogPlan {
            index,
            name: settings.plans[index.as_usize()].name.clone(),
        });
        let max_units = settings.units.largest_request;
        RequestCatalog {
            classes: classes.collect(),
            plans: plans.collect(),
            limiter_count: settings.limiters.count.max(1),
            max_units: if max_units > 0.0 { max_units } else { f64::MAX },
        }
    }

    /// Removes the classes and plans that are not in `accepted`.
    pub fn retain(&mut self, accepted: &AcceptedIndices) {
        self.classes
            .retain(|entry| accepted.classes.contains(&entry.index));
        self.plans
            .retain(|entry| accepted.plans.contains(&entry.index));
    }

    /// Returns the class with this name; `None` if it is not accepted.
    pub fn class(&self, name: &str) -> Option<&CatalogClass> {
        self.classes.iter().find(|entry| entry.class.name == name)
    }

    /// Returns the index of the plan with this name; `None` if it is not accepted.
    pub fn plan(&self, name: &str) -> Option<PlanIndex> {
        let plan = self.plans.iter().find(|entry| entry.name == name);
        plan.map(|entry| entry.index)
    }

    /// Returns whether a request may have this many units.
    pub fn accepts_units(&self, units: f64) -> bool {
        units > 0.0 && units <= self.max_units
    }

    /// Returns whether a customer's requests may arrive through this many limiters.
    pub fn accepts_spread(&self, spread: u32) -> bool {
        (1..=self.limiter_count).contains(&spread)
    }

    /// Returns whether a limiter with this index exists.
    pub fn accepts_limiter(&self, limiter: LimiterIndex) -> bool {
        limiter.0 < self.limiter_count
    }
}
