//! What on-call staff order of a running limiter: maintenance, draining, a new version; and long values.

mod admin;
mod draining;
mod hot_restart;
mod long_values;

use quartzcleat_test_support::commands::{request, send, CHECK_FACTS};
use quartzcleat_test_support::limiter::{Limiter, LimiterSetup};
use std::time::{Duration, Instant};

/// A limiter of this build.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
}

const TOY: &str = "{\"host\":\"toy-0\"}";

/// A server that is back counts as cold, so not every request is given to it; the first ones soon are.
fn wait_until_served_again(limiter: &Limiter) {
    let began = Instant::now();
    let few = CHECK_FACTS.replace("units=1", "units=0.01");
    let mut ids = 100..;
    while !send(
        &mut limiter.connect(),
        &request("Q.ASK", ids.next().unwrap_or(0), &few, ""),
        1,
    )
    .starts_with('$')
    {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "not used after {:?}",
            began.elapsed()
        );
    }
}
