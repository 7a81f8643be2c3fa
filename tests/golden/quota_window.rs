//! Keeps a test within one window of the quotas, which limiters cut by Unix time.

use std::time::{Duration, SystemTime};

/// The longest window, which applies to a plan that is refilled slowly.
const LONGEST_WINDOW: Duration = Duration::from_secs(25);

/// The example configuration, with the longest window for the plan of the example requests.
pub fn with_long_window(text: String) -> String {
    let changed = text.replace("\"refill\": 17.0", "\"refill\": 0.0001");
    assert_ne!(changed, text);
    changed
}

/// The result of a scenario that takes place within one window. One that the end of a window cuts is repeated: its
/// requests are counted in two windows then.
pub fn within_one_window(scenario: impl Fn() -> String) -> String {
    loop {
        let window = current_window();
        let result = scenario();
        if current_window() == window {
            return result;
        }
    }
}

fn current_window() -> u128 {
    let unix = SystemTime::UNIX_EPOCH
        .elapsed()
        .expect("the clock is later than 1970");
    unix.as_nanos() / LONGEST_WINDOW.as_nanos()
}
