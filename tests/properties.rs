//! Random event orders with a fixed seed: one final answer, one attempt in flight, effects, the ceiling, and the
//! same actions for the same events.

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use quartzcleat::api::*;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct Step {
    kind: u8,
    pick: u16,
    wait: u16,
}

#[derive(Default)]
struct Life {
    class: u32,
    units: f64,
    out: Option<(u32, HostId, u64)>,
    attempts: u32,
    ran: Option<(u32, u64)>,
    closed: bool,
}

#[derive(Default)]
struct World {
    lives: BTreeMap<RequestId, Life>,
    calls: Vec<String>,
    timers: Vec<(u64, Timer)>,
    sent_units: f64,
    log: Vec<String>,
}

impl World {
    fn check(&mut self, now: u64, actions: Vec<Action>) {
        for action in actions {
            self.log.push(format!("{action:?}"));
            match action {
                Action::Attempt { id, host, .. } => {
                    let life = self.lives.get_mut(&id).expect("a request it was given");
                    assert!(!life.closed, "sent after its final answer");
                    assert!(life.out.is_none(), "two attempts in flight");
                    match (life.class, life.ran) {
                        (3, Some(_)) => panic!("an unsafe request was repeated"),
                        (1, Some((cell, at))) => {
                            assert_eq!(host.0.div_ceil(2), cell, "keyed request left its cell");
                            assert!(now < at + 2 * S, "keyed request repeated after its time");
                        }
                        _ => {}
                    }
                    if life.attempts == 0 {
                        self.sent_units += life.units;
                    }
                    life.out = Some((life.attempts, host, now));
                    life.attempts += 1;
                }
                Action::Reject { id, .. } => {
                    let life = self.lives.get_mut(&id).expect("a request it was given");
                    assert!(!life.closed, "two final answers");
                    let may_have_run = life.ran.is_some() || life.out.is_some();
                    assert!(
                        life.class == 0 || life.class == 2 || !may_have_run,
                        "refused though it may have run"
                    );
                    life.closed = true;
                }
                Action::Fail { id } => {
                    let life = self.lives.get_mut(&id).expect("a request it was given");
                    assert!(!life.closed, "two final answers");
                    life.closed = true;
                }
                Action::Count { name, .. } => self.calls.push(name),
                Action::SetTimer { timer, after } => self.timers.push((now + after, timer)),
                _ => {}
            }
        }
    }
}

/// Plays the steps, then lets time run out; gives back all actions.
fn play(steps: &[Step]) -> Vec<String> {
    let mut set = settings();
    set.plans[0].ceiling_rate = 30.0;
    set.plans[0].ceiling_burst = 40.0;
    let mut rig = Rig::new(set, 6);
    let mut world = World::default();
    let start = rig.now;
    for step in steps {
        rig.now += u64::from(step.wait) * MS;
        let pick = usize::from(step.pick);
        match step.kind {
            0..=2 => {
                let (class, units) = (u32::from(step.pick % 4), f64::from(1 + step.pick % 3));
                let id = rig.next_id();
                world.lives.insert(
                    id,
                    Life {
                        class,
                        units,
                        ..Life::default()
                    },
                );
                let actions = rig.request(class, 5, units).1;
                world.check(rig.now, actions);
            }
            3..=4 if !world.calls.is_empty() => {
                let name = world.calls.remove(pick % world.calls.len());
                let outcomes = [
                    Outcome::Good,
                    Outcome::Good,
                    Outcome::Timeout,
                    Outcome::Rejected,
                ];
                let actions = rig.counted(&name, outcomes[pick % 4], f64::from(step.pick % 90));
                world.check(rig.now, actions);
            }
            5..=6 => {
                let out = world
                    .lives
                    .iter()
                    .filter(|(_, l)| l.out.is_some())
                    .map(|(id, _)| *id);
                let out: Vec<RequestId> = out.collect();
                let Some(&id) = out.get(pick % out.len().max(1)) else {
                    continue;
                };
                let outcomes = [
                    Outcome::Good,
                    Outcome::Reset,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Error,
                ];
                finish_attempt(&mut rig, &mut world, id, outcomes[pick % 5]);
            }
            _ => {}
        }
        run_timers(&mut rig, &mut world);
        let allowed = 30.0 / 2.0 * (rig.now - start) as f64 / S as f64;
        assert!(
            world.sent_units <= allowed + 1e-6,
            "{} units past a share of {allowed}",
            world.sent_units
        );
    }
    for _ in 0..800 {
        rig.now += 4 * MS;
        run_timers(&mut rig, &mut world);
    }
    assert!(
        world.lives.values().all(|life| life.closed),
        "a request was left without an answer"
    );
    world.log
}

fn finish_attempt(rig: &mut Rig, world: &mut World, id: RequestId, outcome: Outcome) {
    let life = world.lives.get_mut(&id).expect("known");
    let (attempt, host, at) = life.out.take().expect("out");
    if !outcome.never_ran() && life.ran.is_none() {
        life.ran = Some((host.0.div_ceil(2), at));
    }
    let over = life.closed || outcome == Outcome::Good;
    life.closed = over;
    let actions = rig.done(id, attempt, host, outcome, over);
    world.check(rig.now, actions);
}

fn run_timers(rig: &mut Rig, world: &mut World) {
    let now = rig.now;
    let (due, later) = std::mem::take(&mut world.timers)
        .into_iter()
        .partition(|(at, _)| *at <= now);
    world.timers = later;
    for (_, timer) in Vec::<(u64, Timer)>::into_iter(due) {
        let actions = rig.timer(timer);
        world.check(now, actions);
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
            prop_assert_eq!(play(&steps), play(&steps));
            Ok(())
        })
        .unwrap();
}
