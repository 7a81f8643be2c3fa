//! Tests of the rate limit per call site.

use super::*;
use std::time::Duration;

#[test]
fn call_site_writes_at_most_its_burst_per_window_and_counts_suppressed_lines() {
    let log = LogConfig {
        window: Duration::from_secs(10),
        burst: 3,
        ..LogConfig::default()
    };
    let rate_limiter = RateLimiter::new(&log);
    let call_site = &rate_limiter.call_sites[0];
    let written = (0..50)
        .filter(|_| rate_limiter.is_allowed(call_site, 5))
        .count();
    assert_eq!(written, 3);
    assert!(
        !rate_limiter.is_allowed(call_site, 10_004) && rate_limiter.is_allowed(call_site, 10_005)
    );
    assert_eq!(call_site.suppressed.load(Relaxed), 48);
}
