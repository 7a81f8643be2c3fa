//! Tests of operations on a running limiter: maintenance, draining, hot restart and streaming of long values.

mod admin;
mod draining;
mod hot_restart;
mod long_values;

use quartzcleat_test_support::commands::{request, CHEAP_FACTS};
use quartzcleat_test_support::limiter::{Limiter, LimiterSetup};
use std::time::{Duration, Instant};

/// Returns the setup of a limiter that runs this build. Each test uses a `number` of its own.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
}

/// Sends requests until one is served, for at most 5 s. A host that was just enabled is warming up, so that only some
/// of the requests go to it.
fn wait_until_served_again(limiter: &Limiter) {
    let began = Instant::now();
    for id in 100.. {
        let answer = limiter.answer(&request("Q.ASK", id, CHEAP_FACTS, ""));
        if answer.starts_with('$') {
            return;
        }
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "not used after {:?}",
            began.elapsed()
        );
    }
}
