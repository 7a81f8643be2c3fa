use super::{
    sample_score, LatencyScore, Measurement, ZoneLatencies, FAILURE_LATENCY_SCORE,
    MAX_LATENCY_SCORE,
};
use crate::api::ZoneId;
use crate::time::SECOND;

#[test]
fn sample_is_a_multiple_of_the_class_mean_within_bounds() {
    assert_eq!(sample_score(0.3, 0.1, Measurement::Answer), 0.3 / 0.1);
    assert_eq!(
        sample_score(9.0, 0.1, Measurement::Answer),
        MAX_LATENCY_SCORE
    );
}

#[test]
fn fast_failure_counts_as_slow() {
    assert_eq!(
        sample_score(0.001, 0.1, Measurement::Failure),
        FAILURE_LATENCY_SCORE
    );
}

#[test]
fn host_without_samples_has_its_zones_score() {
    assert_eq!(LatencyScore::new(0).mixed_with_zone(3.0, SECOND), 3.0);
}

#[test]
fn own_samples_outweigh_the_zone_until_they_are_old() {
    let mut latency = LatencyScore::new(0);
    for _ in 0..8 {
        latency.record(1.0, SECOND);
    }
    assert!(latency.mixed_with_zone(5.0, SECOND) < 2.0);
    assert!(latency.mixed_with_zone(5.0, 60 * SECOND) > 4.9);
}

#[test]
fn zone_score_returns_to_one() {
    let mut zones = ZoneLatencies::default();
    for _ in 0..30 {
        zones.record(ZoneId(1), FAILURE_LATENCY_SCORE, SECOND);
    }
    assert!(zones.score(ZoneId(1), SECOND) > 4.0);
    assert!(zones.score(ZoneId(1), 60 * SECOND) < 1.1);
    assert_eq!(zones.score(ZoneId(2), SECOND), 1.0, "another zone");
}
