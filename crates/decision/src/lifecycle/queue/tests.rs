use super::{DispatchQueue, MIN_RELEASE_INTERVAL};
use crate::api::{Action, RequestId, Settings, Timer};
use crate::context::Context;

/// Calls `set_timer` and returns the resulting actions.
fn set_timer_actions(queue: &mut DispatchQueue) -> Vec<Action> {
    let mut random = fastrand::Rng::with_seed(1);
    let mut actions = Vec::new();
    let settings = Settings::default();
    queue.set_timer(&mut Context::new(0, &settings, &mut random, &mut actions));
    actions
}

#[test]
fn empty_queue_sets_no_timer() {
    assert!(set_timer_actions(&mut DispatchQueue::default()).is_empty());
}

#[test]
fn one_timer_is_set_until_it_is_due() {
    let mut queue = DispatchQueue::default();
    queue.push_back(RequestId(1));
    let timer = Action::SetTimer {
        timer: Timer::ReleaseQueue,
        after: MIN_RELEASE_INTERVAL,
    };
    let timer = [timer];
    assert_eq!(set_timer_actions(&mut queue), timer);
    assert!(set_timer_actions(&mut queue).is_empty());
    queue.clear_timer();
    assert_eq!(set_timer_actions(&mut queue), timer);
}

#[test]
fn retries_go_first() {
    let mut queue = DispatchQueue::default();
    queue.push_back(RequestId(1));
    queue.push_front(RequestId(2));
    assert_eq!(queue.remove_all(), [RequestId(2), RequestId(1)]);
    assert!(queue.is_empty());
}
