use super::{initial_host_limit, initial_pool_limit, MIN_HOST_LIMIT};
use crate::api::{
    Actions, Class, ClassIndex, HostEntry, HostId, HostState, LimiterSettings, ListMode, Outcome,
    RequestId, Settings,
};
use crate::context::Context;
use crate::hosts::{AttemptResult, HostPool, SentAttempt};
use crate::time::SECOND;

const HOST: HostId = HostId(1);

fn settings(limiter_count: u32) -> Settings {
    let class = Class {
        latency_objective: SECOND,
        ..Class::default()
    };
    Settings {
        classes: vec![class],
        limiters: LimiterSettings {
            count: limiter_count,
            ..LimiterSettings::default()
        },
        ..Settings::default()
    }
}

/// Pool of one host at one limiter, with the state that a `Context` borrows.
struct Harness {
    settings: Settings,
    random: fastrand::Rng,
    actions: Actions,
    pool: HostPool,
}

impl Harness {
    fn new() -> Self {
        let settings = settings(1);
        let mut harness = Harness {
            pool: HostPool::new(&settings),
            settings,
            random: fastrand::Rng::with_seed(1),
            actions: Actions::new(),
        };
        let entry = HostEntry {
            host: HOST,
            state: HostState::Ready,
            ..HostEntry::default()
        };
        harness
            .with_pool(|pool, context| pool.update_hosts(ListMode::Replace, vec![entry], context));
        harness
    }

    fn with_pool<T>(&mut self, call: impl FnOnce(&mut HostPool, &mut Context) -> T) -> T {
        let mut context = Context::new(SECOND, &self.settings, &mut self.random, &mut self.actions);
        call(&mut self.pool, &mut context)
    }

    /// Returns the host's limit after one attempt with the given result.
    fn host_limit_after(&mut self, outcome: Outcome, elapsed: u64) -> f64 {
        let attempt = SentAttempt {
            request: RequestId(1),
            host: HOST,
            class: ClassIndex(0),
            sent_at: 0,
        };
        let result = AttemptResult { outcome, elapsed };
        self.with_pool(|pool, context| pool.adjust_host_limit(&attempt, &result, context));
        let host = self.pool.host_mut(HOST).expect("the host is listed");
        host.concurrency_limit.value()
    }
}

#[test]
fn limiters_share_the_initial_concurrency_of_a_host() {
    assert_eq!(initial_pool_limit(&settings(3)), 2.0);
    assert_eq!(initial_host_limit(&settings(100)), MIN_HOST_LIMIT);
}

#[test]
fn prompt_success_raises_the_limit_of_a_host_in_use() {
    assert_eq!(
        Harness::new().host_limit_after(Outcome::Good, SECOND / 10),
        2.5
    );
}

#[test]
fn success_that_is_not_prompt_lowers_the_limit() {
    assert_eq!(
        Harness::new().host_limit_after(Outcome::Good, SECOND / 2),
        1.4
    );
}

#[test]
fn missed_objective_lowers_the_limit_to_its_bound() {
    assert_eq!(
        Harness::new().host_limit_after(Outcome::Timeout, 2 * SECOND),
        MIN_HOST_LIMIT
    );
}

#[test]
fn late_answers_lower_the_pool_limit_and_prompt_ones_leave_an_unused_limit() {
    let mut harness = Harness::new();
    let initial = harness.pool.concurrency_limit();
    harness.with_pool(|pool, context| pool.adjust_pool_limit(0.0, context));
    assert_eq!(
        harness.pool.concurrency_limit(),
        initial,
        "the limit is not in use"
    );
    harness.with_pool(|pool, context| pool.adjust_pool_limit(1.0, context));
    assert!(harness.pool.concurrency_limit() < initial);
}

#[test]
fn pool_is_full_once_its_limit_is_in_flight() {
    let mut harness = Harness::new();
    for request in 1..=6 {
        assert!(
            !harness.with_pool(|pool, context| pool.is_full(context)),
            "{request}"
        );
        harness.pool.begin_attempt(RequestId(request), HOST, SECOND);
    }
    assert!(harness.with_pool(|pool, context| pool.is_full(context)));
}
