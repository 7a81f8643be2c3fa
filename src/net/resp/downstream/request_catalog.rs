//! The classes, plans and quantities that a request may contain, by the configuration in force.

use crate::api::{Class, ClassIndex, LimiterIndex, PlanIndex, Settings};
use quartzcleat_admin::AcceptedIndices;

/// A class whose name is accepted.
#[derive(Clone, Debug)]
pub struct CatalogClass {
    /// The class's index.
    pub index: ClassIndex,
    /// The class.
    pub class: Class,
}

/// A plan whose name is accepted.
#[derive(Clone, Debug)]
struct CatalogPlan {
    index: PlanIndex,
    name: String,
}

/// The names and ranges that requests are checked against.
#[derive(Clone, Debug)]
pub struct RequestCatalog {
    classes: Vec<CatalogClass>,
    plans: Vec<CatalogPlan>,
    /// How many limiters there are.
    limiter_count: u32,
    /// The most units that one request counts.
    max_units: f64,
}

impl RequestCatalog {
    /// The catalog of the settings, in which these classes and plans are accepted.
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

    /// Keeps only these classes and plans.
    pub fn retain(&mut self, accepted: &AcceptedIndices) {
        self.classes
            .retain(|entry| accepted.classes.contains(&entry.index));
        self.plans
            .retain(|entry| accepted.plans.contains(&entry.index));
    }

    /// The class of a name.
    pub fn class(&self, name: &str) -> Option<&CatalogClass> {
        self.classes.iter().find(|entry| entry.class.name == name)
    }

    /// The index of a plan's name.
    pub fn plan(&self, name: &str) -> Option<PlanIndex> {
        let plan = self.plans.iter().find(|entry| entry.name == name);
        plan.map(|entry| entry.index)
    }

    /// Whether a request may count so many units.
    pub fn accepts_units(&self, units: f64) -> bool {
        units > 0.0 && units <= self.max_units
    }

    /// Whether a customer's requests may arrive through so many limiters.
    pub fn accepts_spread(&self, spread: u32) -> bool {
        (1..=self.limiter_count).contains(&spread)
    }

    /// Whether there is this limiter.
    pub fn accepts_limiter(&self, limiter: LimiterIndex) -> bool {
        limiter.0 < self.limiter_count
    }
}
