//! Each request gets exactly one final answer: in time, and a rejection only where a retry is harmless.

use quartzcleat::api::{
    Action, AttemptIndex, Class, ClassIndex, CustomerId, Effect, Event, LimiterIndex, Nanos,
    Outcome, Plan, PlanIndex, RequestId, Settings, Timer,
};
use quartzcleat_test_support::actions::Actions;
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness, START};
use quartzcleat_test_support::settings::{
    settings, settings_with, DEADLINE, IDEMPOTENT, LATENCY_OBJECTIVE, MILLISECOND, SECOND, UNSAFE,
};

/// The timer of a request's deadline.
struct DeadlineTimer {
    timer: Timer,
    after: Nanos,
}

fn deadline_timer(actions: &Actions) -> Option<DeadlineTimer> {
    actions.iter().find_map(|action| match action {
        Action::SetTimer {
            timer: timer @ Timer::Deadline { .. },
            after,
        } => Some(DeadlineTimer {
            timer: *timer,
            after: *after,
        }),
        _ => None,
    })
}

#[test]
fn request_is_answered_before_its_deadline() {
    let mut harness = EngineHarness::new(settings(), 0);
    let request = harness.request(IDEMPOTENT, 5, 1.0);
    let deadline = deadline_timer(&request.actions).expect("a deadline timer");
    assert!(deadline.after < DEADLINE);
    harness.now += deadline.after;
    assert!(harness.fire(deadline.timer).is_rejected(request.id));
    assert!(
        harness.fire(deadline.timer).is_empty(),
        "one final answer only"
    );
}

#[test]
fn unsafe_request_that_may_have_run_fails_without_retry() {
    let mut harness = EngineHarness::new(settings(), 4);
    let sent = harness.send(UNSAFE, 5);
    let actions = harness.fail(sent, Outcome::Reset);
    assert_eq!(actions.attempt(), None);
    assert_eq!(actions.rejection(sent.id), None);
    assert!(actions.is_failed(sent.id));
}

#[test]
fn unsafe_request_that_never_ran_is_retried_at_another_host() {
    let mut harness = EngineHarness::new(settings(), 4);
    let first = harness.send(UNSAFE, 5);
    harness.fail(first, Outcome::Reset);
    let sent = harness.send(UNSAFE, 6);
    let actions = harness.fail(sent, Outcome::ConnectFailed);
    assert!(actions
        .attempted_host()
        .is_some_and(|host| host != sent.host));
}

#[test]
fn request_has_one_attempt_in_flight() {
    let mut harness = EngineHarness::new(settings(), 4);
    let id = harness.send(IDEMPOTENT, 5).id;
    for timer in [Timer::CounterWait { id }, Timer::ReleaseQueue] {
        assert_eq!(harness.fire(timer).attempt(), None);
    }
}

#[test]
fn started_stream_has_no_deadline() {
    let mut harness = EngineHarness::new(settings(), 2);
    let sent = harness.send(IDEMPOTENT, 5);
    harness.handle(Event::StreamStarted {
        id: sent.id,
        attempt: AttemptIndex(0),
        host: sent.host,
        elapsed: MILLISECOND,
    });
    harness.now += DEADLINE;
    assert!(harness.fire(Timer::Deadline { id: sent.id }).is_empty());
}

/// A request whose answer is late.
struct LateRequest {
    class: ClassIndex,
    late_weight: f64,
    may_cancel: bool,
    sheds_load: bool,
}

/// By class: an idempotent request is rejected, an unsafe one that may have run fails. Neither load shedding nor a platform
/// without cancellation delays the answer.
#[test]
fn request_without_late_weight_is_answered_at_its_latency_objective() {
    let without_late_weight = LateRequest {
        class: IDEMPOTENT,
        late_weight: 0.0,
        may_cancel: true,
        sheds_load: false,
    };
    let cases = [
        LateRequest {
            may_cancel: false,
            ..without_late_weight
        },
        LateRequest {
            sheds_load: true,
            ..without_late_weight
        },
        LateRequest {
            class: UNSAFE,
            sheds_load: true,
            ..without_late_weight
        },
        LateRequest {
            late_weight: 0.2,
            ..without_late_weight
        },
        without_late_weight,
    ];
    for case in cases {
        check_answer_at_latency_objective(&case);
    }
}

fn check_answer_at_latency_objective(case: &LateRequest) {
    let settings = settings_with(|settings| {
        settings.capabilities.cancel = case.may_cancel;
        settings.classes[case.class.as_usize()].late_weight = case.late_weight;
    });
    let mut harness = EngineHarness::new(settings, 4);
    let id = harness.send(case.class, 5).id;
    if case.sheds_load {
        harness.now += SECOND / 2;
        let other = harness.send(IDEMPOTENT, 6);
        let rejected = EndedAttempt::new(other.id, other.host, Outcome::Rejected);
        harness.end_attempt(rejected.of_finished_request());
    }
    harness.now = START + LATENCY_OBJECTIVE;
    let actions = harness.fire(Timer::LatencyObjective { id });
    let is_given_up = case.late_weight <= 0.0;
    let is_rejected = is_given_up && case.class == IDEMPOTENT;
    assert_eq!(actions.rejection(id), is_rejected.then_some(2 * SECOND));
    assert_eq!(actions.is_failed(id), is_given_up && case.class == UNSAFE);
    let cancellation = Action::CancelAttempt {
        id,
        attempt: AttemptIndex(0),
    };
    assert_eq!(
        actions.contains(&cancellation),
        is_given_up && case.may_cancel
    );
}

#[test]
fn unknown_class_or_plan_is_sent_once_without_retry() {
    let mut harness = EngineHarness::new(settings(), 4);
    let id = RequestId(5000);
    let request = Event::Request {
        id,
        class: ClassIndex(99),
        plan: PlanIndex(99),
        customer: CustomerId(5),
        budget: DEADLINE,
        units: 1.0,
        spread: 2,
        first_limiter: LimiterIndex(0),
        flags: 0,
    };
    let sent = harness.handle(request).attempt();
    let sent = sent.expect("without a quota it is sent");
    let actions = harness.fail(sent, Outcome::Reset);
    assert_eq!(actions.attempt(), None);
    assert!(actions.is_failed(id));
}

/// Plans whose values contradict each other or leave no quota.
fn contradictory_plans() -> [Plan; 4] {
    let quota = |rate: f64, burst: f64| Plan {
        rate,
        burst,
        ..Plan::default()
    };
    [
        quota(0.0, 20.0),
        quota(1e-9, 0.0),
        quota(1e9, 1.0),
        Plan {
            ceiling_rate: 0.5,
            ceiling_burst: 0.1,
            ..quota(1.0, 1.0)
        },
    ]
}

/// A number of limiters, hosts and classes that a contradictory plan meets.
struct Installation {
    limiters: u32,
    hosts: u32,
    classes: Vec<Class>,
}

#[test]
fn contradictory_settings_lead_to_a_final_answer() {
    let installations = [
        Installation {
            limiters: 0,
            hosts: 0,
            classes: Vec::new(),
        },
        Installation {
            limiters: 1,
            hosts: 1,
            classes: settings().classes,
        },
        Installation {
            limiters: 9,
            hosts: 2,
            classes: Vec::new(),
        },
    ];
    for plan in contradictory_plans() {
        for installation in &installations {
            check_one_final_answer(&plan, installation);
        }
    }
}

fn check_one_final_answer(plan: &Plan, installation: &Installation) {
    let Installation {
        limiters,
        hosts,
        classes,
    } = installation;
    let settings = settings_with(|settings| {
        settings.plans = vec![plan.clone()];
        settings.limiters.count = *limiters;
        settings.classes.clone_from(classes);
        settings.limiters.tick = 0;
    });
    let mut harness = EngineHarness::new(settings, *hosts);
    let request = harness.request(IDEMPOTENT, 5, 1e6);
    let mut actions = request.actions;
    harness.now += DEADLINE;
    let timers: Vec<Timer> = actions.timers().collect();
    for timer in timers {
        actions.extend(harness.fire(timer));
    }
    let answers = actions
        .iter()
        .filter(|action| matches!(action, Action::Reject { .. } | Action::Fail { .. }))
        .count();
    assert_eq!(
        answers, 1,
        "request {:?} with {plan:?}, {limiters} limiters, {hosts} hosts: {actions:?}",
        request.id
    );
}

/// Settings in which the first class has become unsafe, with an index of its own, and two attempts are the most.
fn stricter_settings() -> Settings {
    settings_with(|settings| {
        let stricter = Class {
            effect: Effect::Unsafe,
            ..settings.classes[IDEMPOTENT.as_usize()].clone()
        };
        settings.classes.push(stricter);
        settings.attempts.max_per_request = 2;
    })
}

/// The index of the class that [`stricter_settings`] add.
const STRICTER: ClassIndex = ClassIndex(4);

fn change_settings(harness: &mut EngineHarness, settings: Settings) -> Actions {
    harness.handle(Event::SettingsChanged {
        settings: Box::new(settings),
    })
}

/// A class that gets stricter has an index of its own, and requests from before keep the old one; the lower limit of
/// attempts holds for them too.
#[test]
fn changed_settings_leave_the_class_of_requests_in_progress_and_limit_their_attempts() {
    let mut harness = EngineHarness::new(settings(), 4);
    let first = harness.send(IDEMPOTENT, 5);
    assert!(change_settings(&mut harness, stricter_settings()).is_empty());
    let retry = harness.fail(first, Outcome::Reset).attempt();
    let retry = retry.expect("its class is idempotent");
    let rejected = EndedAttempt::new(retry.id, retry.host, Outcome::Rejected);
    let actions = harness.end_attempt(rejected.of_attempt(1));
    assert_eq!(actions.attempt(), None, "two attempts at most");
}

#[test]
fn changed_settings_hold_for_later_requests() {
    let mut harness = EngineHarness::new(settings(), 4);
    change_settings(&mut harness, stricter_settings());
    let sent = harness.send(STRICTER, 6);
    let actions = harness.fail(sent, Outcome::Reset);
    assert_eq!(actions.attempt(), None);
    assert!(actions.is_failed(sent.id));
}
