use super::*;

const MS: Nanos = 1_000_000;

fn total(total: f64) -> CounterReply {
    CounterReply {
        outcome: Outcome::Good,
        total,
    }
}

#[test]
fn totals_are_by_name_and_expire() {
    let mut counter = Counter::new(&CounterSetup::default());
    assert_eq!(counter.execute("a", 2.0, 50 * MS, 0), total(2.0));
    assert_eq!(counter.execute("a", 3.0, 9_000 * MS, 40 * MS), total(5.0));
    assert_eq!(counter.execute("b", 0.0, MS, 41 * MS), total(0.0));
    // The lifetime is that of the first call.
    assert_eq!(counter.execute("a", 1.0, 50 * MS, 51 * MS), total(1.0));
    counter.clear();
    assert_eq!(counter.execute("a", 1.0, 50 * MS, 52 * MS), total(1.0));
}

#[test]
fn calls_wait_in_the_queue_of_their_shard() {
    let mut counter = Counter::new(&CounterSetup::default());
    assert_eq!(counter.enqueue("a", 0), Some(1_200_000));
    assert_eq!(counter.enqueue("a", 0), Some(2_400_000));
    counter.mode = CounterMode::Slow(5.0);
    assert_eq!(counter.enqueue("a", 10 * MS), Some(16 * MS));
    counter.mode = CounterMode::Silent;
    assert_eq!(counter.enqueue("a", 20 * MS), None);
    let reply = counter.execute("a", 1.0, MS, 20 * MS);
    assert_eq!(reply.outcome, Outcome::Timeout);
}
