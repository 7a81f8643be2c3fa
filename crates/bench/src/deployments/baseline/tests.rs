//! The baseline on generated deployments.

use super::*;
use crate::deployments::generate::generate;

#[test]
fn baseline_serves_what_fits_and_no_more_than_is_requested() {
    for seed in 1..=3 {
        let scenario = generate(seed).scenario;
        let requested: f64 = scenario
            .steps
            .iter()
            .filter_map(|step| match &step.event {
                ScenarioEvent::Request(request) => Some(priority_weight(
                    &scenario.ground_truth,
                    request.class,
                    request.plan,
                    0,
                )),
                _ => None,
            })
            .sum();
        let served = served_value(&scenario);
        assert!(
            served > 0.1 * requested && served <= requested,
            "seed {seed}: {served} of {requested}"
        );
        let mut larger = scenario.clone();
        for host in &mut larger.hosts {
            host.cores *= 4;
        }
        assert!(
            served_value(&larger) >= served,
            "seed {seed}: more cores never serve less"
        );
    }
}
