//! Random event orders with a fixed seed: one final answer, one attempt in flight, effects, the ceiling, and the
//! same actions for the same events.

use proptest::prelude::{any, prop_assert_eq, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quartzcleat::api::{
    Action, AttemptIndex, CellId, ClassIndex, HostId, Nanos, Outcome, RequestId, Timer,
};
use quartzcleat_test_support::actions::Actions;
use quartzcleat_test_support::engine::{EndedAttempt, EngineHarness};
use quartzcleat_test_support::settings::{
    cell_of_pair, settings_with, DEDUP_WINDOW, IDEMPOTENT, KEYED_EVERYWHERE, KEYED_WITHIN_CELL,
    MILLISECOND, SECOND, UNSAFE,
};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    pick: u16,
    wait: u16,
}

#[derive(Clone, Copy)]
struct AttemptInFlight {
    attempt: AttemptIndex,
    host: HostId,
    sent_at: Nanos,
}

/// The first attempt that may have run.
#[derive(Clone, Copy)]
struct FirstRun {
    cell: CellId,
    sent_at: Nanos,
}

struct PendingTimer {
    due_at: Nanos,
    timer: Timer,
}

#[derive(Default)]
struct RequestState {
    class: ClassIndex,
    units: f64,
    in_flight: Option<AttemptInFlight>,
    attempts: u32,
    first_run: Option<FirstRun>,
    is_closed: bool,
}

#[derive(Default)]
struct Run {
    requests: BTreeMap<RequestId, RequestState>,
    calls: Vec<String>,
    timers: Vec<PendingTimer>,
    sent_units: f64,
    log: Vec<String>,
}

impl Run {
    /// One of the requests with an attempt in flight.
    fn pick_in_flight(&self, pick: u16) -> Option<RequestId> {
        let requests = self.requests.iter();
        let in_flight: Vec<_> = requests
            .filter(|(_, request)| request.in_flight.is_some())
            .map(|(id, _)| *id)
            .collect();
        in_flight
            .get(usize::from(pick) % in_flight.len().max(1))
            .copied()
    }

    fn check(&mut self, now: Nanos, actions: Actions) {
        for action in actions {
            self.log.push(format!("{action:?}"));
            match action {
                Action::Attempt { id, host, .. } => self.check_attempt(now, id, host),
                Action::Reject { id, .. } => {
                    let request = self.close(id);
                    let may_have_run = request.first_run.is_some() || request.in_flight.is_some();
                    let is_retry_harmless = [IDEMPOTENT, KEYED_EVERYWHERE].contains(&request.class);
                    assert!(
                        is_retry_harmless || !may_have_run,
                        "rejected though it may have run"
                    );
                }
                Action::Fail { id } => {
                    self.close(id);
                }
                Action::Count { name, .. } => self.calls.push(name),
                Action::SetTimer { timer, after } => self.timers.push(PendingTimer {
                    due_at: now + after,
                    timer,
                }),
                _ => {}
            }
        }
    }

    fn request(&mut self, id: RequestId) -> &mut RequestState {
        self.requests.get_mut(&id).expect("a request it was given")
    }

    /// Closes a request by its final answer.
    fn close(&mut self, id: RequestId) -> &mut RequestState {
        let request = self.request(id);
        assert!(!request.is_closed, "two final answers");
        request.is_closed = true;
        request
    }

    fn check_attempt(&mut self, now: Nanos, id: RequestId, host: HostId) {
        let request = self.request(id);
        assert!(!request.is_closed, "sent after its final answer");
        assert!(request.in_flight.is_none(), "two attempts in flight");
        match (request.class, request.first_run) {
            (UNSAFE, Some(_)) => panic!("an unsafe request was repeated"),
            (KEYED_WITHIN_CELL, Some(run)) => {
                assert_eq!(cell_of_pair(host), run.cell, "keyed request left its cell");
                let end = run.sent_at + DEDUP_WINDOW;
                assert!(now < end, "keyed request repeated after its time");
            }
            _ => {}
        }
        let is_first = request.attempts == 0;
        let units = request.units;
        request.in_flight = Some(AttemptInFlight {
            attempt: AttemptIndex(request.attempts),
            host,
            sent_at: now,
        });
        request.attempts += 1;
        if is_first {
            self.sent_units += units;
        }
    }
}

/// Units a second at which the ceiling refills, and the limiters that share it.
const CEILING_RATE: f64 = 30.0;
const LIMITERS: f64 = 2.0;

/// Runs the steps, then lets time pass until each request is answered; returns all actions.
fn run_steps(steps: &[Step]) -> Vec<String> {
    let settings = settings_with(|settings| {
        settings.plans[0].ceiling_rate = CEILING_RATE;
        settings.plans[0].ceiling_burst = 40.0;
    });
    let mut harness = EngineHarness::new(settings, 6);
    let mut run = Run::default();
    let start = harness.now;
    for step in steps {
        harness.now += u64::from(step.wait) * MILLISECOND;
        match step.kind {
            0..=2 => send_request(&mut harness, &mut run, step.pick),
            3..=4 if !run.calls.is_empty() => reply_to_call(&mut harness, &mut run, step.pick),
            5..=6 => {
                let Some(id) = run.pick_in_flight(step.pick) else {
                    continue;
                };
                finish_attempt(&mut harness, &mut run, id, attempt_outcome(step.pick));
            }
            _ => {}
        }
        run_timers(&mut harness, &mut run);
        let allowed = CEILING_RATE / LIMITERS * (harness.now - start) as f64 / SECOND as f64;
        assert!(
            run.sent_units <= allowed + 1e-6,
            "{} units past a share of {allowed}",
            run.sent_units
        );
    }
    for _ in 0..800 {
        harness.now += 4 * MILLISECOND;
        run_timers(&mut harness, &mut run);
    }
    assert!(
        run.requests.values().all(|request| request.is_closed),
        "a request was left without an answer"
    );
    run.log
}

fn send_request(harness: &mut EngineHarness, run: &mut Run, pick: u16) {
    let class = ClassIndex(u32::from(pick % 4));
    let units = f64::from(1 + pick % 3);
    let request = RequestState {
        class,
        units,
        ..RequestState::default()
    };
    run.requests.insert(harness.next_id(), request);
    let actions = harness.request(class, 5, units).actions;
    run.check(harness.now, actions);
}

fn reply_to_call(harness: &mut EngineHarness, run: &mut Run, pick: u16) {
    let name = run.calls.remove(usize::from(pick) % run.calls.len());
    let outcomes = [
        Outcome::Good,
        Outcome::Good,
        Outcome::Timeout,
        Outcome::Rejected,
    ];
    let outcome = outcomes[usize::from(pick) % outcomes.len()];
    let actions = harness.end_call(&name, outcome, f64::from(pick % 90));
    run.check(harness.now, actions);
}

fn attempt_outcome(pick: u16) -> Outcome {
    let outcomes = [
        Outcome::Good,
        Outcome::Reset,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Error,
    ];
    outcomes[usize::from(pick) % outcomes.len()]
}

fn finish_attempt(harness: &mut EngineHarness, run: &mut Run, id: RequestId, outcome: Outcome) {
    let request = run.requests.get_mut(&id).expect("known");
    let AttemptInFlight {
        attempt,
        host,
        sent_at,
    } = request.in_flight.take().expect("an attempt in flight");
    if !outcome.never_ran() && request.first_run.is_none() {
        request.first_run = Some(FirstRun {
            cell: cell_of_pair(host),
            sent_at,
        });
    }
    let is_request_finished = request.is_closed || outcome == Outcome::Good;
    request.is_closed = is_request_finished;
    let actions = harness.end_attempt(EndedAttempt {
        attempt,
        is_request_finished,
        ..EndedAttempt::new(id, host, outcome)
    });
    run.check(harness.now, actions);
}

fn run_timers(harness: &mut EngineHarness, run: &mut Run) {
    let now = harness.now;
    let timers = std::mem::take(&mut run.timers);
    let (due, later): (Vec<_>, Vec<_>) = timers.into_iter().partition(|timer| timer.due_at <= now);
    run.timers = later;
    for pending in due {
        let actions = harness.fire(pending.timer);
        run.check(now, actions);
    }
}

#[test]
fn random_event_orders_keep_the_rules() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(
        Config {
            failure_persistence: None,
            ..Config::with_cases(200)
        },
        rng,
    );
    let step =
        (0u8..8, any::<u16>(), 0u16..40).prop_map(|(kind, pick, wait)| Step { kind, pick, wait });
    let steps = proptest::collection::vec(step, 1..200);
    runner
        .run(&steps, |steps| {
            prop_assert_eq!(run_steps(&steps), run_steps(&steps));
            Ok(())
        })
        .expect("the rules hold");
}
