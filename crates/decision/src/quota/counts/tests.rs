use super::WindowCounts;
use crate::api::{CustomerId, Outcome};
use crate::quota::counter_calls::{CounterCall, WindowKey};
use crate::quota::CounterReply;

fn add(counts: &mut WindowCounts, amount: f64) -> CounterCall {
    counts.pending += amount;
    counts.record_call(amount);
    CounterCall {
        key: WindowKey {
            customer: CustomerId(1),
            window: 0,
        },
        amount,
        request: None,
        confirmed: counts.confirmed,
    }
}

fn reply(outcome: Outcome, total: f64) -> CounterReply {
    CounterReply {
        outcome,
        total,
        elapsed: 0,
    }
}

#[test]
fn reply_sets_the_total_and_confirms_own_adds() {
    let mut counts = WindowCounts::default();
    let call = add(&mut counts, 2.0);
    counts.record_reply(&call, &reply(Outcome::Good, 30.0));
    assert_eq!((counts.total, counts.own, counts.pending), (30.0, 2.0, 0.0));
    assert!(counts.is_total_known);
}

#[test]
fn add_without_a_reply_is_assumed_to_be_counted() {
    let mut counts = WindowCounts::default();
    let call = add(&mut counts, 2.0);
    counts.record_reply(&call, &reply(Outcome::Timeout, 0.0));
    assert_eq!((counts.total, counts.own, counts.unsent), (2.0, 2.0, 0.0));
}

#[test]
fn rejected_add_is_included_in_the_next_call() {
    let mut counts = WindowCounts::default();
    let call = add(&mut counts, 2.0);
    counts.record_reply(&call, &reply(Outcome::Rejected, 0.0));
    assert_eq!(counts.take_unsent(), 2.0);
    assert_eq!(counts.unsent, 0.0);
}

#[test]
fn lost_counts_remain_in_the_total() {
    let mut counts = WindowCounts::default();
    let call = add(&mut counts, 20.0);
    counts.record_reply(&call, &reply(Outcome::Good, 50.0));
    let call = add(&mut counts, 1.0);
    counts.record_reply(&call, &reply(Outcome::Good, 1.0));
    assert_eq!((counts.total, counts.lost), (51.0, 50.0));
}

#[test]
fn refund_lowers_the_expected_total() {
    let mut counts = WindowCounts::default();
    let call = add(&mut counts, 20.0);
    counts.record_reply(&call, &reply(Outcome::Good, 20.0));
    let refund = add(&mut counts, -15.0);
    counts.record_reply(&refund, &reply(Outcome::Good, 5.0));
    let call = add(&mut counts, 1.0);
    counts.record_reply(&call, &reply(Outcome::Good, 6.0));
    assert_eq!((counts.total, counts.lost), (6.0, 0.0));
}
