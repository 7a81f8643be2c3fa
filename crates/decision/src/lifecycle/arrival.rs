//! Arrival of a request: load shedding and the verdict of its customer's quota.

use super::release::retry_after;
use super::request::{PendingRequest, RequestState};
use super::RequestLifecycle;
use crate::api::{
    Action, ClassIndex, CustomerId, Nanos, Plan, PlanIndex, RequestId, Settings, Timer,
};
use crate::context::Context;
use crate::hosts::HostRequirements;
use crate::quota::{
    time_to_next_window, Correction, CounterReply, QuotaClaim, Verdict, VerdictBasis,
};

/// Part of its latency objective that a request waits for the counter at most.
const COUNTER_WAIT_OBJECTIVE_FRACTION: f64 = 0.1;

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: RequestId,
    pub(crate) class: ClassIndex,
    pub(crate) plan: PlanIndex,
    pub(crate) customer: CustomerId,
    /// Duration after which the client gives up.
    pub(crate) budget: Nanos,
    pub(crate) units: f64,
    /// Number of limiters through which this customer's requests arrive.
    pub(crate) spread: u32,
}

impl Arrival {
    /// The claim on the customer's quota. Values out of range are limited: an unknown plan is the fallback.
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

    /// The class; an unknown one is the fallback.
    fn known_class(&self, settings: &Settings) -> ClassIndex {
        let fallback = ClassIndex::from_usize(settings.classes.len() - 1);
        self.class.min(fallback)
    }

    fn into_request(self, context: &mut Context) -> PendingRequest {
        let settings = context.settings();
        PendingRequest {
            claim: self.claim(settings),
            requirements: HostRequirements {
                class: self.known_class(settings),
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
    /// Handles a request that arrives: its timers, load shedding, and the first verdict of the quota.
    pub(crate) fn on_arrival(&mut self, arrival: Arrival, context: &mut Context) {
        let id = arrival.id;
        let request = arrival.into_request(context);
        let time_to_objective = request.objective_deadline(context) - context.now();
        set_request_timers(&arrival, time_to_objective, context);
        let weight_rate = self.weight_rate(&request, context);
        let claim = request.claim;
        self.requests.insert(id, request);
        self.shedder.record_arrival(weight_rate);
        if self.is_shed(weight_rate, context) {
            self.finish(id, context);
            return;
        }
        let verdict = self.first_verdict(id, claim, time_to_objective, context);
        self.apply_verdict(id, verdict, context);
    }

    fn is_shed(&self, weight_rate: f64, context: &mut Context) -> bool {
        match self.shedder.admission_probability(weight_rate) {
            Some(probability) => context.random_fraction() >= probability,
            None => false,
        }
    }

    /// The quota's verdict on a new request. Without a counter, each limiter holds customers to its share.
    fn first_verdict(
        &mut self,
        id: RequestId,
        mut claim: QuotaClaim,
        time_to_objective: Nanos,
        context: &mut Context,
    ) -> Verdict {
        if !has_quota(context.plan(claim.plan)) {
            return Verdict::Pass;
        }
        if !context.settings().counter.is_available {
            return self.quotas.judge_locally(&claim, context);
        }
        let timeout = (time_to_objective as f64 * COUNTER_WAIT_OBJECTIVE_FRACTION) as Nanos;
        let verdict = self.quotas.claim(id, &mut claim, timeout, context);
        if let Some(request) = self.requests.get_mut(id) {
            request.claim = claim;
        }
        verdict
    }

    /// Handles the reply to a counter call.
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
            self.judge(id, ready.basis, context);
        }
    }

    /// Handles the end of a request's wait for the counter: the verdict follows without a reply.
    pub(crate) fn on_counter_wait_over(&mut self, id: RequestId, context: &mut Context) {
        self.judge(id, VerdictBasis::LocalKnowledge, context);
    }

    /// Judges a request that waits for the counter, and applies the verdict.
    fn judge(&mut self, id: RequestId, basis: VerdictBasis, context: &mut Context) {
        let Some(request) = self.requests.in_state(id, RequestState::AwaitingCounter) else {
            return;
        };
        let verdict = match basis {
            VerdictBasis::CounterTotal => self.quotas.judge(id, &request.claim, context),
            VerdictBasis::LocalKnowledge => self.quotas.judge_locally(&request.claim, context),
        };
        self.apply_verdict(id, verdict, context);
    }

    fn apply_verdict(&mut self, id: RequestId, verdict: Verdict, context: &mut Context) {
        let Some(request) = self.requests.get(id).cloned() else {
            return;
        };
        let retry_after = match verdict {
            Verdict::AwaitingCounter => return,
            Verdict::Pass => return self.admit(id, context),
            Verdict::OverQuota => time_to_next_window(&request.claim, context),
            // Other limiters may still have a share: a retry may be in time.
            Verdict::OverLocalShare => retry_after(&request, context),
        };
        self.refund(&request.claim, context);
        if self.may_use_idle_host_beyond_quota(&request, context) {
            self.admit_uncharged(id, context);
            return;
        }
        context.push(Action::Reject { id, retry_after });
        self.requests.remove(id);
    }

    /// Whether a request beyond its quota may use an idle host: it earns more than it costs.
    fn may_use_idle_host_beyond_quota(&self, request: &PendingRequest, context: &Context) -> bool {
        let plan = context.plan(request.plan());
        let is_profitable = plan.over_quota_weight > plan.over_quota_cost;
        is_profitable && self.queue.is_empty() && self.hosts.has_idle_host()
    }

    /// Admits a request that is charged to no count.
    fn admit_uncharged(&mut self, id: RequestId, context: &mut Context) {
        if let Some(request) = self.requests.get_mut(id) {
            request.claim.charge = None;
        }
        self.admit(id, context);
    }

    /// Takes the units of a claim off its customer's count.
    pub(super) fn refund(&mut self, claim: &QuotaClaim, context: &mut Context) {
        self.quotas
            .adjust(claim, -claim.units, Correction::Refund, context);
    }
}

fn set_request_timers(arrival: &Arrival, time_to_objective: Nanos, context: &mut Context) {
    let id = arrival.id;
    // One tick early, as timers may come late but never early.
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
