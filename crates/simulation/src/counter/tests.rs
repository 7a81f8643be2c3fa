//! Tests of the expiry of totals and the queues of shards.

use super::*;

const MILLISECOND: Nanos = 1_000_000;
/// Default execution time of a call.
const CALL_DURATION: Nanos = 1_200_000;

fn total(total: f64) -> CounterReply {
    CounterReply {
        outcome: Outcome::Good,
        total,
    }
}

#[test]
fn totals_are_kept_by_name() {
    let mut counter = Counter::new(&CounterSetup::default());
    let lifetime = 9_000 * MILLISECOND;
    assert_eq!(counter.execute("a", 2.0, lifetime, 0), total(2.0));
    assert_eq!(counter.execute("a", 3.0, lifetime, 40), total(5.0));
    assert_eq!(counter.execute("b", 0.0, lifetime, 41), total(0.0));
}

#[test]
fn total_expires_after_the_lifetime_of_its_first_call() {
    let mut counter = Counter::new(&CounterSetup::default());
    counter.execute("a", 2.0, 50 * MILLISECOND, 0);
    let second = counter.execute("a", 3.0, 9_000 * MILLISECOND, 40 * MILLISECOND);
    assert_eq!(second, total(5.0));
    let after_expiry = counter.execute("a", 1.0, 50 * MILLISECOND, 51 * MILLISECOND);
    assert_eq!(after_expiry, total(1.0));
}

#[test]
fn cleared_counter_has_no_totals() {
    let mut counter = Counter::new(&CounterSetup::default());
    counter.execute("a", 1.0, 50 * MILLISECOND, 0);
    counter.clear();
    assert_eq!(counter.execute("a", 1.0, 50 * MILLISECOND, 1), total(1.0));
}

#[test]
fn calls_wait_in_the_queue_of_their_shard() {
    let mut counter = Counter::new(&CounterSetup::default());
    assert_eq!(counter.enqueue("a", 0), Some(CALL_DURATION));
    assert_eq!(counter.enqueue("a", 0), Some(2 * CALL_DURATION));
}

#[test]
fn slow_counter_takes_a_multiple_of_its_usual_time() {
    let mut counter = Counter::new(&CounterSetup::default());
    counter.mode = CounterMode::Slow(5.0);
    let now = 10 * MILLISECOND;
    assert_eq!(counter.enqueue("a", now), Some(now + 5 * CALL_DURATION));
}

#[test]
fn silent_counter_neither_queues_nor_answers_calls() {
    let mut counter = Counter::new(&CounterSetup::default());
    counter.mode = CounterMode::Silent;
    assert_eq!(counter.enqueue("a", 0), None);
    let reply = counter.execute("a", 1.0, MILLISECOND, 0);
    assert_eq!(reply.outcome, Outcome::Timeout);
}
