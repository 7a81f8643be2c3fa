use super::Window;
use crate::api::{CounterSettings, Plan, Settings, UnitSettings};
use crate::time::SECOND;

fn settings() -> Settings {
    Settings {
        counter: CounterSettings {
            is_available: true,
            ..CounterSettings::default()
        },
        units: UnitSettings {
            largest_request: 4.0,
            ..UnitSettings::default()
        },
        ..Settings::default()
    }
}

/// Ten units a second with a burst of eight: a window of one second.
fn window_at(now: u64) -> Window {
    let plan = Plan {
        rate: 10.0,
        burst: 8.0,
        ..Plan::default()
    };
    Window::of_plan(&plan, &settings(), now)
}

#[test]
fn boundaries_are_multiples_of_the_length() {
    let window = window_at(7 * SECOND + SECOND / 4);
    assert_eq!((window.length, window.index), (SECOND, 7));
    assert_eq!(window.progress(), 0.25);
    assert_eq!(window.time_to_next(), SECOND * 3 / 4);
}

#[test]
fn previous_total_counts_by_the_part_still_covered() {
    let window = window_at(7 * SECOND + SECOND / 4);
    assert_eq!(window.estimate(8.0, 3.0), 9.0);
}

#[test]
fn counts_outlast_the_window_after_theirs() {
    let window = window_at(7 * SECOND + SECOND / 4);
    assert_eq!(window.lifetime_of_count(7), SECOND * 7 / 4);
    assert_eq!(window.lifetime_of_count(2), SECOND, "one window at least");
}

#[test]
fn customer_is_frequent_while_its_part_of_the_refill_holds_half_a_largest_request() {
    let window = window_at(0);
    assert!(window.is_customer_frequent(5, &settings()));
    assert!(!window.is_customer_frequent(6, &settings()));
}
