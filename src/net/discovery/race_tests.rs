//! Tests of races between responses of discovery, and of the time within which a change is received. They run a
//! scripted discovery on real sockets.

use super::{check, follow, Backoff};
use crate::api::{Event, HostState};
use crate::net::config::{parse, Limits};
use crate::net::task::spawn;
use crate::net::tests::{next_event, with_limiter, BoundService};
use crate::net::Limiter;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

/// The time after which a change counts as known to all limiters.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// The time after which a drain must be known: 1 s, less the time for which the process may be held up.
const DRAIN_NOTIFIED_WITHIN: Duration = Duration::from_millis(850);

/// Time that a call to discovery may take on a busy machine.
const CALL_TOLERANCE: Duration = Duration::from_millis(200);

/// The address of discovery in the example configuration.
const EXAMPLE_ADDRESS: &str = "127.0.0.1:7001";

/// The way in which the limiter receives changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Pushed,
    Polled,
}

impl Mode {
    fn setting(self) -> &'static str {
        match self {
            Mode::Pushed => "\"push\"",
            Mode::Polled => "\"ask\"",
        }
    }
}

/// Runs a test with a limiter that follows a scripted discovery.
fn with_discovery<F: Future<Output = ()>>(
    mode: Mode,
    test: impl FnOnce(Rc<Limiter>, ScriptedDiscovery) -> F,
) {
    with_discovery_of_fleet(1, mode, test);
}

/// The same for one of several limiters.
fn with_discovery_of_fleet<F: Future<Output = ()>>(
    limiters: u32,
    mode: Mode,
    test: impl FnOnce(Rc<Limiter>, ScriptedDiscovery) -> F,
) {
    let service = BoundService::bind();
    let address = service.address();
    let limiter_count = format!("\"balancers\": {limiters}");
    let changes = [
        (EXAMPLE_ADDRESS, address.as_str()),
        (Mode::Pushed.setting(), mode.setting()),
        ("\"balancers\": 1", limiter_count.as_str()),
    ];
    with_limiter(&changes, |limiter| async move {
        let discovery = ScriptedDiscovery {
            listener: service.into_listener(),
        };
        let backoff = Backoff::from_limits(limiter.limits(), 1);
        spawn(follow(limiter.discovery().clone(), backoff));
        if mode == Mode::Pushed {
            spawn(check(limiter.discovery().clone()));
        }
        test(limiter, discovery).await;
    });
}

/// A discovery server whose responses are determined by the test.
struct ScriptedDiscovery {
    listener: TcpListener,
}

impl ScriptedDiscovery {
    /// Accepts connections until one carries a request, and returns that request.
    async fn accept(&self) -> PendingRequest {
        loop {
            let (stream, _) = self.listener.accept().await.expect("the limiter connects");
            if let Some(request) = next_request(stream).await {
                return request;
            }
        }
    }
}

/// A request from the limiter that has not been answered yet.
struct PendingRequest {
    stream: TcpStream,
    path: String,
}

/// Reads the next request on a connection; `None` where the limiter has closed it.
async fn next_request(mut stream: TcpStream) -> Option<PendingRequest> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let received = stream.read_buf(&mut text).await;
        received.ok().filter(|count| *count > 0)?;
    }
    let text = String::from_utf8(text).expect("the request is text");
    Some(PendingRequest {
        stream,
        path: text.split(' ').nth(1).expect("a path").to_owned(),
    })
}

/// A list with one host, to be sent as a response.
struct ListAnswer {
    version: u64,
    is_full: bool,
    state: &'static str,
}

fn full_list(version: u64, state: &'static str) -> ListAnswer {
    ListAnswer {
        version,
        is_full: true,
        state,
    }
}

fn changes(version: u64, state: &'static str) -> ListAnswer {
    ListAnswer {
        version,
        is_full: false,
        state,
    }
}

impl PendingRequest {
    fn is_watch(&self) -> bool {
        self.path.contains("index=")
    }

    /// Answers the request and returns the connection.
    async fn answer(mut self, answer: ListAnswer) -> TcpStream {
        let ListAnswer {
            version,
            is_full,
            state,
        } = answer;
        let body = format!(
            r#"{{"generation":{version},"reset":{is_full},"instances":[{{"instanceId":"s-1","zone":"a",
            "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
        );
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let written = self.stream.write_all((head + &body).as_bytes()).await;
        written.expect("the limiter reads");
        self.stream
    }

    /// Answers the request and waits for the next one on the same connection.
    async fn answer_and_wait(self, answer: ListAnswer) -> PendingRequest {
        let stream = self.answer(answer).await;
        let request = next_request(stream).await;
        request.expect("the limiter keeps the connection")
    }
}

/// A list that was passed to the engine: its version, and the state of its first host.
#[derive(Debug, PartialEq, Eq)]
struct AppliedList {
    version: u64,
    state: HostState,
}

/// Returns the next list queued for the engine.
async fn next_list(limiter: &Rc<Limiter>) -> AppliedList {
    match next_event(limiter).await {
        Event::Hosts {
            version, entries, ..
        } => AppliedList {
            version,
            state: entries[0].state,
        },
        other => panic!("{other:?}"),
    }
}

fn applied(version: u64, state: HostState) -> AppliedList {
    AppliedList { version, state }
}

fn limits_of_fleet(limiters: u32, mode: Mode) -> Limits {
    let text = include_str!("../../../examples/toy.json")
        .replace(Mode::Pushed.setting(), mode.setting())
        .replace("\"balancers\": 1", &format!("\"balancers\": {limiters}"));
    parse(&text, |_| None).expect("sound").limits
}

/// After any number of failures and in a fleet of any size, the longest delay, the connection and the response together
/// take less than the 6 s after which a change counts as known. An idle watch is followed by another one, with its
/// response, within 2 s of the end of its wait.
#[test]
fn longest_backoff_fits_into_the_notification_time() {
    for (limiters, mode) in [
        (1, Mode::Pushed),
        (300, Mode::Pushed),
        (1, Mode::Polled),
        (3, Mode::Polled),
        (100, Mode::Polled),
        (300, Mode::Polled),
    ] {
        let limits = limits_of_fleet(limiters, mode);
        let discovery = &limits.discovery;
        assert_eq!(discovery.is_polled, mode == Mode::Polled);
        let mut backoff = Backoff::from_limits(&limits, 7);
        let delays = (0..1_000).map(|_| backoff.next_delay());
        let longest = delays.max().unwrap_or_default();
        assert!(
            longest > Duration::from_secs(2),
            "the pause reaches its widest bound"
        );
        let call = limits.connect_timeout.get() + discovery.watch_grace;
        assert!(
            longest + call < NOTIFIED_WITHIN,
            "{limiters} limiters, {mode:?}: {longest:?}"
        );
        assert!(call < Duration::from_secs(2));
        match mode {
            Mode::Pushed => {
                let check = discovery.full_list_interval + discovery.full_list_timeout;
                assert!(check < NOTIFIED_WITHIN);
            }
            // Only the watch finds changes when discovery is polled. In a small fleet its wait ends early enough.
            Mode::Polled => {
                assert!(limiters > 3 || discovery.watch_timeout + call < NOTIFIED_WITHIN);
            }
        }
    }
}

/// With pushed changes, a watch stays silent on an open connection: the check finds the change, and the watch is
/// reopened.
#[test]
fn silent_watch_is_reopened_once_the_check_finds_a_change() {
    with_discovery(Mode::Pushed, |limiter, discovery| async move {
        let first = discovery.accept().await;
        let watch = first.answer_and_wait(full_list(4, "SERVING")).await;
        assert!(watch.path.contains("index=4"), "{}", watch.path);
        assert_eq!(next_list(&limiter).await, applied(4, HostState::Ready));
        let changed = Instant::now();
        drop(
            discovery
                .accept()
                .await
                .answer(full_list(5, "DRAINING"))
                .await,
        );
        assert_eq!(next_list(&limiter).await, applied(5, HostState::Draining));
        assert!(changed.elapsed() < NOTIFIED_WITHIN);
        // The next connections are checks or the new watch, in either order. Only the watch stays open.
        let reopened = loop {
            let request = discovery.accept().await;
            let stream = request.answer(full_list(5, "DRAINING")).await;
            if let Some(watch) = next_request(stream).await {
                break watch;
            }
        };
        assert!(reopened.path.contains("index=5"), "{}", reopened.path);
        assert!(
            changed.elapsed() < NOTIFIED_WITHIN,
            "long before the wait of the silent watch is over"
        );
        drop(watch);
    });
}

/// After discovery's return, hosts got requests for up to 1.5 s after they had begun to drain: the check waited for a call
/// that discovery had left unanswered, and then for its whole interval (incident drains-after-an-outage).
#[test]
fn drain_is_known_in_time_after_a_check_that_discovery_left_unanswered() {
    with_discovery(Mode::Pushed, |limiter, discovery| async move {
        let first = discovery.accept().await;
        let watch = first.answer_and_wait(full_list(4, "SERVING")).await;
        assert_eq!(next_list(&limiter).await, applied(4, HostState::Ready));
        let unanswered = discovery.accept().await;
        assert!(!unanswered.is_watch());
        // Discovery returns just after the check.
        let returned = Instant::now();
        let check = discovery.accept().await;
        assert!(!check.is_watch());
        drop(check.answer(full_list(5, "DRAINING")).await);
        assert_eq!(next_list(&limiter).await, applied(5, HostState::Draining));
        let elapsed = returned.elapsed();
        assert!(elapsed < DRAIN_NOTIFIED_WITHIN, "after {elapsed:?}");
        drop((watch, unanswered));
    });
}

/// The same if a host begins to drain just after a check, and the watch is silent.
#[test]
fn drain_behind_a_silent_watch_is_known_in_time() {
    with_discovery(Mode::Pushed, |limiter, discovery| async move {
        let first = discovery.accept().await;
        let watch = first.answer_and_wait(full_list(4, "SERVING")).await;
        assert_eq!(next_list(&limiter).await, applied(4, HostState::Ready));
        let check = discovery.accept().await;
        drop(check.answer(full_list(4, "SERVING")).await);
        let drained = Instant::now();
        let mut state = HostState::Ready;
        while state != HostState::Draining {
            let check = discovery.accept().await;
            drop(check.answer(full_list(5, "DRAINING")).await);
            state = next_list(&limiter).await.state;
        }
        let elapsed = drained.elapsed();
        assert!(elapsed < DRAIN_NOTIFIED_WITHIN, "after {elapsed:?}");
        drop(watch);
    });
}

/// A watch that discovery left unanswered from the start was reopened only after the backoff, up to 4 s behind the timeout
/// (incident drains-after-an-outage).
#[test]
fn watch_without_a_first_answer_is_reopened_at_the_end_of_its_wait() {
    const LIMITERS: u32 = 25;
    with_discovery_of_fleet(LIMITERS, Mode::Polled, |limiter, discovery| async move {
        let silent = discovery.accept().await;
        let began = Instant::now();
        let reopened = discovery.accept().await;
        let elapsed = began.elapsed();
        assert!(reopened.is_watch());
        let limits = &limiter.limits().discovery;
        assert_eq!(limits.watch_timeout, Duration::from_secs(4));
        let longest = limits.watch_timeout + limits.watch_grace + CALL_TOLERANCE;
        assert!(elapsed < longest, "after {elapsed:?}");
        drop(silent);
    });
}

/// With polled changes, a watch stays silent on an open connection: at the end of its wait it is reopened without a
/// delay, and requests the changes since the current list.
#[test]
fn silent_polled_watch_is_reopened_at_the_end_of_its_wait() {
    with_discovery(Mode::Polled, |limiter, discovery| async move {
        let first = discovery.accept().await;
        assert!(first.is_watch(), "{}", first.path);
        let silent = first.answer_and_wait(full_list(4, "SERVING")).await;
        let began = Instant::now();
        let reopened = discovery.accept().await;
        assert!(reopened.path.contains("index=4"), "{}", reopened.path);
        drop(reopened.answer(changes(5, "DRAINING")).await);
        assert_eq!(next_list(&limiter).await, applied(4, HostState::Ready));
        assert_eq!(next_list(&limiter).await, applied(5, HostState::Draining));
        let elapsed = began.elapsed();
        assert!(elapsed < NOTIFIED_WITHIN, "after {elapsed:?}");
        assert!(
            elapsed >= limiter.limits().discovery.watch_timeout,
            "not before the end of its wait"
        );
        drop(silent);
    });
}

/// A check that is answered only after the watch received a newer list changes nothing. Two consecutive full lists with
/// a lower version mean that discovery has restarted, and the second one is applied.
#[test]
fn late_answer_changes_nothing_and_a_restart_of_discovery_is_recognized() {
    with_discovery(Mode::Pushed, |limiter, discovery| async move {
        let first = discovery.accept().await;
        let watch = first.answer_and_wait(full_list(4, "SERVING")).await;
        assert_eq!(next_list(&limiter).await, applied(4, HostState::Ready));
        let late_check = discovery.accept().await;
        assert!(!late_check.is_watch());
        let watch = watch.answer_and_wait(changes(6, "DRAINING")).await;
        assert_eq!(next_list(&limiter).await, applied(6, HostState::Draining));
        // The check was sent before the newer list arrived, so its response may be outdated.
        drop(late_check.answer(full_list(2, "SERVING")).await);
        for version in [2, 6, 2] {
            let check = discovery.accept().await;
            drop(check.answer(full_list(version, "SERVING")).await);
        }
        let last_check = discovery.accept().await;
        assert!(
            limiter.engine().take_event().is_none(),
            "no two answers in a row went back yet"
        );
        drop(last_check.answer(full_list(2, "SERVING")).await);
        assert_eq!(next_list(&limiter).await, applied(2, HostState::Ready));
        drop(watch);
    });
}

/// Changes that are older than the current list are ignored, and the full list is requested.
#[test]
fn changes_older_than_the_current_list_are_ignored() {
    with_discovery(Mode::Polled, |limiter, discovery| async move {
        let first = discovery.accept().await;
        let watch = first.answer_and_wait(full_list(4, "SERVING")).await;
        assert_eq!(next_list(&limiter).await, applied(4, HostState::Ready));
        let full_request = watch.answer_and_wait(changes(3, "DRAINING")).await;
        assert_eq!(full_request.path, "/discovery/hosts");
        let watch = full_request.answer_and_wait(full_list(7, "SERVING")).await;
        assert_eq!(next_list(&limiter).await, applied(7, HostState::Ready));
        assert!(watch.path.contains("index=7"), "{}", watch.path);
    });
}

/// When discovery answers a request for the full list with outdated changes, the limiter calls it again on a new
/// connection after a delay, and does not loop on this connection.
#[test]
fn outdated_changes_for_a_full_list_request_end_the_connection() {
    with_discovery(Mode::Polled, |limiter, discovery| async move {
        let first = discovery.accept().await;
        let watch = first.answer_and_wait(full_list(4, "SERVING")).await;
        let full_request = watch.answer_and_wait(changes(3, "DRAINING")).await;
        let stream = full_request.answer(changes(3, "DRAINING")).await;
        let further = timeout(NOTIFIED_WITHIN, next_request(stream)).await;
        assert!(
            further.expect("the connection ends").is_none(),
            "no further request on this connection"
        );
        let reopened = timeout(NOTIFIED_WITHIN, discovery.accept()).await;
        assert!(reopened.expect("the watch is opened again").is_watch());
        assert_eq!(next_list(&limiter).await, applied(4, HostState::Ready));
        assert!(limiter.engine().take_event().is_none());
    });
}
