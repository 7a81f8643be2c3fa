//! Taking a snapshot.

use super::*;
use crate::quota::CustomerQuota;
use std::cmp::Reverse;

/// Maximum number of customers in a snapshot; those seen last are kept.
const MAX_CUSTOMERS: usize = 4096;

impl DecisionEngine {
    /// The present state.
    #[must_use]
    pub fn snapshot(&self) -> EngineSnapshot {
        EngineSnapshot {
            at: self.now,
            counter_calls: CounterCallsSnapshot {
                ratio: self.quotas.call_ratio,
                mean_need: self.quotas.mean_need,
            },
            admission: AdmissionSnapshot {
                ratio: self.host_pool.admission_ratio,
                mean_lateness: self.host_pool.mean_lateness,
                measured_at: self.host_pool.lateness_at,
                success_lateness: self.host_pool.success_lateness,
            },
            mean_weight_rate: self.mean_weight_rate,
            concurrency_limit: self.host_pool.concurrency_limit,
            classes: self.class_snapshots(),
            hosts: self.host_snapshots(),
            zones: self.zone_snapshots(),
            customers: self.customer_snapshots(),
        }
    }

    fn class_snapshots(&self) -> Vec<ClassSnapshot> {
        let classes = self
            .settings
            .classes
            .iter()
            .zip(&self.host_pool.class_latency);
        let snapshot = |(class, latency): (&Class, &ClassLatency)| ClassSnapshot {
            name: class.name.clone(),
            mean_latency: latency.mean,
            answers: latency.answers,
        };
        classes.map(snapshot).collect()
    }

    fn host_snapshots(&self) -> Vec<HostSnapshot> {
        let snapshot = |(id, host): (&HostId, &Host)| HostSnapshot {
            host: id.0,
            started: host.entry.started,
            slowness: SlownessSnapshot {
                value: host.slowness,
                evidence: host.evidence,
                measured_at: host.measured_at,
            },
            concurrency_limit: host.concurrency_limit,
        };
        self.host_pool.hosts.iter().map(snapshot).collect()
    }

    fn zone_snapshots(&self) -> Vec<ZoneSnapshot> {
        let snapshot = |(zone, slowness): (&ZoneId, &ZoneSlowness)| ZoneSnapshot {
            zone: zone.0,
            slowness: slowness.value,
            measured_at: slowness.measured_at,
        };
        self.host_pool.zone_slowness.iter().map(snapshot).collect()
    }

    fn customer_snapshots(&self) -> Vec<CustomerSnapshot> {
        let mut customers: Vec<_> = self.quotas.customers.iter().collect();
        customers.sort_by_key(|(_, quota)| Reverse(quota.last_seen));
        customers
            .into_iter()
            .take(MAX_CUSTOMERS)
            .map(|(id, quota)| customer_snapshot(*id, quota))
            .collect()
    }
}

fn customer_snapshot(id: CustomerId, quota: &CustomerQuota) -> CustomerSnapshot {
    CustomerSnapshot {
        customer: id.0,
        window: quota.window,
        totals: TotalsSnapshot {
            current: quota.total,
            previous: quota.previous_total,
            is_current_known: quota.is_total_known,
            is_previous_read: quota.is_previous_read,
        },
        confirmed: ConfirmedSnapshot {
            amount: quota.confirmed - quota.refunded,
            lost: quota.lost,
        },
        own: OwnAddsSnapshot {
            current: quota.own,
            previous: quota.previous_own,
        },
        local_tokens: TimedUnits {
            units: quota.local_tokens,
            at: quota.local_refilled_at,
        },
        previous_credit: quota.previous_credit,
        recent_units: TimedUnits {
            units: quota.recent_units,
            at: quota.last_seen,
        },
    }
}
