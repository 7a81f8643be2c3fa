//! Restoring a snapshot of the limiter that this one succeeds. What this one has measured itself stays.

use super::*;
use crate::host_selection::MIN_ADMISSION_RATIO;
use crate::quota::{CustomerQuota, MIN_CALL_RATIO};

/// An older snapshot is not used: evidence of hosts fades in as much time.
const MAX_AGE: Nanos = 10_000_000_000;
/// Upper bounds of restored values.
const MAX_UNITS: f64 = 1e9;
const MAX_CONCURRENCY: f64 = 1e3;
const MAX_LATENCY_SECONDS: f64 = 1e3;
const MAX_CLASS_ANSWERS: f64 = 100.0;
const MAX_SLOWNESS: f64 = 10.0;
const MAX_EVIDENCE: f64 = 10.0;

/// Limits a restored value; one that is not finite is replaced.
fn valid_or(value: f64, min: f64, max: f64, fallback: f64) -> f64 {
    if value.is_finite() {
        value.clamp(min, max)
    } else {
        fallback
    }
}

fn valid_units(units: f64) -> f64 {
    valid_or(units, 0.0, MAX_UNITS, 0.0)
}

impl DecisionEngine {
    /// Continues from a predecessor's snapshot.
    pub(crate) fn restore(&mut self, snapshot: &EngineSnapshot) {
        if self.now.saturating_sub(snapshot.at) > MAX_AGE {
            return;
        }
        self.restore_counter_calls(snapshot.counter_calls);
        self.restore_admission(snapshot.admission);
        self.mean_weight_rate = valid_or(
            snapshot.mean_weight_rate,
            0.0,
            MAX_UNITS,
            self.mean_weight_rate,
        );
        let limit = self.host_pool.concurrency_limit;
        self.host_pool.concurrency_limit =
            valid_or(snapshot.concurrency_limit, 0.1, MAX_CONCURRENCY, limit);
        for class in &snapshot.classes {
            self.restore_class(class);
        }
        for host in &snapshot.hosts {
            self.restore_host(host);
        }
        for zone in &snapshot.zones {
            let value = valid_or(zone.slowness, 0.0, MAX_SLOWNESS, 1.0);
            let slowness = ZoneSlowness {
                value,
                measured_at: zone.measured_at.min(self.now),
            };
            self.host_pool
                .zone_slowness
                .entry(ZoneId(zone.zone))
                .or_insert(slowness);
        }
        for customer in &snapshot.customers {
            let quota = restored_quota(customer, self.now);
            self.quotas
                .customers
                .entry(CustomerId(customer.customer))
                .or_insert(quota);
        }
    }

    fn restore_counter_calls(&mut self, calls: CounterCallsSnapshot) {
        let quotas = &mut self.quotas;
        quotas.call_ratio = valid_or(calls.ratio, MIN_CALL_RATIO, 1.0, quotas.call_ratio);
        quotas.mean_need = valid_or(calls.mean_need, 0.0, MAX_UNITS, quotas.mean_need);
    }

    fn restore_admission(&mut self, admission: AdmissionSnapshot) {
        let pool = &mut self.host_pool;
        pool.admission_ratio = valid_or(
            admission.ratio,
            MIN_ADMISSION_RATIO,
            1.0,
            pool.admission_ratio,
        );
        pool.mean_lateness = valid_or(admission.mean_lateness, 0.0, 1.0, pool.mean_lateness);
        pool.lateness_at = admission.measured_at.min(self.now);
        pool.success_lateness =
            valid_or(admission.success_lateness, 0.0, 1.0, pool.success_lateness);
    }

    /// Restores the answer times of a class, identified by its name.
    fn restore_class(&mut self, class: &ClassSnapshot) {
        let index = self
            .settings
            .classes
            .iter()
            .rposition(|known| known.name == class.name);
        let Some(index) = index else { return };
        let latency = &mut self.host_pool.class_latency[index];
        if latency.answers == 0.0 {
            latency.mean = valid_or(class.mean_latency, 0.0, MAX_LATENCY_SECONDS, 0.0);
            latency.answers = valid_or(class.answers, 0.0, MAX_CLASS_ANSWERS, 0.0);
        }
    }

    /// Restores the measurements of a host, if it is still the same process.
    fn restore_host(&mut self, snapshot: &HostSnapshot) {
        let is_same = |host: &&mut Host| host.entry.started == snapshot.started;
        let Some(host) = self
            .host_pool
            .hosts
            .get_mut(&HostId(snapshot.host))
            .filter(is_same)
        else {
            return;
        };
        host.slowness = valid_or(snapshot.slowness.value, 0.0, MAX_SLOWNESS, 1.0);
        host.evidence = valid_or(snapshot.slowness.evidence, 0.0, MAX_EVIDENCE, 0.0);
        host.measured_at = snapshot.slowness.measured_at.min(self.now);
        host.concurrency_limit = valid_or(
            snapshot.concurrency_limit,
            1.0,
            MAX_CONCURRENCY,
            host.concurrency_limit,
        );
    }
}

fn restored_quota(snapshot: &CustomerSnapshot, now: Nanos) -> CustomerQuota {
    CustomerQuota {
        window: snapshot.window,
        total: valid_units(snapshot.totals.current),
        previous_total: valid_units(snapshot.totals.previous),
        is_total_known: snapshot.totals.is_current_known,
        is_previous_read: snapshot.totals.is_previous_read,
        confirmed: valid_units(snapshot.confirmed.amount),
        lost: valid_units(snapshot.confirmed.lost),
        own: valid_units(snapshot.own.current),
        previous_own: valid_units(snapshot.own.previous),
        local_tokens: valid_units(snapshot.local_tokens.units),
        local_refilled_at: snapshot.local_tokens.at.min(now),
        previous_credit: valid_units(snapshot.previous_credit),
        recent_units: valid_units(snapshot.recent_units.units),
        last_seen: snapshot.recent_units.at.min(now),
        ..CustomerQuota::default()
    }
}
