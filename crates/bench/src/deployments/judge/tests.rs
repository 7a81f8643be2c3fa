//! Judged deployments.

use super::*;
use crate::deployments::generate::Incident;

/// Results are the same each time, near the baseline on undisturbed deployments and not far above it on all.
#[test]
fn deployments_are_judged_and_keep_the_invariants() {
    let mut undisturbed = Vec::new();
    for seed in [1, 4, 9] {
        let result = judge(seed);
        assert_eq!(result.value, judge(seed).value);
        assert!(result.broken.is_empty(), "seed {seed}: {:?}", result.broken);
        let served = result.value.served;
        assert!(
            served < 1.25,
            "seed {seed}: {served} of what the baseline serves"
        );
        if result.deployment.incident == Incident::None {
            undisturbed.push(served);
        }
    }
    assert!(
        !undisturbed.is_empty() && undisturbed.iter().all(|served| *served > 0.3),
        "{undisturbed:?}"
    );
}
