use super::{CallSampler, CustomerFrequency, MIN_CALL_RATIO};
use crate::api::{LogEvent, Outcome};
use crate::quota::CounterReply;

const TIMEOUT: u64 = 50_000_000;

/// Records `count` identical replies and returns the events that they cause.
fn record(
    sampler: &mut CallSampler,
    outcome: Outcome,
    elapsed: u64,
    count: usize,
) -> Vec<LogEvent> {
    let reply = CounterReply {
        outcome,
        total: 0.0,
        elapsed,
    };
    (0..count)
        .filter_map(|_| sampler.record_reply(&reply, TIMEOUT))
        .collect()
}

#[test]
fn every_request_calls_a_prompt_counter() {
    let mut sampler = CallSampler::new();
    record(&mut sampler, Outcome::Good, TIMEOUT / 10, 20);
    let sampling = sampler.sample(0.01, CustomerFrequency::Frequent);
    assert!(!sampler.is_call_skipped(sampling, 0.999));
}

#[test]
fn failures_lower_the_ratio_to_its_bound_and_are_logged_once() {
    let mut sampler = CallSampler::new();
    let events = record(&mut sampler, Outcome::Timeout, TIMEOUT, 60);
    assert_eq!(events, [LogEvent::CounterDegraded]);
    assert_eq!(sampler.call_ratio(), MIN_CALL_RATIO);
}

#[test]
fn prompt_replies_restore_the_ratio_and_are_logged_once() {
    let mut sampler = CallSampler::new();
    record(&mut sampler, Outcome::Timeout, TIMEOUT, 60);
    let events = record(&mut sampler, Outcome::Good, 0, 60);
    assert_eq!(events, [LogEvent::CounterRecovered]);
    assert_eq!(sampler.call_ratio(), 1.0);
}

#[test]
fn larger_needs_call_a_slow_counter_more_often() {
    let mut sampler = CallSampler::new();
    record(&mut sampler, Outcome::Timeout, TIMEOUT, 5);
    for _ in 0..50 {
        sampler.sample(0.1, CustomerFrequency::Frequent);
    }
    let small = sampler.sample(0.02, CustomerFrequency::Frequent);
    let large = sampler.sample(0.3, CustomerFrequency::Frequent);
    assert!(small.probability < sampler.call_ratio() && sampler.call_ratio() < large.probability);
}

#[test]
fn call_of_infrequent_customer_represents_skipped_requests() {
    let mut sampler = CallSampler::new();
    record(&mut sampler, Outcome::Timeout, TIMEOUT, 5);
    let sampling = sampler.sample(0.1, CustomerFrequency::Infrequent);
    assert_eq!(sampling.weight, 1.0 / sampling.probability);
}
