//! Keeps a test within one window of the quotas, which limiters cut by Unix time, and its counter in good health.

use quartzcleat_test_support::config::{replace, with_long_deadline};
use std::time::{Duration, SystemTime};

/// The longest window, which applies to a plan that is refilled slowly.
const LONGEST_WINDOW: Duration = Duration::from_secs(25);

/// The units that the example plan refills in a window: its burst of 36 units, one and a quarter times.
const UNITS_PER_WINDOW: f64 = 45.0;

/// The example configuration, with the longest window for the plan of the example requests, and with so long a timeout of
/// the counter that no reply of a busy machine counts as slow: a limiter calls a slow counter for some requests only.
pub(crate) fn with_steady_quotas(text: &str) -> String {
    let text = with_long_deadline(text);
    let text = replace(&text, "\"refill\": 17.0", "\"refill\": 0.0001");
    replace(
        &text,
        "\"counterTimeoutNs\": 30000000",
        "\"counterTimeoutNs\": 20000000000",
    )
}

/// So old a window has to be before requests of [`FEW_UNITS`] are judged without the count of the window before it: by
/// then more units have been refilled than they use. A limiter reads that count otherwise.
const MIN_WINDOW_AGE: Duration = Duration::from_millis(100);

/// The fact of a request that uses hardly any of its quota.
pub(crate) const FEW_UNITS: &str = "units=0.001";

/// The facts of a request that waits for as long as a busy machine may take.
pub(crate) fn with_long_wait(facts: &str) -> String {
    replace(facts, "d=900", "d=20000")
}

/// The result of a scenario that takes place within one window, not at its very beginning. A scenario that the end of a
/// window cuts is repeated: its requests are counted in two windows.
pub(crate) fn within_one_window(scenario: impl Fn() -> String) -> String {
    loop {
        let window = current_window();
        if window.age < MIN_WINDOW_AGE {
            std::thread::yield_now();
            continue;
        }
        let result = scenario();
        if current_window().index == window.index {
            return result;
        }
    }
}

/// A window at a moment.
pub(crate) struct Window {
    pub index: u128,
    /// How long ago it began.
    age: Duration,
}

impl Window {
    /// The units of the example plan that have been refilled since the window began.
    pub(crate) fn refilled_units(&self) -> f64 {
        UNITS_PER_WINDOW * self.age.as_secs_f64() / LONGEST_WINDOW.as_secs_f64()
    }
}

pub(crate) fn current_window() -> Window {
    let unix = SystemTime::UNIX_EPOCH
        .elapsed()
        .expect("the clock is later than 1970");
    let index = unix.as_nanos() / LONGEST_WINDOW.as_nanos();
    let age_nanos = (unix.as_nanos() % LONGEST_WINDOW.as_nanos()) as u64;
    Window {
        index,
        age: Duration::from_nanos(age_nanos),
    }
}
