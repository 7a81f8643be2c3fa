//! Tests of arrivals, queues and the overload of hosts that are warming up.

use super::*;
use quartzcleat_decision::api::SlowStartSettings;

const MILLISECOND: Nanos = 1_000_000;

fn settings() -> Settings {
    Settings {
        slow_start: SlowStartSettings {
            initial_capacity: 0.15,
            duration: 18_000 * MILLISECOND,
            overload_factor: 3.0,
            overload_duration: 1_500 * MILLISECOND,
        },
        ..Settings::default()
    }
}

fn attempt(request: u64) -> AttemptKey {
    AttemptKey {
        limiter: LimiterIndex(0),
        request: RequestId(request),
        attempt: AttemptIndex(0),
    }
}

/// Returns a host with one core and a queue of capacity 1.
fn small_host() -> Host {
    let setup = HostSetup {
        cores: 1,
        queue_capacity: 1,
        ..HostSetup::default()
    };
    Host::new(&setup, MILLISECOND)
}

/// Sends `attempts` attempts to a host at the same time and returns the results of their arrivals.
fn arrivals(host: &mut Host, attempts: u64, now: Nanos) -> Vec<Arrival> {
    (0..attempts)
        .map(|number| host.receive(attempt(number), 100 * MILLISECOND, &settings(), now))
        .collect()
}

#[test]
fn attempts_fill_the_cores_then_the_queue_then_are_rejected() {
    assert_eq!(
        arrivals(&mut small_host(), 3, MILLISECOND),
        [Arrival::Started, Arrival::Queued, Arrival::Rejected]
    );
}

#[test]
fn queued_attempt_takes_the_core_of_a_finished_job() {
    let mut host = small_host();
    arrivals(&mut host, 3, MILLISECOND);
    assert_eq!(host.finish_job(), Some(attempt(1)));
    assert_eq!(host.finish_job(), None);
}

#[test]
fn dead_host_refuses_connections() {
    let mut host = small_host();
    host.stop(HostStatus::Dead);
    assert_eq!(
        arrivals(&mut host, 1, MILLISECOND),
        [Arrival::ConnectionRefused]
    );
}

/// Returns a host that has just started.
fn starting_host() -> Host {
    let setup = HostSetup {
        uptime: Some(0),
        ..HostSetup::default()
    };
    Host::new(&setup, MILLISECOND)
}

#[test]
fn host_that_is_warming_up_is_slow() {
    let work = 150 * MILLISECOND;
    assert_eq!(
        starting_host().execution_time(work, &settings(), MILLISECOND),
        1_000 * MILLISECOND
    );
}

/// The capacity within the overload duration is 3 cores x 0.15 x 1.5 s = 0.675 s of work. The host is overloaded by
/// more than three times that, which the 21st attempt of 0.1 s exceeds.
#[test]
fn host_that_is_warming_up_can_be_overloaded() {
    let overload = arrivals(&mut starting_host(), 25, MILLISECOND)
        .iter()
        .position(|arrival| *arrival == Arrival::Overloads);
    assert_eq!(overload, Some(20));
}

#[test]
fn warm_host_cannot_be_overloaded() {
    let after_warm_up = 20_000 * MILLISECOND;
    let arrivals = arrivals(&mut starting_host(), 25, after_warm_up);
    assert!(!arrivals.contains(&Arrival::Overloads));
}
