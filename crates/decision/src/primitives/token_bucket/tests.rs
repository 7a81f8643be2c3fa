use super::TokenBucket;
use crate::time::SECOND;

#[test]
fn refill_stops_at_the_capacity() {
    let mut bucket = TokenBucket::new(1.0, SECOND);
    bucket.refill(2 * SECOND, 3.0, 5.0);
    assert_eq!(bucket.tokens(), 4.0);
    bucket.refill(3 * SECOND, 3.0, 5.0);
    assert_eq!(bucket.tokens(), 5.0);
}

#[test]
fn time_counts_from_the_last_refill() {
    let mut bucket = TokenBucket::default();
    bucket.refill(4 * SECOND, 1.0, 1.0);
    assert_eq!(bucket.seconds_since_refill(6 * SECOND), 2.0);
    assert_eq!(bucket.refilled_at(), 4 * SECOND);
}

#[test]
fn bucket_may_be_overdrawn() {
    let mut bucket = TokenBucket::new(1.0, 0);
    bucket.remove_tokens(3.0);
    assert_eq!(bucket.tokens(), -2.0);
}
