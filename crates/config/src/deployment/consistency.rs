//! Checks for settings that are valid on their own and contradict each other.

use super::Deployment;
use crate::fault::Faults;
use crate::key_path::join;
use crate::quantity::format_duration;
use crate::tree::Place;
use quartzcleat_decision::api::{Class, Effect, Plan, Settings};

/// A contradiction between settings. The message names the remedy, and [`Fault`](crate::fault::Fault) adds file, line
/// and key.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
enum Contradiction {
    #[error("missing; requests refer to classes by name")]
    ClassWithoutName,
    #[error("{} is not a valid deadline; it must not be 0 or shorter than the latency objective, {}", format_duration(*deadline), format_duration(*latency_objective))]
    DeadlineBeforeObjective {
        deadline: u64,
        latency_objective: u64,
    },
    #[error("missing; a class with idempotency keys needs a deduplication window")]
    KeyedClassWithoutDedupWindow,
    #[error("missing; requests refer to plans by name")]
    PlanWithoutName,
    #[error("rate and burst must not be negative")]
    NegativeQuota,
    #[error("{burst} is less than the largest request, {largest_request}")]
    BurstBelowLargestRequest { burst: f64, largest_request: f64 },
    #[error("{largest_request} is more than the burst of {plan}, {burst}")]
    LargestRequestAboveBurst {
        largest_request: f64,
        plan: String,
        burst: f64,
    },
    #[error("0; at least one attempt is needed")]
    ZeroMaxAttempts,
    #[error("missing; required if familyInfo.counter is true")]
    CounterWithoutTimeout,
    #[error("missing; required if limits.retryAfter is true")]
    MissingMaxRetryAfter,
    #[error("{value} is not a fraction from 0 to 1")]
    InitialCapacityOutOfRange { value: f64 },
    #[error("index {limiter} is out of range for {limiter_count} limiters")]
    LimiterIndexTooHigh { limiter: u32, limiter_count: u32 },
}

impl Deployment {
    /// Adds a fault for each contradiction between settings.
    pub(super) fn check_consistency(&self, faults: &mut Faults) {
        let mut checker = Checker {
            deployment: self,
            faults,
        };
        for (index, class) in self.settings.classes.iter().enumerate() {
            checker.class(&format!("categories.{index}"), class);
        }
        for (index, plan) in self.settings.plans.iter().enumerate() {
            checker.plan(&format!("contracts.{index}"), plan);
        }
        checker.limits(&self.settings);
        checker.safety(&self.settings);
    }
}

/// A validator that adds a fault for each contradiction it finds.
struct Checker<'a> {
    deployment: &'a Deployment,
    faults: &'a mut Faults,
}

impl Checker<'_> {
    fn add(&mut self, key: &str, contradiction: Contradiction) {
        let place = Place {
            line: self.deployment.line(key),
            column: 1,
        };
        self.faults
            .add(&self.deployment.file, place, key, contradiction);
    }

    /// Checks a class. `path` is the path of its object in the file.
    fn class(&mut self, path: &str, class: &Class) {
        let key = |key| join(path, key);
        if class.name.is_empty() {
            self.add(&key("name"), Contradiction::ClassWithoutName);
        }
        if class.deadline == 0 || class.latency_objective > class.deadline {
            let contradiction = Contradiction::DeadlineBeforeObjective {
                deadline: class.deadline,
                latency_objective: class.latency_objective,
            };
            self.add(&key("hardLimitNs"), contradiction);
        }
        if class.effect == Effect::IdempotentWithKey && class.dedup_window == 0 {
            let contradiction = Contradiction::KeyedClassWithoutDedupWindow;
            self.add(&key("dedupWindowNs"), contradiction);
        }
    }

    /// Checks a plan. `path` is the path of its object in the file.
    fn plan(&mut self, path: &str, plan: &Plan) {
        let key = |key| join(path, key);
        if plan.name.is_empty() {
            self.add(&key("name"), Contradiction::PlanWithoutName);
        }
        if plan.rate < 0.0 || plan.burst < 0.0 {
            self.add(&key("refill"), Contradiction::NegativeQuota);
        }
        let largest_request = self.deployment.settings.units.largest_request;
        let burst = plan.burst;
        if plan.rate > 0.0 && burst < largest_request {
            let contradiction = Contradiction::BurstBelowLargestRequest {
                burst,
                largest_request,
            };
            self.add(&key("peakUnits"), contradiction);
            let contradiction = Contradiction::LargestRequestAboveBurst {
                largest_request,
                plan: plan.name.clone(),
                burst,
            };
            self.add("familyInfo.unitsTop", contradiction);
        }
    }

    fn limits(&mut self, settings: &Settings) {
        if settings.attempts.max_per_request == 0 {
            self.add("limits.sendCap", Contradiction::ZeroMaxAttempts);
        }
        if settings.counter.is_available && settings.counter.timeout == 0 {
            let contradiction = Contradiction::CounterWithoutTimeout;
            self.add("familyInfo.counterTimeoutNs", contradiction);
        }
        if settings.backoff.sends_retry_after && settings.backoff.longest_retry_after == 0 {
            let contradiction = Contradiction::MissingMaxRetryAfter;
            self.add("limits.maxRetryAfterNs", contradiction);
        }
    }

    fn safety(&mut self, settings: &Settings) {
        let initial_capacity = settings.slow_start.initial_capacity;
        if !(0.0..=1.0).contains(&initial_capacity) {
            let contradiction = Contradiction::InitialCapacityOutOfRange {
                value: initial_capacity,
            };
            self.add("safety.coldFrom", contradiction);
        }
        if settings.limiters.count > 0 && settings.limiters.own_index.0 >= settings.limiters.count {
            let contradiction = Contradiction::LimiterIndexTooHigh {
                limiter: settings.limiters.own_index.0,
                limiter_count: settings.limiters.count,
            };
            self.add("me", contradiction);
        }
    }
}
