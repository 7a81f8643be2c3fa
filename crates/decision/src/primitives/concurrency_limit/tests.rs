use super::ConcurrencyLimit;

#[test]
fn steps_are_added_down_to_the_minimum() {
    let mut limit = ConcurrencyLimit::new(4.0);
    limit.add(0.5, 1.0);
    assert_eq!(limit.value(), 4.5);
    limit.add(-9.0, 1.0);
    assert_eq!(limit.value(), 1.0);
}

#[test]
fn backoff_multiplies_down_to_the_minimum() {
    let mut limit = ConcurrencyLimit::new(4.0);
    limit.back_off(0.5, 1.5);
    assert_eq!(limit.value(), 2.0);
    limit.back_off(0.5, 1.5);
    assert_eq!(limit.value(), 1.5);
}
