//! Quota state of all customers at this limiter: their records, the counter calls and the replies.

use super::call_sampler::{CallSampler, CustomerFrequency};
use super::claim::{Correction, DecisionBasis, QuotaClaim, ReadyForDecision};
use super::counter_calls::{CounterCall, CounterReply, PendingCalls, WindowKey};
use super::customer_table::{CustomerAdmission, CustomerTable};
use super::record::CustomerRecord;
use super::window::Window;
use crate::api::{Action, CustomerId, Nanos, Plan, PlanIndex, RequestId, Settings};
use crate::context::Context;
use crate::snapshot::{CounterCallsSnapshot, CustomerSnapshot};
use crate::time::{to_nanos, SECOND};
use std::cmp::Reverse;

/// Maximum number of customers in a snapshot, which contains those seen most recently.
const MAX_SNAPSHOT_CUSTOMERS: usize = 4096;

/// Quota state of all customers at this limiter.
#[derive(Debug)]
pub(crate) struct QuotaTracker {
    started_at: Nanos,
    customers: CustomerTable,
    pending_calls: PendingCalls,
    pub(super) sampler: CallSampler,
}

impl QuotaTracker {
    pub(crate) fn new(now: Nanos) -> Self {
        QuotaTracker {
            started_at: now,
            customers: CustomerTable::new(),
            pending_calls: PendingCalls::default(),
            sampler: CallSampler::new(),
        }
    }

    /// Returns the fraction of the requests that call the counter.
    pub(crate) fn call_ratio(&self) -> f64 {
        self.sampler.call_ratio()
    }

    /// Returns the record of a customer without rolling it over. `None` if the customer is unknown.
    pub(super) fn known_customer(&self, customer: CustomerId) -> Option<&CustomerRecord> {
        self.customers.get(customer)
    }

    /// Returns the mutable record of a customer without rolling it over. `None` if the customer is unknown.
    pub(super) fn known_customer_mut(
        &mut self,
        customer: CustomerId,
    ) -> Option<&mut CustomerRecord> {
        self.customers.get_mut(customer)
    }

    /// Returns the record of a customer without rolling it over, and creates it for an unknown customer.
    pub(super) fn customer(&mut self, customer: CustomerId) -> &mut CustomerRecord {
        let started_at = self.started_at;
        self.customers
            .get_or_insert_with(customer, || CustomerRecord::new(started_at))
    }

    /// Returns the record of a customer rolled over to the current window, and creates it for an unknown
    /// customer.
    pub(super) fn current_customer(
        &mut self,
        customer: CustomerId,
        window: &Window,
        now: Nanos,
    ) -> &mut CustomerRecord {
        let record = self.customer(customer);
        record.roll_over(window, now);
        record
    }

    /// Adds `amount` to the count `key`, or only reads it if `amount` is zero. `request` is the request whose
    /// decision depends on the reply.
    pub(super) fn call_counter(
        &mut self,
        key: WindowKey,
        amount: f64,
        request: Option<RequestId>,
        window: &Window,
        context: &mut Context,
    ) {
        let name = key.counter_name();
        context.push(Action::Count {
            name: name.clone(),
            amount,
            keep_for: window.lifetime_of_count(key.window),
        });
        let record = self.customer(key.customer);
        if record.window == key.window {
            record.current.record_call(amount);
        }
        let confirmed = record.current.confirmed;
        let call = CounterCall {
            key,
            amount,
            request,
            confirmed,
        };
        self.pending_calls.push(name, call);
    }

    /// Adds `units`, multiplied by the charge's weight and negative for a refund, to the count that a claim was
    /// charged to. Does nothing for a claim that was not charged.
    pub(crate) fn adjust(
        &mut self,
        claim: &QuotaClaim,
        units: f64,
        correction: Correction,
        context: &mut Context,
    ) {
        let Some(charge) = claim.charge else { return };
        let amount = charge.weight * units;
        let window = window_of(claim.plan, context);
        // A call for each settlement would overload the counter. A frequent customer's next call includes it
        // instead.
        let may_wait = correction == Correction::Settlement
            && frequency_of(claim, &window, context) == CustomerFrequency::Frequent;
        let record = self.current_customer(claim.customer, &window, context.now());
        if record.window == charge.window {
            if may_wait {
                record.current.unsent += amount;
                return;
            }
            record.current.pending += amount;
        }
        let key = WindowKey {
            customer: claim.customer,
            window: charge.window,
        };
        self.call_counter(key, amount, None, &window, context);
    }

    /// Records the reply to a call and returns the requests that it makes ready for a decision. `None` if no
    /// call of this name is pending.
    pub(crate) fn record_reply(
        &mut self,
        name: &str,
        reply: CounterReply,
        context: &mut Context,
    ) -> Option<ReadyForDecision> {
        let call = self.pending_calls.remove_oldest(name)?;
        let timeout = context.settings().counter.timeout;
        if let Some(event) = self.sampler.record_reply(&reply, timeout) {
            context.push(Action::Log { event });
        }
        let record = self.customer(call.key.customer);
        if call.is_read() {
            return Some(record_previous_total(record, &call, &reply));
        }
        if record.window == call.key.window {
            record.current.record_reply(&call, &reply);
        }
        let basis = if reply.is_good() {
            DecisionBasis::CounterTotal
        } else {
            DecisionBasis::LocalKnowledge
        };
        Some(ReadyForDecision {
            requests: Vec::from_iter(call.request),
            basis,
        })
    }

    /// Limits the number of customers with a record.
    pub(crate) fn limit_customers(&mut self, max_customers: usize) {
        self.customers.set_max_records(max_customers);
    }

    /// Makes a place for the record of a customer.
    pub(crate) fn admit_customer(&mut self, customer: CustomerId) -> CustomerAdmission {
        self.customers.admit(customer)
    }

    /// Returns the number of customers with a record.
    pub(crate) fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Removes customers once both of their windows have ended and their hard ceiling has refilled. Otherwise,
    /// customers that send a single request would accumulate.
    pub(crate) fn remove_unused(&mut self, context: &Context) {
        let oldest = context.now().saturating_sub(record_lifetime(context));
        self.customers.retain(|record| record.is_in_use(oldest));
        self.pending_calls.remove_unused();
    }

    pub(crate) fn counter_calls_snapshot(&self) -> CounterCallsSnapshot {
        self.sampler.snapshot()
    }

    /// Returns snapshots of the customers seen most recently.
    pub(crate) fn customer_snapshots(&self) -> Vec<CustomerSnapshot> {
        let mut customers: Vec<_> = self.customers.iter().collect();
        customers.sort_by_key(|(_, record)| Reverse(record.last_seen));
        let latest = customers.into_iter().take(MAX_SNAPSHOT_CUSTOMERS);
        latest.map(|(id, record)| record.snapshot(id)).collect()
    }

    /// Restores the state from a predecessor's snapshot. Records of customers that are already known are kept.
    pub(crate) fn restore(
        &mut self,
        counter_calls: CounterCallsSnapshot,
        customers: &[CustomerSnapshot],
        now: Nanos,
    ) {
        self.sampler.restore(counter_calls);
        for customer in customers {
            let record = CustomerRecord::from_snapshot(customer, self.started_at, now);
            let id = CustomerId(customer.customer);
            self.customers.get_or_insert_with(id, || record);
        }
    }
}

/// Returns the time until the next window of a claim's plan.
pub(crate) fn time_to_next_window(claim: &QuotaClaim, context: &Context) -> Nanos {
    window_of(claim.plan, context).time_to_next()
}

/// Returns the current window of a plan.
pub(super) fn window_of(plan: PlanIndex, context: &Context) -> Window {
    Window::of_plan(context.plan(plan), context.settings(), context.now())
}

/// Returns how often requests of a claim's customer arrive at this limiter.
pub(super) fn frequency_of(
    claim: &QuotaClaim,
    window: &Window,
    context: &Context,
) -> CustomerFrequency {
    if window.is_customer_frequent(claim.spread, context.settings()) {
        CustomerFrequency::Frequent
    } else {
        CustomerFrequency::Infrequent
    }
}

/// Records the reply to a read of the previous window and returns the requests that waited for it. Their
/// decision is based on the totals even if the read failed.
fn record_previous_total(
    record: &mut CustomerRecord,
    call: &CounterCall,
    reply: &CounterReply,
) -> ReadyForDecision {
    if record.window == call.key.window + 1 {
        let previous = &mut record.previous;
        if reply.is_good() {
            previous.total = previous.total.max(reply.total);
        }
        previous.is_read = reply.is_good();
    }
    ReadyForDecision {
        requests: std::mem::take(&mut record.previous.awaiting_read),
        basis: DecisionBasis::CounterTotal,
    }
}

/// Returns how long after its last request a customer's record may still affect decisions.
fn record_lifetime(context: &Context) -> Nanos {
    let plans = &context.settings().plans;
    let two_windows = |plan: &Plan| two_windows(plan, context.settings(), context.now());
    let refill_time = |plan: &Plan| to_nanos(plan.ceiling_burst / plan.ceiling_rate);
    let with_rate = plans.iter().filter(|plan| plan.rate > 0.0);
    let with_ceiling = plans.iter().filter(|plan| plan.ceiling_rate > 0.0);
    let longest_windows = with_rate.map(two_windows).max().unwrap_or(0);
    let longest_refill = with_ceiling.map(refill_time).max().unwrap_or(0);
    longest_refill.max(longest_windows).max(SECOND)
}

fn two_windows(plan: &Plan, settings: &Settings, now: Nanos) -> Nanos {
    2 * Window::of_plan(plan, settings, now).length
}
