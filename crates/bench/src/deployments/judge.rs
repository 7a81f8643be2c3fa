//! Simulates one deployment and compares the value that it serves with the baseline.

use super::baseline::served_value;
use super::generate::{generate, Deployment};
use super::quota::{priority_weight, Charge, ExactQuotas, Subscription};
use quartzcleat_decision::api::{AttemptIndex, ClassIndex, Nanos, PlanIndex, RequestId, Settings};
use quartzcleat_invariants::{check, Answer, Fact, InvariantLimits, PartnerIndex, Record};
use quartzcleat_simulation::scenario::{ScenarioEvent, Step};
use quartzcleat_simulation::{oracle::FirstOption, simulate};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// A baseline's value below this is no divisor.
const MIN_BASELINE_VALUE: f64 = 1e-9;

/// The result of one deployment; values are parts of what the baseline serves.
pub(super) struct DeploymentResult {
    /// The seed.
    pub seed: u64,
    /// The deployment.
    pub deployment: Deployment,
    /// The values.
    pub value: Value,
    /// The invariants that are broken, each with what happened.
    pub broken: Vec<String>,
}

/// Values of a deployment's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Value {
    /// The served value, less the value lost to use beyond quotas.
    pub served: f64,
    /// The value lost to use beyond quotas.
    pub beyond_quotas: f64,
    /// Operations requested within their quotas and rejected without an attempt.
    pub rejected_within_quotas: f64,
}

impl Value {
    fn relative_to(self, baseline: f64) -> Value {
        Value {
            served: self.served / baseline,
            beyond_quotas: self.beyond_quotas / baseline,
            rejected_within_quotas: self.rejected_within_quotas / baseline,
        }
    }
}

/// Simulates the deployment of a seed and judges it.
pub(super) fn judge(seed: u64) -> DeploymentResult {
    let deployment = generate(seed);
    let scenario = &deployment.scenario;
    let run = simulate(scenario, &mut FirstOption);
    let limits = InvariantLimits::from_settings(&scenario.ground_truth, 0);
    let broken = check(&scenario.processes, &limits, &run.records);
    let broken = broken
        .iter()
        .map(|violation| format!("{}: {}", violation.invariant.name(), violation.description))
        .collect();
    let baseline = served_value(scenario).max(MIN_BASELINE_VALUE);
    let mut totals = ValueTotals::new(&scenario.ground_truth, &scenario.steps);
    for record in &run.records {
        totals.add(record);
    }
    let value = totals.value().relative_to(baseline);
    DeploymentResult {
        seed,
        deployment,
        value,
        broken,
    }
}

/// An operation that a client wants executed, as far as it went.
struct Operation {
    begun: Nanos,
    class: ClassIndex,
    plan: PlanIndex,
    request_charge: Charge,
    attempted: bool,
    served: bool,
}

/// A request for an operation.
struct Request {
    operation: u64,
    customer: PartnerIndex,
    units: f64,
    /// The charge of its first attempt to the customer's quota; none before that.
    attempt_charge: Option<Charge>,
}

/// Adds up values from the records of a simulation.
struct ValueTotals<'a> {
    settings: &'a Settings,
    /// The plan of each operation.
    plans: BTreeMap<u64, PlanIndex>,
    operations: BTreeMap<u64, Operation>,
    requests: BTreeMap<RequestId, Request>,
    /// Exact quotas, charged by requests.
    requested: ExactQuotas,
    /// Exact quotas, charged by attempts.
    attempted: ExactQuotas,
    served: f64,
    beyond_quotas: f64,
}

impl<'a> ValueTotals<'a> {
    fn new(settings: &'a Settings, steps: &[Step]) -> Self {
        let plan = |step: &Step| match &step.event {
            ScenarioEvent::Request(request) => Some((request.operation, request.plan)),
            _ => None,
        };
        ValueTotals {
            settings,
            plans: steps.iter().filter_map(plan).collect(),
            operations: BTreeMap::new(),
            requests: BTreeMap::new(),
            requested: ExactQuotas::default(),
            attempted: ExactQuotas::default(),
            served: 0.0,
            beyond_quotas: 0.0,
        }
    }

    fn add(&mut self, record: &Record) {
        match record.fact {
            Fact::RequestReceived {
                request,
                operation,
                class,
                partner,
                units,
                ..
            } => {
                let state = Request {
                    operation,
                    customer: partner,
                    units,
                    attempt_charge: None,
                };
                self.add_operation(&state, class, record.at);
                self.requests.insert(request, state);
            }
            Fact::AttemptSent {
                request,
                attempt: AttemptIndex(0),
                ..
            } => self.add_attempt(request, record.at),
            Fact::Answered {
                request,
                answer: Answer::Served,
            } => self.add_served(request, record.at),
            _ => {}
        }
    }

    /// Adds the operation of its first request.
    fn add_operation(&mut self, request: &Request, class: ClassIndex, now: Nanos) {
        if self.operations.contains_key(&request.operation) {
            return;
        }
        let plan = self
            .plans
            .get(&request.operation)
            .copied()
            .unwrap_or_default();
        let subscription = Subscription {
            customer: request.customer,
            plan,
        };
        let request_charge = self
            .requested
            .charge(self.settings, subscription, request.units, now);
        self.operations.insert(
            request.operation,
            Operation {
                begun: now,
                class,
                plan,
                request_charge,
                attempted: false,
                served: false,
            },
        );
    }

    /// Adds the first attempt of a request.
    fn add_attempt(&mut self, request: RequestId, now: Nanos) {
        let Some(request) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(operation) = self.operations.get_mut(&request.operation) else {
            return;
        };
        operation.attempted = true;
        let subscription = Subscription {
            customer: request.customer,
            plan: operation.plan,
        };
        let attempt_charge = self
            .attempted
            .charge(self.settings, subscription, request.units, now);
        request.attempt_charge = Some(attempt_charge);
        if attempt_charge == Charge::BeyondQuota {
            let plan = &self.settings.plans[operation.plan.as_usize()];
            let weight = priority_weight(self.settings, operation.class, operation.plan, 0);
            self.beyond_quotas += weight * plan.over_quota_cost;
        }
    }

    /// Adds a served request; further ones of its operation have no value.
    fn add_served(&mut self, request: RequestId, now: Nanos) {
        let Some(request) = self.requests.get(&request) else {
            return;
        };
        let Some(operation) = self.operations.get_mut(&request.operation) else {
            return;
        };
        if operation.served {
            return;
        }
        operation.served = true;
        let elapsed = now - operation.begun;
        let weight = priority_weight(self.settings, operation.class, operation.plan, elapsed);
        let quota_factor = match request.attempt_charge {
            Some(Charge::BeyondQuota) => {
                self.settings.plans[operation.plan.as_usize()].over_quota_weight
            }
            Some(Charge::WithinQuota) | None => 1.0,
        };
        self.served += weight * quota_factor;
    }

    fn value(&self) -> Value {
        let rejected = self.operations.values().filter(|operation| {
            operation.request_charge == Charge::WithinQuota && !operation.attempted
        });
        let weight = |operation: &Operation| {
            priority_weight(self.settings, operation.class, operation.plan, 0)
        };
        Value {
            served: self.served - self.beyond_quotas,
            beyond_quotas: self.beyond_quotas,
            rejected_within_quotas: rejected.map(weight).sum(),
        }
    }
}
