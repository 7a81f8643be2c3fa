//! Load shedding and concurrency limits follow the latency of answers.

use quartzcleat::api::{ListMode, Nanos, Outcome, Settings, Timer};
use quartzcleat_test_support::actions::OrderedAttempt;
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{
    host_of_pair, settings_with, IDEMPOTENT, LATENCY_OBJECTIVE, MILLISECOND, SECOND,
};

/// Ends a first attempt well after some time.
fn serve_after(harness: &mut EngineHarness, sent: OrderedAttempt, elapsed: Nanos) {
    harness.end_attempt(EndedAttempt::good(sent.id, sent.host).after(elapsed));
}

/// How many of 100 requests are rejected, where the others are served after some time.
fn rejections_with_latency(harness: &mut EngineHarness, latency: Nanos) -> usize {
    let mut rejections = 0;
    for customer in 0..100 {
        harness.now += 100 * MILLISECOND;
        let request = harness.request(IDEMPOTENT, customer, 1.0);
        rejections += usize::from(request.actions.is_rejected(request.id));
        if let Some(sent) = request.actions.attempt() {
            serve_after(harness, sent, latency);
        }
    }
    rejections
}

#[test]
fn late_answers_lower_admission_ratio_and_prompt_ones_restore_it() {
    const PROMPT: Nanos = 100 * MILLISECOND;
    let settings = settings_with(|settings| settings.counter.is_available = false);
    let mut harness = EngineHarness::new(settings, 40);
    assert_eq!(rejections_with_latency(&mut harness, PROMPT), 0);
    assert!(
        rejections_with_latency(&mut harness, 900 * MILLISECOND) > 50,
        "most are rejected while answers take 0.9 of the objective"
    );
    let recovering: Vec<usize> = (0..4)
        .map(|_| rejections_with_latency(&mut harness, PROMPT))
        .collect();
    assert!(recovering[0] > recovering[3]);
    assert_eq!(
        rejections_with_latency(&mut harness, PROMPT),
        0,
        "all are admitted again"
    );
}

/// Settings whose plan has no quota.
fn settings_without_quota(change: impl FnOnce(&mut Settings)) -> Settings {
    settings_with(|settings| {
        settings.plans[0].rate = 0.0;
        change(settings);
    })
}

/// Every answer is so late that the next requests are shed.
#[test]
fn shed_request_gets_retry_after_within_its_latency_objective() {
    let mut harness = EngineHarness::new(settings_without_quota(|_| ()), 4);
    let mut shed = 0;
    for customer in 0..40 {
        harness.now += 100 * MILLISECOND;
        let request = harness.request(IDEMPOTENT, customer, 1.0);
        if let Some(retry_after) = request.actions.rejection(request.id) {
            assert!(
                retry_after > 0 && retry_after <= LATENCY_OBJECTIVE / 2,
                "{retry_after} of an objective of a second"
            );
            shed += 1;
        }
        if let Some(sent) = request.actions.attempt() {
            serve_after(&mut harness, sent, LATENCY_OBJECTIVE - MILLISECOND);
        }
    }
    assert!(shed > 10, "{shed} shed");
}

/// An attempt in flight, and whether its answer is lost.
struct PendingAnswer {
    due_at: Nanos,
    sent: OrderedAttempt,
    is_lost: bool,
}

/// How many of 400 requests are shed, where four in ten answers are lost and the others take some time.
fn shed_with_lost_answers(latency: Nanos) -> usize {
    let mut harness = EngineHarness::new(settings_without_quota(|_| ()), 20);
    let mut pending = Vec::new();
    let mut shed = 0;
    for customer in 0..400 {
        harness.now += 20 * MILLISECOND;
        let now = harness.now;
        let (due, later): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|answer: &PendingAnswer| answer.due_at <= now);
        pending = later;
        for answer in due {
            end_pending(&mut harness, &answer, latency);
        }
        let request = harness.request(IDEMPOTENT, customer, 1.0);
        shed += usize::from(request.actions.is_rejected(request.id));
        if let Some(sent) = request.actions.attempt() {
            let is_lost = customer % 5 <= 1;
            let elapsed = if is_lost { LATENCY_OBJECTIVE } else { latency };
            pending.push(PendingAnswer {
                due_at: now + elapsed,
                sent,
                is_lost,
            });
        }
    }
    shed
}

/// Delivers an answer; a lost one is given up at the latency objective.
fn end_pending(harness: &mut EngineHarness, answer: &PendingAnswer, latency: Nanos) {
    let sent = answer.sent;
    if !answer.is_lost {
        return serve_after(harness, sent, latency);
    }
    harness.fire(Timer::LatencyObjective { id: sent.id });
    let cancelled = EndedAttempt::new(sent.id, sent.host, Outcome::Cancelled);
    harness.end_attempt(cancelled.of_finished_request());
}

#[test]
fn lost_answers_shed_little_while_others_are_prompt() {
    let shed = shed_with_lost_answers(LATENCY_OBJECTIVE / 20);
    assert!(shed <= 100, "{shed} of 400 shed");
}

#[test]
fn lost_answers_shed_much_while_others_are_late() {
    let shed = shed_with_lost_answers(LATENCY_OBJECTIVE * 2 / 5);
    assert!(shed > 100, "{shed} of 400 shed");
}

/// The attempts that a limiter orders at once for 60 requests.
fn attempts_for_many_requests(harness: &mut EngineHarness) -> Vec<OrderedAttempt> {
    (0..60)
        .filter_map(|customer| harness.request(IDEMPOTENT, customer, 1.0).actions.attempt())
        .collect()
}

/// Each host gets six attempts at the start from all limiters together: hundreds of them cannot overload the hosts. Each
/// prompt answer gives capacity to a queued request, and a little more.
#[test]
fn limiter_starts_with_its_share_of_concurrency() {
    for (limiters, share) in [(2, 30), (20, 3), (340, 1)] {
        let settings = settings_without_quota(|settings| settings.limiters.count = limiters);
        let mut harness = EngineHarness::new(settings, 10);
        let mut in_flight = attempts_for_many_requests(&mut harness);
        assert!(
            in_flight.len() <= share && in_flight.len() * 2 >= share,
            "{} sent by one of {limiters}",
            in_flight.len()
        );
        for _ in 0..20 {
            harness.now += MILLISECOND;
            let oldest = in_flight.remove(0);
            in_flight.extend(harness.serve(oldest).attempts());
            assert!(!in_flight.is_empty());
        }
        assert!(
            in_flight.len() > share.min(15),
            "{} in flight after prompt answers, {share} at the start",
            in_flight.len()
        );
    }
}

/// Two thirds of the hosts are removed: the limit falls at once, not with later answers. Answers that are neither prompt
/// nor late leave the limit as it is, and queued requests are rejected in time.
#[test]
fn concurrency_limit_follows_listed_hosts() {
    const NEITHER_PROMPT_NOR_LATE: Nanos = SECOND * 3 / 10;
    let settings = settings_without_quota(|settings| settings.limiters.count = 20);
    let mut harness = EngineHarness::new(settings, 40);
    for (hosts, share) in [(40, 12), (13, 4)] {
        let entries = (1..=hosts).map(host_of_pair).collect();
        harness.update_hosts(ListMode::Replace, entries);
        let in_flight = attempts_for_many_requests(&mut harness);
        assert_eq!(in_flight.len(), share);
        harness.now += NEITHER_PROMPT_NOR_LATE;
        harness.fire(Timer::ReleaseQueue);
        for sent in in_flight {
            serve_after(&mut harness, sent, NEITHER_PROMPT_NOR_LATE);
        }
    }
}
