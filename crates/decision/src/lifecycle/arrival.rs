//! Request arrival: load shedding and the quota decision.

use super::release::retry_after;
use super::request::{PendingRequest, RequestState};
use super::RequestLifecycle;
use crate::api::{
    Action, ClassIndex, CustomerId, Nanos, Plan, PlanIndex, RequestId, Settings, Timer,
};
use crate::context::Context;
use crate::hosts::HostRequirements;
use crate::quota::{
    time_to_next_window, Correction, CounterReply, CustomerAdmission, DecisionBasis, QuotaClaim,
    QuotaDecision,
};

/// Maximum wait for the counter, as a fraction of the time to the request's latency objective.
const COUNTER_WAIT_OBJECTIVE_FRACTION: f64 = 0.1;

/// Arriving request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: RequestId,
    pub(crate) class: ClassIndex,
    pub(crate) plan: PlanIndex,
    pub(crate) customer: CustomerId,
    /// Duration after which the client gives up.
    pub(crate) budget: Nanos,
    /// Units that the request takes from the quota.
    pub(crate) units: f64,
    /// Number of limiters through which this customer's requests arrive.
    pub(crate) spread: u32,
}

impl Arrival {
    /// Returns the claim on the customer's quota. Units and spread are clamped to their ranges, and an
    /// unknown plan is replaced by the fallback plan.
    fn claim(&self, settings: &Settings) -> QuotaClaim {
        let fallback = PlanIndex::from_usize(settings.plans.len() - 1);
        QuotaClaim {
            customer: self.customer,
            plan: self.plan.min(fallback),
            units: self.units.max(0.0),
            spread: self.spread.clamp(1, settings.limiters.count),
            charge: None,
        }
    }

    /// Returns the request's class, or the fallback class for an unknown one.
    fn class_or_fallback(&self, settings: &Settings) -> ClassIndex {
        let fallback = ClassIndex::from_usize(settings.classes.len() - 1);
        self.class.min(fallback)
    }

    fn into_request(self, context: &mut Context) -> PendingRequest {
        let settings = context.settings();
        PendingRequest {
            claim: self.claim(settings),
            requirements: HostRequirements {
                class: self.class_or_fallback(settings),
                avoid: None,
                first_run: None,
                slow_start_sample: context.random_fraction(),
            },
            arrived_at: context.now(),
            deadline: context.now().saturating_add(self.budget),
            state: RequestState::AwaitingCounter,
            attempts: 0,
            first_run: None,
        }
    }
}

impl RequestLifecycle {
    /// Handles an arriving request: sets its timers, applies load shedding and obtains the first quota decision.
    pub(crate) fn on_arrival(&mut self, arrival: Arrival, context: &mut Context) {
        let id = arrival.id;
        if self.abandoned_runs.contains(id) {
            context.push(Action::Fail { id });
            return;
        }
        let request = arrival.into_request(context);
        let time_to_objective = request.objective_deadline(context) - context.now();
        set_request_timers(&arrival, time_to_objective, context);
        let weight_rate = self.weight_rate(&request, context);
        let claim = request.claim;
        self.requests.insert(id, request);
        self.shedder.record_arrival(weight_rate);
        let is_full = self.quotas.admit_customer(arrival.customer) == CustomerAdmission::Full;
        if is_full || self.is_shed(weight_rate, context) {
            self.finish(id, context);
            return;
        }
        let decision = self.first_decision(id, claim, time_to_objective, context);
        self.apply_decision(id, decision, context);
    }

    fn is_shed(&self, weight_rate: f64, context: &mut Context) -> bool {
        match self.shedder.admission_probability(weight_rate) {
            Some(probability) => context.random_fraction() >= probability,
            None => false,
        }
    }

    /// Returns the quota decision on a new request. Without a counter service, each limiter enforces its own
    /// share of the quota.
    fn first_decision(
        &mut self,
        id: RequestId,
        mut claim: QuotaClaim,
        time_to_objective: Nanos,
        context: &mut Context,
    ) -> QuotaDecision {
        if !has_quota(context.plan(claim.plan)) {
            return QuotaDecision::Pass;
        }
        if !context.settings().counter.is_available {
            return self.quotas.decide_locally(&claim, context);
        }
        let timeout = (time_to_objective as f64 * COUNTER_WAIT_OBJECTIVE_FRACTION) as Nanos;
        let decision = self.quotas.claim_units(id, &mut claim, timeout, context);
        if let Some(request) = self.requests.get_mut(id) {
            request.claim = claim;
        }
        decision
    }

    /// Handles the reply to a counter call and decides on the requests that waited for it.
    pub(crate) fn on_counter_reply(
        &mut self,
        name: &str,
        reply: CounterReply,
        context: &mut Context,
    ) {
        let Some(ready) = self.quotas.record_reply(name, reply, context) else {
            return;
        };
        for id in ready.requests {
            self.decide(id, ready.basis, context);
        }
    }

    /// Handles the timeout of a request's wait for the counter: decides on the request without the reply.
    pub(crate) fn on_counter_wait_timeout(&mut self, id: RequestId, context: &mut Context) {
        self.decide(id, DecisionBasis::LocalKnowledge, context);
    }

    /// Decides on a request and applies the decision, if the request still waits for the counter.
    fn decide(&mut self, id: RequestId, basis: DecisionBasis, context: &mut Context) {
        let Some(request) = self.requests.in_state(id, RequestState::AwaitingCounter) else {
            return;
        };
        let decision = match basis {
            DecisionBasis::CounterTotal => self.quotas.decide(id, &request.claim, context),
            DecisionBasis::LocalKnowledge => self.quotas.decide_locally(&request.claim, context),
        };
        self.apply_decision(id, decision, context);
    }

    fn apply_decision(&mut self, id: RequestId, decision: QuotaDecision, context: &mut Context) {
        let Some(request) = self.requests.get(id).cloned() else {
            return;
        };
        let retry_after = match decision {
            QuotaDecision::AwaitingCounter => return,
            QuotaDecision::Pass => return self.admit(id, context),
            QuotaDecision::OverQuota => time_to_next_window(&request.claim, context),
            // Other limiters may have quota left, so an early retry may succeed within the objective.
            QuotaDecision::OverLocalShare => retry_after(&request, context),
        };
        self.refund(&request.claim, context);
        if self.may_use_idle_host_beyond_quota(&request, context) {
            self.admit_uncharged(id, context);
            return;
        }
        context.push(Action::Reject { id, retry_after });
        self.requests.remove(id);
    }

    /// Returns whether an over-quota request may use an idle host: it must earn more than it costs, and no
    /// other request may be queued.
    fn may_use_idle_host_beyond_quota(&self, request: &PendingRequest, context: &Context) -> bool {
        let plan = context.plan(request.plan());
        let is_profitable = plan.over_quota_weight > plan.over_quota_cost;
        is_profitable && self.queue.is_empty() && self.hosts.has_idle_host()
    }

    /// Admits a request without charging it to its customer's count.
    fn admit_uncharged(&mut self, id: RequestId, context: &mut Context) {
        if let Some(request) = self.requests.get_mut(id) {
            request.claim.charge = None;
        }
        self.admit(id, context);
    }

    /// Subtracts the units of a claim from its customer's count.
    pub(super) fn refund(&mut self, claim: &QuotaClaim, context: &mut Context) {
        self.quotas
            .adjust(claim, -claim.units, Correction::Refund, context);
    }
}

fn set_request_timers(arrival: &Arrival, time_to_objective: Nanos, context: &mut Context) {
    let id = arrival.id;
    // One tick early, as timers may fire late but never early.
    let time_to_deadline = arrival
        .budget
        .saturating_sub(context.settings().limiters.tick);
    context.set_timer(
        Timer::LatencyObjective { id },
        time_to_objective.min(time_to_deadline),
    );
    context.set_timer(Timer::Deadline { id }, time_to_deadline);
}

fn has_quota(plan: &Plan) -> bool {
    plan.rate > 0.0
}
