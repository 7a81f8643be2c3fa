use super::{ExponentialMean, WeightedMean};

#[test]
fn exponential_mean_moves_by_a_fraction_of_the_difference() {
    let mut mean = ExponentialMean::new(2.0);
    mean.record(4.0, 0.25);
    assert_eq!(mean.value(), 2.5);
}

#[test]
fn weighted_mean_is_the_arithmetic_mean_below_its_bound() {
    let mut mean = WeightedMean::default();
    for sample in [1.0, 2.0, 6.0] {
        mean.record(sample, 10.0);
    }
    assert_eq!((mean.value(), mean.weight()), (3.0, 3.0));
}

#[test]
fn weighted_mean_at_its_bound_follows_later_samples() {
    let mut mean = WeightedMean::new(1.0, 2.0);
    mean.record(3.0, 2.0);
    assert_eq!((mean.value(), mean.weight()), (2.0, 2.0));
}

#[test]
fn decay_gives_the_next_sample_more_weight() {
    let mut mean = WeightedMean::new(1.0, 4.0);
    mean.decay(0.25);
    mean.record(3.0, 10.0);
    assert_eq!((mean.value(), mean.weight()), (2.0, 2.0));
}
