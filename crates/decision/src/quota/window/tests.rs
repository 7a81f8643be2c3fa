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

/// Returns the window at `now` of a plan with ten units per second and a burst of eight: one second long.
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
fn previous_total_is_weighted_by_its_overlap() {
    let window = window_at(7 * SECOND + SECOND / 4);
    assert_eq!(window.estimate(8.0, 3.0), 9.0);
}

#[test]
fn counts_live_until_the_end_of_the_next_window() {
    let window = window_at(7 * SECOND + SECOND / 4);
    assert_eq!(window.lifetime_of_count(7), SECOND * 7 / 4);
    assert_eq!(window.lifetime_of_count(2), SECOND, "at least one window");
}

#[test]
fn customer_is_frequent_if_its_share_of_the_refill_covers_half_of_the_largest_request() {
    let window = window_at(0);
    assert!(window.is_customer_frequent(5, &settings()));
    assert!(!window.is_customer_frequent(6, &settings()));
}
