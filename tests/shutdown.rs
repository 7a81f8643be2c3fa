//! Tests of requests that are open while a limiter shuts down and its hosts hang.

use quartzcleat_fakes::process::Signal;
use quartzcleat_test_support::commands::{request, send, ANSWER_TIMEOUT, CHECK_FACTS, PING};
use quartzcleat_test_support::config::{replace, LONG_FACTS};
use quartzcleat_test_support::limiter::{terminate, Limiter, LimiterSetup};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Part of the longest class deadline that the platform counts, at most.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Time that the platform adds to it between SIGTERM and SIGKILL.
const KILL_GRACE: Duration = Duration::from_millis(700);

/// The environment variable of the preloaded library (`crates/preload`) that names the file with the wall clock's step.
const STEP_FILE_VARIABLE: &str = "QUARTZCLEAT_WALL_CLOCK_STEP_FILE";

/// Time after SIGTERM by which the process has handled it, and before connections close.
const AFTER_SIGTERM: Duration = Duration::from_millis(300);

/// Time after SIGTERM at which the late request is sent. Requests of the first 0.7 s may be lost at SIGKILL.
const LATE: Duration = Duration::from_millis(900);

/// Returns the setup of a limiter that runs this build. Each test uses a `number` of its own.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
}

/// Returns the earliest time after SIGTERM at which the platform may send SIGKILL.
fn earliest_kill(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE
}

/// Sets the deadline of both classes of the example configuration.
fn with_deadline(text: &str, deadline: Duration) -> String {
    let key = format!("\"hardLimitNs\": {}", deadline.as_nanos());
    let text = replace(text, "\"hardLimitNs\": 7500000000", &key);
    replace(&text, "\"hardLimitNs\": 4000000000", &key)
}

/// Waits until `deadline` and checks that nothing arrives until then.
fn expect_silence_until(client: &mut TcpStream, deadline: Instant) {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return;
    }
    let set_timeout = |timeout| client.set_read_timeout(Some(timeout));
    set_timeout(remaining).expect("a time-out is set");
    let received = client.peek(&mut [0]);
    set_timeout(ANSWER_TIMEOUT).expect("a time-out is set");
    assert_eq!(
        received.expect_err("nothing arrives").kind(),
        ErrorKind::WouldBlock
    );
}

/// Two connections to a process that is about to shut down.
struct OpenConnections {
    /// Closed by the limiter as soon as it closes connections between requests.
    idle: TcpStream,
    /// Kept open by a request that no host answers.
    busy: TcpStream,
}

impl OpenConnections {
    fn open(limiter: &Limiter) -> Self {
        let mut idle = limiter.connect();
        assert_eq!(send(&mut idle, PING, 1), "+PONG\r\n");
        OpenConnections {
            idle,
            busy: limiter.connect_with_pending_request(1),
        }
    }

    /// Sends a request to the hanging host when connections between requests are closed already, and checks that it and
    /// the request before it are answered before the process may be killed. `sigterm_at` is taken before the signal is
    /// sent.
    fn check_late_request(mut self, sigterm_at: Instant, longest_deadline: Duration) {
        assert_eq!(self.idle.read(&mut [0]).expect("the connection ends"), 0);
        expect_silence_until(&mut self.busy, sigterm_at + LATE);
        let late_request = request("Q.ASK", 2, LONG_FACTS, "silent");
        let answers = send(&mut self.busy, &late_request, 2);
        let elapsed = sigterm_at.elapsed();
        assert_eq!(answers.lines().count(), 2, "{answers}");
        assert!(
            answers.lines().all(|answer| answer.starts_with('-')),
            "{answers}"
        );
        assert!(
            elapsed < earliest_kill(longest_deadline),
            "answered {elapsed:?} after SIGTERM"
        );
    }
}

/// Shuts down a limiter, sends it a late request, and waits for its end.
fn check_late_request_of(
    mut limiter: Limiter,
    connections: OpenConnections,
    longest_deadline: Duration,
) {
    let sigterm_at = Instant::now();
    limiter.signal(Signal::SIGTERM);
    connections.check_late_request(sigterm_at, longest_deadline);
    assert!(limiter.child.wait().expect("the limiter ends").success());
}

/// The same for a limiter whose classes have this deadline.
fn check_late_request_with_deadline(number: u8, deadline: Duration) {
    let limiter = limiter_setup(number)
        .with_config(move |text| with_deadline(text, deadline))
        .start();
    let connections = OpenConnections::open(&limiter);
    check_late_request_of(limiter, connections, deadline);
}

/// Requests taken late in a shutdown were lost at SIGKILL (incident late-shutdown-answers). The platform counts this
/// deadline as 3 s.
#[test]
fn late_request_of_a_class_with_a_long_deadline_is_answered_before_the_earliest_kill() {
    check_late_request_with_deadline(1, Duration::from_millis(7_500));
}

/// The same fault where the platform counts the deadline as it is.
#[test]
fn late_request_of_a_class_with_a_medium_deadline_is_answered_before_the_earliest_kill() {
    check_late_request_with_deadline(2, Duration::from_millis(2_500));
}

/// The same fault where SIGKILL may follow soon.
#[test]
fn late_request_of_a_class_with_a_short_deadline_is_answered_before_the_earliest_kill() {
    check_late_request_with_deadline(3, Duration::from_millis(1_500));
}

/// The same fault at a process that an operator has drained before its SIGTERM.
#[test]
fn late_request_to_a_drained_limiter_is_answered_before_the_earliest_kill() {
    let deadline = Duration::from_millis(7_500);
    let limiter = limiter_setup(4).start();
    let connections = OpenConnections::open(&limiter);
    assert_eq!(limiter.call_admin("PUT", "/drain", ""), 200);
    check_late_request_of(limiter, connections, deadline);
}

/// The same fault at a process that a new version replaces.
#[test]
fn late_request_to_a_replaced_process_is_answered_before_the_earliest_kill() {
    let deadline = Duration::from_millis(7_500);
    let mut limiter = limiter_setup(5).start();
    let connections = OpenConnections::open(&limiter);
    let mut replaced = limiter.upgrade(1);
    let sigterm_at = Instant::now();
    terminate(&replaced);
    connections.check_late_request(sigterm_at, deadline);
    assert!(replaced.wait().expect("the process ends").success());
}

/// The same fault after a reload: the deadlines in force at SIGTERM count, not the longest since the start.
#[test]
fn late_request_after_a_reload_with_shorter_deadlines_is_answered_before_the_earliest_kill() {
    let deadline = Duration::from_millis(1_500);
    let limiter = limiter_setup(6).start();
    let connections = OpenConnections::open(&limiter);
    let text = std::fs::read_to_string(&limiter.config_path).expect("the configuration is there");
    let text = replace(
        &with_deadline(&text, deadline),
        "\"bed-hold\"",
        "\"hut-hold\"",
    );
    std::fs::write(&limiter.config_path, text).expect("the file is replaced");
    limiter.signal(Signal::SIGHUP);
    wait_until_class_is_served(&limiter, "hut-hold");
    check_late_request_of(limiter, connections, deadline);
}

/// Sends requests of a class until one is served.
fn wait_until_class_is_served(limiter: &Limiter, class: &str) {
    let facts = CHECK_FACTS.replace("c=bed-check", &format!("c={class},k=5c0f6e1a2b3d4c59"));
    let facts = facts.replace("units=1", "units=0.01");
    let began = Instant::now();
    let mut ids = 100..;
    while !ids.next().is_some_and(|id| {
        limiter
            .answer(&request("Q.DO", id, &facts, ""))
            .starts_with('$')
    }) {
        assert!(began.elapsed() < ANSWER_TIMEOUT, "{class} is not served");
    }
}

/// A limiter whose process reads a wall clock that the test can step.
struct SteppedLimiter {
    limiter: Limiter,
    step_file: PathBuf,
}

impl SteppedLimiter {
    fn start(number: u8) -> Self {
        let name = format!("quartzcleat-step-{}-{number}", std::process::id());
        let step_file = std::env::temp_dir().join(name);
        let limiter = limiter_setup(number)
            .with_preloaded_library()
            .with_environment(STEP_FILE_VARIABLE, &step_file)
            .start();
        SteppedLimiter { limiter, step_file }
    }

    fn step_wall_clock(&self, seconds: i64) {
        std::fs::write(&self.step_file, seconds.to_string()).expect("the step is written");
    }
}

impl Drop for SteppedLimiter {
    fn drop(&mut self) {
        // A file that stays behind does not concern the result.
        let _ = std::fs::remove_file(&self.step_file);
    }
}

/// Connections stayed open, and late requests unanswered at SIGKILL, if the wall clock was set back after SIGTERM.
fn check_late_request_after_step(number: u8, seconds: i64) {
    let deadline = Duration::from_millis(7_500);
    let mut stepped = SteppedLimiter::start(number);
    let mut connections = OpenConnections::open(&stepped.limiter);
    let sigterm_at = Instant::now();
    stepped.limiter.signal(Signal::SIGTERM);
    expect_silence_until(&mut connections.busy, sigterm_at + AFTER_SIGTERM);
    stepped.step_wall_clock(seconds);
    connections.check_late_request(sigterm_at, deadline);
    let status = stepped.limiter.child.wait().expect("the limiter ends");
    assert!(status.success());
}

#[test]
fn late_request_is_answered_before_the_earliest_kill_when_the_wall_clock_is_set_back() {
    check_late_request_after_step(7, -3_600);
}

#[test]
fn late_request_is_answered_before_the_earliest_kill_when_the_wall_clock_is_set_back_by_seconds() {
    check_late_request_after_step(8, -5);
}
