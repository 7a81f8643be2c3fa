//! Slow start: a host that started recently gets its part of the attempts and no overload.

use quartzcleat::api::{HostEntry, HostId, ListMode, Nanos, Outcome};
use quartzcleat_test_support::actions::{Actions, OrderedAttempt};
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness, START};
use quartzcleat_test_support::settings::{
    host, host_of_pair, settings, settings_with, IDEMPOTENT, MILLISECOND, SECOND,
};
use std::collections::VecDeque;

/// Adds a host that has just started, or lets a known one start again.
fn start_host(harness: &mut EngineHarness, entry: &HostEntry) {
    let starting = HostEntry {
        started: harness.now,
        ..entry.clone()
    };
    harness.update_hosts(ListMode::Update, vec![starting]);
}

/// The part of 600 requests that goes to the starting one of three hosts, which takes a multiple of the others' time.
fn part_of_starting_host(slow_factor: u64) -> f64 {
    const STARTING: HostId = HostId(3);
    const USUAL_TIME: Nanos = 20 * MILLISECOND;
    let mut harness = EngineHarness::new(settings(), 3);
    start_host(&mut harness, &host_of_pair(STARTING.0));
    let mut to_starting = 0;
    let mut all = 0;
    for customer in 0..600 {
        let sent = harness.send(IDEMPOTENT, customer);
        let elapsed = if sent.host == STARTING {
            slow_factor * USUAL_TIME
        } else {
            USUAL_TIME
        };
        harness.end_attempt(EndedAttempt::good(sent.id, sent.host).after(elapsed));
        all += 1;
        to_starting += u32::from(sent.host == STARTING);
    }
    f64::from(to_starting) / f64::from(all)
}

/// Hosts gain capacity by serving requests: one that answers as fast as others gets more than by its age alone, one that
/// answers slowly gets its least part, and neither enough to be overloaded.
#[test]
fn host_in_slow_start_with_prompt_answers_gets_more() {
    let slow = part_of_starting_host(4);
    let prompt = part_of_starting_host(1);
    // It has a fifth of its later capacity, two others have all of theirs: its part of the capacity is an eleventh.
    let least = 0.2 / 2.2;
    assert!(
        slow < least && prompt > 1.2 * slow && prompt < 1.25 * least,
        "{slow} {prompt}"
    );
}

/// The host that is added to three others in the tests below.
const ADDED: HostId = HostId(4);

/// A limiter with three hosts past their slow start and one that has just started.
fn harness_with_added_host(limiters: u32) -> EngineHarness {
    let settings = settings_with(|settings| settings.limiters.count = limiters);
    let mut harness = EngineHarness::new(settings, 3);
    start_host(&mut harness, &host(ADDED.0, 2));
    harness
}

/// Attempts of a limiter, by where they went.
#[derive(Default)]
struct AttemptCounts {
    to_added_host: usize,
    total: usize,
}

impl AttemptCounts {
    fn add(&mut self, attempt: OrderedAttempt) {
        self.total += 1;
        self.to_added_host += usize::from(attempt.host == ADDED);
    }
}

/// Sends a request that passes after its wait for the counter.
fn request_after_counter_wait(harness: &mut EngineHarness, customer: u64) -> Actions {
    let request = harness.request(IDEMPOTENT, customer, 1.0);
    let wait = request.actions.counter_wait().expect("a call was made");
    harness.fire(wait)
}

/// Six attempts are in flight at a time, so that the other hosts are never idle.
#[test]
fn host_in_slow_start_gets_its_part_only() {
    let mut harness = harness_with_added_host(2);
    let mut counts = AttemptCounts::default();
    let mut in_flight = VecDeque::new();
    for customer in 0..60 {
        let mut actions = request_after_counter_wait(&mut harness, customer);
        let late_reply = harness.reply_with_total(&format!("q{customer:x}.250"), 1.0);
        assert!(late_reply.is_empty());
        loop {
            if let Some(attempt) = actions.attempt() {
                in_flight.push_back(attempt);
                counts.add(attempt);
            }
            if in_flight.len() < 6 {
                break;
            }
            harness.now += 10 * MILLISECOND;
            let oldest = in_flight.pop_front().expect("six are in flight");
            actions = harness.serve(oldest);
        }
    }
    assert!(
        counts.total >= 55 && counts.to_added_host <= 6,
        "{} of {} attempts went to a host at a fifth of its capacity",
        counts.to_added_host,
        counts.total
    );
}

#[test]
fn host_in_slow_start_gets_no_burst_when_others_are_full() {
    let mut harness = harness_with_added_host(2);
    let mut hosts = Vec::new();
    for customer in 0..8 {
        hosts.extend(request_after_counter_wait(&mut harness, customer).attempted_host());
    }
    assert!(hosts.len() < 8, "two at each other host, the rest waits");
    assert!(hosts.iter().filter(|host| **host == ADDED).count() <= 1);
}

/// Attempts for 200 requests, three in flight at a time, of one of some limiters.
fn attempts_of_one_limiter(limiters: u32) -> AttemptCounts {
    let mut harness = harness_with_added_host(limiters);
    let mut in_flight = VecDeque::new();
    let mut counts = AttemptCounts::default();
    for customer in 0..200 {
        harness.now += MILLISECOND;
        let request = harness.request(IDEMPOTENT, customer, 1.0);
        let Some(call) = request.actions.counter_call() else {
            continue;
        };
        let mut actions = harness.reply_with_total(&call.name, call.amount);
        loop {
            if let Some(attempt) = actions.attempt() {
                counts.add(attempt);
                in_flight.push_back(attempt);
                if in_flight.len() < 3 {
                    break;
                }
            }
            // Three are in flight, or the limiter has no capacity for more: the oldest is answered.
            let Some(oldest) = in_flight.pop_front() else {
                break;
            };
            actions = harness.serve(oldest);
            if actions.attempt().is_none() {
                break;
            }
        }
    }
    counts
}

/// A fifth of a host's capacity is 6% of that of all hosts.
#[test]
fn slow_start_part_is_the_same_for_any_number_of_limiters() {
    for limiters in [2, 300] {
        let AttemptCounts {
            to_added_host,
            total,
        } = attempts_of_one_limiter(limiters);
        assert!(
            total > 100 && to_added_host > 0 && to_added_host * 10 < total,
            "{to_added_host} of {total} at one of {limiters} limiters"
        );
    }
}

/// The host in slow start beside ten others.
const ELEVENTH: HostId = HostId(11);
/// Requests that one host serves in a second.
const HOST_RATE: f64 = 100.0;
/// Requests of a second: two thirds of what ten hosts serve.
const REQUESTS: usize = 666;

/// Limiters with ten hosts and one in slow start. Each has a seed of its own: with one for all, their random numbers
/// would be the same.
fn limiters_with_eleventh_host(limiters: usize) -> Vec<EngineHarness> {
    (0..limiters)
        .map(|number| {
            let settings = settings_with(|settings| settings.limiters.count = limiters as u32);
            let mut harness = EngineHarness::with_seed(settings, 10, number as u64);
            harness.spread = 1;
            start_host(&mut harness, &host(ELEVENTH.0, 6));
            harness
        })
        .collect()
}

/// The most attempts to a host within a second of its start: its overload, and so much more by chance.
fn attempts_without_overload() -> f64 {
    let slow_start = settings().slow_start;
    let seconds = slow_start.overload_duration as f64 / SECOND as f64;
    let budget = slow_start.overload_factor * slow_start.initial_capacity * HOST_RATE * seconds;
    budget + 2.0 * budget.sqrt() + 2.0
}

/// The attempts of all limiters together in the second after the start of a host.
#[derive(Default)]
struct JointAttempts {
    total: usize,
    to_eleventh: usize,
}

impl JointAttempts {
    /// Sends a request, and ends its attempts: every fourth one gets no connection and is retried.
    fn send(&mut self, harness: &mut EngineHarness, customer: u64) {
        let request = harness.request(IDEMPOTENT, customer, 1.0);
        let Some(call) = request.actions.counter_call() else {
            return;
        };
        let mut actions = harness.reply_with_total(&call.name, call.amount);
        for number in 0.. {
            let Some(attempt) = actions.attempt() else {
                return;
            };
            self.total += 1;
            self.to_eleventh += usize::from(attempt.host == ELEVENTH);
            let outcome = if self.total.is_multiple_of(4) {
                Outcome::ConnectFailed
            } else {
                Outcome::Good
            };
            let ended = EndedAttempt::new(attempt.id, attempt.host, outcome);
            actions = harness.end_attempt(ended.of_attempt(number));
        }
    }
}

/// The load that all limiters together send to a host in slow start while it may be overloaded is within its budget, however many
/// they are.
#[test]
fn all_limiters_together_keep_slow_start_budget() {
    let bound = attempts_without_overload();
    for limiters in [3, 30, 300] {
        let mut harnesses = limiters_with_eleventh_host(limiters);
        let mut attempts = JointAttempts::default();
        for number in 0..REQUESTS {
            let harness = &mut harnesses[number % limiters];
            harness.now = START + number as u64 * SECOND / REQUESTS as u64;
            attempts.send(harness, number as u64);
        }
        let JointAttempts { total, to_eleventh } = attempts;
        assert!(
            total > REQUESTS / 2,
            "{total} of {REQUESTS} at {limiters} limiters"
        );
        assert!(
            to_eleventh > 0 && (to_eleventh as f64) <= bound,
            "{to_eleventh} of {bound} at {limiters} limiters"
        );
    }
}
