use super::CustomerRecord;
use crate::api::{Plan, Settings};
use crate::quota::window::Window;
use crate::time::SECOND;

/// Returns the window at `now` of a plan with ten units per second and a burst of eight: one second long, with
/// a refill of 10 and a maximum credit of 4.4.
fn window_at(now: u64) -> Window {
    let plan = Plan {
        rate: 10.0,
        burst: 8.0,
        ..Plan::default()
    };
    Window::of_plan(&plan, &Settings::default(), now)
}

/// Returns a record with this total in its current window, which has index 7.
fn record_with_total(total: f64) -> CustomerRecord {
    let mut record = CustomerRecord::new(0);
    record.roll_over(&window_at(7 * SECOND), 7 * SECOND);
    record.current.total = total;
    record
}

#[test]
fn next_window_inherits_the_total_and_the_remaining_credit() {
    let mut record = record_with_total(12.0);
    let now = 8 * SECOND;
    record.roll_over(&window_at(now), now);
    assert_eq!(record.previous.total, 12.0);
    assert_eq!(record.previous.credit, window_at(now).max_credit);
    assert_eq!(record.current.total, 0.0);
}

#[test]
fn previous_window_without_a_request_has_no_use() {
    let mut record = record_with_total(12.0);
    let now = 9 * SECOND;
    record.roll_over(&window_at(now), now);
    assert_eq!((record.previous.total, record.previous.own), (0.0, 0.0));
}

#[test]
fn spent_credit_lowers_the_limit_of_the_next_window() {
    let now = 8 * SECOND;
    let window = window_at(now);
    let mut idle = record_with_total(0.0);
    idle.roll_over(&window, now);
    let mut spent = record_with_total(14.0);
    spent.roll_over(&window, now);
    assert!(!idle.is_over_quota(0.0, 4.0, &window));
    assert!(spent.is_over_quota(14.0, 4.0, &window));
}

#[test]
fn local_share_is_even_until_totals_are_known() {
    assert_eq!(CustomerRecord::new(0).local_share(4, 10.0), 0.25);
}

#[test]
fn local_share_follows_this_limiters_part_of_the_totals() {
    let mut record = record_with_total(90.0);
    record.current.own = 90.0;
    assert!(record.local_share(4, 10.0) > 0.9);
    record.current.own = 0.0;
    assert!(record.local_share(4, 10.0) < 0.1);
}

#[test]
fn recent_units_decay() {
    let mut record = record_with_total(0.0);
    record.recent_units = 10.0;
    let now = 22 * SECOND;
    record.roll_over(&window_at(now), now);
    assert!((record.recent_units - 10.0 / std::f64::consts::E).abs() < 1e-9);
}
