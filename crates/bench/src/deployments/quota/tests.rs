//! Exact quotas.

use super::Charge::{BeyondQuota, WithinQuota};
use super::*;
use quartzcleat_decision::api::Plan;

#[test]
fn quota_grants_its_burst_and_then_its_rate() {
    let settings = Settings {
        plans: vec![Plan {
            rate: 2.0,
            burst: 3.0,
            ..Plan::default()
        }],
        ..Settings::default()
    };
    let subscription = |customer| Subscription {
        customer: PartnerIndex(customer),
        plan: PlanIndex(0),
    };
    let mut quotas = ExactQuotas::default();
    let charges: Vec<Charge> = (0..8)
        .map(|quarter| {
            let now = 1_000_000_000 + quarter * 250_000_000;
            quotas.charge(&settings, subscription(0), 1.0, now)
        })
        .collect();
    assert_eq!(
        charges,
        [
            WithinQuota,
            WithinQuota,
            WithinQuota,
            WithinQuota,
            WithinQuota,
            BeyondQuota,
            WithinQuota,
            BeyondQuota
        ]
    );
    assert_eq!(
        quotas.charge(&settings, subscription(1), 3.0, 0),
        WithinQuota,
        "another customer's quota is full"
    );
}
