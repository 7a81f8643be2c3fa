//! Generated deployments.

use super::clients::MAX_REQUESTS;
use super::*;
use quartzcleat_decision::api::HostState;
use std::collections::BTreeSet;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=40;

#[test]
fn seed_generates_one_deployment() {
    let descriptions = || -> Vec<String> { SEEDS.map(|seed| generate(seed).description).collect() };
    assert_eq!(descriptions(), descriptions());
}

#[test]
fn seeds_generate_different_incidents() {
    let incidents: BTreeSet<_> = SEEDS.map(|seed| generate(seed).incident.name()).collect();
    assert!(incidents.len() >= 8, "{incidents:?}");
}

#[test]
fn deployments_have_requests_and_begin_with_ready_hosts() {
    for seed in SEEDS {
        let scenario = generate(seed).scenario;
        let is_request = |step: &&Step| matches!(step.event, ScenarioEvent::Request(_));
        let requests = scenario.steps.iter().filter(is_request).count();
        assert!(
            (20..=MAX_REQUESTS).contains(&requests),
            "seed {seed}: {requests} requests"
        );
        assert!(scenario
            .hosts
            .iter()
            .all(|host| host.state == HostState::Ready));
    }
}
