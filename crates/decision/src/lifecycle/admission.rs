//! Admission: load shedding and the verdict of the quota on a new request.

use super::*;
use crate::quota::{
    Correction, CounterWait, Verdict, VerdictBasis, COUNTER_WAIT_OBJECTIVE_FRACTION,
};

/// Weight of one more request in the mean weight rate.
const WEIGHT_RATE_SMOOTHING: f64 = 0.1;

impl DecisionEngine {
    pub(super) fn on_request(
        &mut self,
        id: RequestId,
        mut request: PendingRequest,
        budget: Nanos,
        actions: &mut Actions,
    ) {
        let latency_objective = self.objective_deadline(&request) - self.now;
        // One tick early, as timers may come late but never early.
        let last_answer = budget.saturating_sub(self.settings.limiters.tick);
        let after = latency_objective.min(last_answer);
        actions.push(Action::SetTimer {
            timer: Timer::LatencyObjective { id },
            after,
        });
        actions.push(Action::SetTimer {
            timer: Timer::Deadline { id },
            after: last_answer,
        });
        let weight_rate = self.weight_rate(&request);
        self.mean_weight_rate += WEIGHT_RATE_SMOOTHING * (weight_rate - self.mean_weight_rate);
        self.requests.insert(id, request.clone());
        let ratio = self.host_pool.admission_ratio;
        if ratio < 1.0 && self.random.f64() >= ratio.powf(self.mean_weight_rate / weight_rate) {
            return self.finish(id, actions);
        }
        let verdict = self.first_verdict(id, &mut request.claim, latency_objective, actions);
        self.requests
            .entry(id)
            .and_modify(|pending| pending.claim = request.claim);
        self.apply_verdict(id, verdict, actions);
    }

    /// The quota's verdict on a new request. Without a counter, each limiter holds customers to its share.
    fn first_verdict(
        &mut self,
        id: RequestId,
        claim: &mut QuotaClaim,
        latency_objective: Nanos,
        actions: &mut Actions,
    ) -> Verdict {
        if self.settings.plans[claim.plan].rate <= 0.0 {
            return Verdict::Pass;
        }
        if !self.settings.counter.is_available {
            return self.quotas.judge_locally(claim);
        }
        let timeout = (latency_objective as f64 * COUNTER_WAIT_OBJECTIVE_FRACTION) as Nanos;
        let wait = CounterWait {
            timeout,
            draw: self.random.f64(),
        };
        self.quotas.claim(id, claim, wait, actions)
    }

    /// Applies the verdict on a request that waits for the counter.
    pub(super) fn judge(&mut self, id: RequestId, basis: VerdictBasis, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let claim = &request.claim;
        let verdict = match (request.state, basis) {
            (RequestState::AwaitingCounter, VerdictBasis::CounterTotal) => {
                self.quotas.judge(id, claim, self.random.f64(), actions)
            }
            (RequestState::AwaitingCounter, VerdictBasis::LocalKnowledge) => {
                self.quotas.judge_locally(claim)
            }
            _ => return,
        };
        self.apply_verdict(id, verdict, actions);
    }

    fn apply_verdict(&mut self, id: RequestId, verdict: Verdict, actions: &mut Actions) {
        let Some(request) = self.requests.get(&id).cloned() else {
            return;
        };
        let retry_after = match verdict {
            Verdict::AwaitingCounter => return,
            Verdict::Pass => return self.admit(id, actions),
            Verdict::OverQuota => self.quotas.time_to_next_window(&request.claim),
            // Other limiters may still have a share: a retry may be in time.
            Verdict::OverLocalShare => self.retry_after(&request),
        };
        self.quotas.adjust(
            &request.claim,
            -request.claim.units,
            Correction::Refund,
            actions,
        );
        let plan = &self.settings.plans[request.claim.plan];
        // A request beyond the quota that earns more than it costs uses an idle host, charged to no count.
        let is_profitable = plan.over_quota_weight > plan.over_quota_cost;
        if is_profitable && self.queue.is_empty() && self.host_pool.has_idle_host() {
            self.requests
                .entry(id)
                .and_modify(|request| request.claim.charge = None);
            return self.admit(id, actions);
        }
        actions.push(Action::Reject { id, retry_after });
        self.requests.remove(&id);
    }
}
