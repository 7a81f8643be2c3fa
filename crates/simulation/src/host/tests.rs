use super::*;
use quartzcleat_decision::api::SlowStartSettings;

const MS: Nanos = 1_000_000;

fn settings() -> Settings {
    Settings {
        slow_start: SlowStartSettings {
            initial_capacity: 0.15,
            duration: 18_000 * MS,
            overload_factor: 3.0,
            overload_duration: 1_500 * MS,
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

#[test]
fn attempts_take_cores_then_the_queue_then_are_rejected() {
    let setup = HostSetup {
        cores: 1,
        queue_capacity: 1,
        ..HostSetup::default()
    };
    let settings = settings();
    let mut host = Host::new(&setup, MS);
    let arrivals: Vec<_> = (0..3)
        .map(|number| host.receive(attempt(number), 100 * MS, &settings, MS))
        .collect();
    assert_eq!(
        arrivals,
        [Arrival::Started, Arrival::Queued, Arrival::Rejected]
    );
    assert_eq!(
        (host.finish_job(), host.finish_job()),
        (Some(attempt(1)), None)
    );
    host.stop(HostStatus::Dead);
    assert_eq!(
        host.receive(attempt(5), MS, &settings, MS),
        Arrival::ConnectionRefused
    );
}

#[test]
fn host_that_warms_up_is_slow_and_can_be_overloaded() {
    let setup = HostSetup {
        uptime: Some(0),
        ..HostSetup::default()
    };
    let settings = settings();
    let mut host = Host::new(&setup, MS);
    assert_eq!(host.execution_time(150 * MS, &settings, MS), 1_000 * MS);
    // It can do 3 x 0.15 x 1.5 s = 0.675 s of work in the time, and is overloaded past three times that.
    let arrivals: Vec<_> = (0..25)
        .map(|number| host.receive(attempt(number), 100 * MS, &settings, MS))
        .collect();
    let overload = arrivals
        .iter()
        .position(|arrival| *arrival == Arrival::Overloads);
    assert_eq!(overload, Some(20));
    let mut warm = Host::new(&setup, MS);
    let later = 20_000 * MS;
    assert!((0..25).all(
        |number| warm.receive(attempt(number), 100 * MS, &settings, later) != Arrival::Overloads
    ));
}
