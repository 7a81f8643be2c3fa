use super::progress;
use crate::api::{HostEntry, HostId, HostState, Settings, SlowStartSettings};
use crate::hosts::host::Host;
use crate::time::SECOND;

const START: u64 = 100 * SECOND;

fn settings() -> SlowStartSettings {
    SlowStartSettings {
        initial_capacity: 0.25,
        duration: 8 * SECOND,
        overload_factor: 2.0,
        overload_duration: SECOND,
    }
}

fn host(started: u64) -> Host {
    let entry = HostEntry {
        host: HostId(1),
        state: HostState::Ready,
        started,
        ..HostEntry::default()
    };
    Host::new(entry, &Settings::default(), START)
}

#[test]
fn capacity_grows_linearly_with_the_age() {
    let host = host(START);
    assert_eq!(progress(&host, &settings(), START), 0.25);
    assert_eq!(progress(&host, &settings(), START + 4 * SECOND), 0.625);
    assert_eq!(progress(&host, &settings(), START + 8 * SECOND), 1.0);
}

#[test]
fn host_of_unknown_start_is_past_slow_start() {
    assert_eq!(progress(&host(0), &settings(), START), 1.0);
}

#[test]
fn low_latency_raises_the_capacity_up_to_twofold() {
    let mut host = host(START);
    for _ in 0..5 {
        host.latency.record(0.1, START);
    }
    assert_eq!(progress(&host, &settings(), START), 0.5);
}

#[test]
fn high_latency_does_not_lower_the_capacity() {
    let mut host = host(START);
    for _ in 0..5 {
        host.latency.record(5.0, START);
    }
    assert_eq!(progress(&host, &settings(), START), 0.25);
}
