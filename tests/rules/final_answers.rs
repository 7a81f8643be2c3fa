//! Each request gets exactly one final answer: in time, and a rejection only where a retry is harmless.

use crate::common::*;
use quartzcleat::api::*;

#[test]
fn request_is_answered_before_its_deadline() {
    let mut rig = Rig::new(settings(), 0);
    let (id, actions) = rig.request(0, 5, 1.0);
    let deadline = actions.iter().find_map(|a| match a {
        Action::SetTimer {
            timer: timer @ Timer::Deadline { .. },
            after,
        } => Some((*timer, *after)),
        _ => None,
    });
    let (timer, after) = deadline.expect("a deadline timer");
    assert!(after < 3 * S);
    rig.now += after;
    assert!(rejected(&rig.timer(timer), id).is_some());
    assert!(rig.timer(timer).is_empty(), "one final answer only");
}

#[test]
fn unsafe_request_that_may_have_run_fails_without_retry() {
    let mut rig = Rig::new(settings(), 4);
    let (id, host) = rig.passed(3, 5);
    let actions = rig.done(id, 0, host, Outcome::Reset, false);
    assert_eq!(
        (
            attempt(&actions),
            rejected(&actions, id),
            failed(&actions, id)
        ),
        (None, None, true)
    );
    // One that never ran may go again.
    let (id, host) = rig.passed(3, 6);
    let actions = rig.done(id, 0, host, Outcome::ConnectFailed, false);
    assert!(attempt(&actions).is_some_and(|(_, again)| again != host));
}

#[test]
fn request_has_one_attempt_in_flight() {
    let mut rig = Rig::new(settings(), 4);
    let (id, _) = rig.passed(0, 5);
    for timer in [Timer::CounterWait { id }, Timer::ReleaseQueue] {
        assert_eq!(attempt(&rig.timer(timer)), None);
    }
}

#[test]
fn started_stream_has_no_deadline() {
    let mut rig = Rig::new(settings(), 2);
    let (id, host) = rig.passed(0, 5);
    rig.event(Event::StreamStarted {
        id,
        attempt: AttemptIndex(0),
        host,
        elapsed: MS,
    });
    rig.now += 3 * S;
    assert!(rig.timer(Timer::Deadline { id }).is_empty());
}

#[test]
fn request_without_late_weight_is_answered_at_its_latency_objective() {
    // By class: an idempotent request is rejected, an unsafe one that may have run fails. Neither load shedding nor a
    // platform without cancellation delays the answer.
    for (class, late_weight, may_cancel, shedding) in [
        (0, 0.0, true, false),
        (0, 0.0, false, false),
        (0, 0.0, true, true),
        (3, 0.0, true, true),
        (0, 0.2, true, false),
    ] {
        let mut set = settings();
        set.capabilities.cancel = may_cancel;
        set.classes[class as usize].late_weight = late_weight;
        let mut rig = Rig::new(set, 4);
        let (id, _) = rig.passed(class, 5);
        if shedding {
            rig.now += S / 2;
            let (other, host) = rig.passed(0, 6);
            rig.done(other, 0, host, Outcome::Rejected, true);
        }
        rig.now = 1000 * S + S;
        let actions = rig.timer(Timer::LatencyObjective { id });
        let given_up = late_weight <= 0.0;
        assert_eq!(
            rejected(&actions, id),
            (given_up && class == 0).then_some(2 * S)
        );
        assert_eq!(failed(&actions, id), given_up && class == 3);
        assert_eq!(
            actions.contains(&Action::CancelAttempt {
                id,
                attempt: AttemptIndex(0)
            }),
            given_up && may_cancel
        );
    }
}

#[test]
fn unknown_class_or_plan_is_sent_once_without_retry() {
    let mut rig = Rig::new(settings(), 4);
    let id = RequestId(5000);
    let request = Event::Request {
        id,
        class: ClassIndex(99),
        plan: PlanIndex(99),
        customer: CustomerId(5),
        budget: 3 * S,
        units: 1.0,
        spread: 2,
        first_limiter: LimiterIndex(0),
        flags: 0,
    };
    let (_, host) = attempt(&rig.event(request)).expect("without a quota it is sent");
    let actions = rig.done(id, 0, host, Outcome::Reset, false);
    assert_eq!((attempt(&actions), failed(&actions, id)), (None, true));
}

#[test]
fn contradictory_settings_lead_to_a_final_answer() {
    let plan = |rate: f64, burst: f64, ceiling_rate: f64, ceiling_burst: f64| Plan {
        rate,
        burst,
        ceiling_rate,
        ceiling_burst,
        ..Plan::default()
    };
    for plan in [
        plan(0.0, 20.0, 0.0, 0.0),
        plan(1e-9, 0.0, 0.0, 0.0),
        plan(1e9, 1.0, 0.0, 0.0),
        plan(1.0, 1.0, 0.5, 0.1),
    ] {
        for (limiter_count, hosts, classes) in
            [(0, 0, vec![]), (1, 1, settings().classes), (9, 2, vec![])]
        {
            let mut rig = Rig::new(
                settings_with(|settings| {
                    settings.plans = vec![plan.clone()];
                    settings.limiters.count = limiter_count;
                    settings.classes = classes;
                    settings.limiters.tick = 0;
                }),
                hosts,
            );
            let (id, mut actions) = rig.request(0, 5, 1e6);
            rig.now += 3 * S;
            for timer in timers(&actions) {
                actions.extend(rig.timer(timer));
            }
            let answers = actions
                .iter()
                .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail { .. }))
                .count();
            assert_eq!(
                answers, 1,
                "request {id:?} with {plan:?}, {limiter_count} limiters, {hosts} hosts: {actions:?}"
            );
        }
    }
}

/// A class that gets stricter has an index of its own, and requests from before keep the old one. A lower limit of
/// attempts holds for all.
#[test]
fn changed_settings_hold_for_later_requests() {
    let mut rig = Rig::new(settings(), 4);
    let (under_way, host) = rig.passed(0, 5);
    let strict = Class {
        effect: Effect::Unsafe,
        ..settings().classes[0].clone()
    };
    let mut new = settings_with(|settings| {
        settings.attempts.max_per_request = 2;
    });
    new.classes.push(strict);
    assert!(rig
        .event(Event::SettingsChanged {
            settings: Box::new(new)
        })
        .is_empty());
    let actions = rig.done(under_way, 0, host, Outcome::Reset, false);
    let (_, again) = attempt(&actions).expect("its class is idempotent");
    let actions = rig.done(under_way, 1, again, Outcome::Rejected, false);
    assert_eq!(attempt(&actions), None, "two attempts at most");
    let (after, host) = rig.passed(4, 6);
    let actions = rig.done(after, 0, host, Outcome::Reset, false);
    assert_eq!((attempt(&actions), failed(&actions, after)), (None, true));
}
