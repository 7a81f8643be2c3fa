//! The limit on the number of customers with a record.

use crate::CUSTOMER;
use quartzcleat::api::RequestId;
use quartzcleat_test_support::engine::EngineHarness;
use quartzcleat_test_support::settings::{settings, IDEMPOTENT, MILLISECOND};

const MAX_CUSTOMERS: usize = 100;
/// Number of customers that come once.
const OTHERS: u64 = 1_000;
/// Number of other customers between two requests of the usual one.
const OTHERS_BETWEEN: u64 = 40;

fn limited_harness() -> EngineHarness {
    let mut harness = EngineHarness::new(settings(), 2);
    harness.engine.limit_customers(MAX_CUSTOMERS);
    harness
}

/// Serves a request of a customer, whether or not the counter is called for it.
fn serve(harness: &mut EngineHarness, customer: u64) {
    let mut actions = harness.request(IDEMPOTENT, customer, 1.0).actions;
    while let Some(call) = actions.counter_call() {
        actions = harness.reply_with_total(&call.name, call.amount);
    }
    let sent = actions.attempt().expect("the request goes to a host");
    harness.serve(sent);
    harness.now += MILLISECOND;
}

/// One client that sent requests under ever new names filled the memory of customers, and the requests of all others were
/// rejected until the records expired (incident rejections-under-new-names).
#[test]
fn customers_that_come_once_take_the_places_of_each_other() {
    let mut harness = limited_harness();
    for other in 0..OTHERS {
        if other % OTHERS_BETWEEN == 0 {
            serve(&mut harness, CUSTOMER);
        }
        serve(&mut harness, 1_000 + other);
        assert!(harness.engine.customer_count() <= MAX_CUSTOMERS);
    }
    let usual = harness.engine.snapshot();
    let usual = usual
        .customers
        .iter()
        .find(|record| record.customer == CUSTOMER);
    let record = usual.expect("a customer that sends often keeps its record");
    // One unit of each request, less what has decayed.
    let sent_units = (OTHERS / OTHERS_BETWEEN) as f64;
    assert!(record.recent_units.units > 0.9 * sent_units);
}

/// While the requests of all customers with a record are in progress, further customers are rejected, and those with a
/// record are not.
#[test]
fn customers_with_requests_in_progress_keep_their_records() {
    let mut harness = limited_harness();
    let waiting: Vec<RequestId> = (0..MAX_CUSTOMERS as u64)
        .map(|customer| harness.request(IDEMPOTENT, customer, 1.0).id)
        .collect();
    assert_eq!(waiting.len(), harness.engine.customer_count());
    let further = harness.request(IDEMPOTENT, 5_000, 1.0);
    assert!(further.actions.is_rejected(further.id));
    let known = harness.request(IDEMPOTENT, 7, 1.0);
    assert!(known.actions.counter_call().is_some());
    assert_eq!(harness.engine.customer_count(), MAX_CUSTOMERS);
}
