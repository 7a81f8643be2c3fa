//! Operator commands on a running limiter: maintenance, draining, a new version; and long values.

mod admin;
mod draining;
mod hot_restart;
mod long_values;

use quartzcleat_test_support::commands::{request, CHEAP_FACTS};
use quartzcleat_test_support::limiter::{Limiter, LimiterSetup};
use std::time::{Duration, Instant};

/// A limiter of this build.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
}

/// A host that has been enabled is warming up, so that not every request goes to it; one of the first does.
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
