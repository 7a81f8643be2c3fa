//! When a change counts as notified, and answers of discovery that cross: scripted on real sockets.

use super::*;
use crate::api::{Event, HostState};
use crate::net::config::parse;
use crate::net::task::spawn;
use crate::net::tests::{next, with_limiter};
use crate::net::Limiter;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// One request of the limiter, not answered yet.
struct Call {
    stream: TcpStream,
    path: String,
}

async fn call(mut stream: TcpStream) -> Option<Call> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        stream
            .read_buf(&mut text)
            .await
            .ok()
            .filter(|count| *count > 0)?;
    }
    let text = String::from_utf8(text).expect("text");
    Some(Call {
        stream,
        path: text.split(' ').nth(1).expect("a path").to_owned(),
    })
}

/// The next request, on a connection of its own.
async fn accept(discovery: &TcpListener) -> Call {
    loop {
        let (stream, _) = discovery.accept().await.expect("the limiter comes");
        if let Some(call) = call(stream).await {
            return call;
        }
    }
}

impl Call {
    /// Answers with one host; returns the connection.
    async fn answer(mut self, version: u64, whole: bool, state: &str) -> TcpStream {
        let body = format!(
            r#"{{"generation":{version},"reset":{whole},"instances":[{{"instanceId":"s-1","zone":"a",
            "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
        );
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.stream
            .write_all((head + &body).as_bytes())
            .await
            .expect("the limiter reads");
        self.stream
    }

    fn is_watch(&self) -> bool {
        self.path.contains("index=")
    }
}

/// The version of the next list that the engine would handle, and the state of its first host.
async fn next_list(limiter: &Rc<Limiter>) -> (u64, HostState) {
    match next(limiter).await {
        Event::Hosts {
            version, entries, ..
        } => (version, entries[0].state),
        other => panic!("{other:?}"),
    }
}

fn follows(limiter: &Rc<Limiter>) {
    spawn(follow(
        limiter.discovery().clone(),
        Backoff::from_limits(limiter.limits(), 1),
    ));
    if !limiter.limits().discovery.is_polled {
        spawn(check(limiter.discovery().clone()));
    }
}

const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// However often discovery failed, and however many limiters there are, the next call, its connection and its answer
/// fit into the 6 s after which a change counts as notified; and an idle watch is followed by another, with its answer,
/// within 2 s of the end of its wait.
#[test]
fn the_longest_backoff_fits_into_the_time_after_which_a_change_counts_as_notified() {
    for (limiters, mode) in [
        (1, "push"),
        (300, "push"),
        (1, "ask"),
        (3, "ask"),
        (100, "ask"),
        (300, "ask"),
    ] {
        let text =
            include_str!("../../../examples/toy.json").replace("\"push\"", &format!("\"{mode}\""));
        let text = text.replace("\"balancers\": 1", &format!("\"balancers\": {limiters}"));
        let limits = parse(&text, |_| None).expect("sound").limits;
        assert_eq!(limits.discovery.is_polled, mode == "ask");
        let (mut backoff, mut longest) = (Backoff::from_limits(&limits, 7), Duration::ZERO);
        for _ in 0..1_000 {
            longest = longest.max(backoff.after_failure());
        }
        assert!(
            longest > Duration::from_secs(2),
            "it was drawn from the widest bound"
        );
        assert!(
            longest + limits.connect_timeout.get() + limits.discovery.watch_grace < NOTIFIED_WITHIN,
            "{limiters} by {mode}: {longest:?}"
        );
        assert!(
            limits.discovery.watch_grace + limits.connect_timeout.get() < Duration::from_secs(2)
        );
        if mode == "push" {
            assert!(
                limits.discovery.full_list_interval + limits.discovery.full_list_timeout
                    < NOTIFIED_WITHIN
            );
        } else {
            // Nothing but the watch tells there: with few limiters it is over in time by itself.
            assert!(
                limiters > 3
                    || limits.discovery.watch_timeout
                        + limits.discovery.watch_grace
                        + limits.connect_timeout.get()
                        < NOTIFIED_WITHIN
            );
        }
    }
}

/// Where discovery pushes: a watch becomes idle, its connection open; the check finds the change, and the watch is
/// opened again.
#[test]
fn an_idle_watch_is_opened_again_once_it_is_found_behind() {
    with_limiter(
        &[("127.0.0.1:7001", "127.77.0.40:7001")],
        |limiter| async move {
            let discovery = TcpListener::bind("127.77.0.40:7001")
                .await
                .expect("the address is free");
            follows(&limiter);
            let first = accept(&discovery).await.answer(4, true, "SERVING").await;
            let watch = call(first).await.expect("the watch goes on");
            assert!(watch.path.contains("index=4"), "{}", watch.path);
            assert_eq!(next_list(&limiter).await, (4, HostState::Ready));
            let changed = Instant::now();
            drop(accept(&discovery).await.answer(5, true, "DRAINING").await);
            assert_eq!(next_list(&limiter).await, (5, HostState::Draining));
            assert!(changed.elapsed() < NOTIFIED_WITHIN);
            // The next connections are a check or the new watch, whichever comes first; the watch goes on from there.
            let again = loop {
                let call = accept(&discovery).await;
                let stream = call.answer(5, true, "DRAINING").await;
                if let Some(watch) = self::call(stream).await {
                    break watch;
                }
            };
            assert!(again.path.contains("index=5"), "{}", again.path);
            assert!(
                changed.elapsed() < NOTIFIED_WITHIN,
                "long before the wait of the silent one is over"
            );
            drop(watch);
        },
    );
}

/// Where discovery is polled: a watch becomes idle, its connection open; within 2 s of the end of its wait it is opened
/// again, without a pause, and asks for the changes since the list in force.
#[test]
fn where_discovery_is_polled_an_idle_watch_is_opened_again_in_time() {
    with_limiter(
        &[
            ("127.0.0.1:7001", "127.77.0.41:7001"),
            ("\"push\"", "\"ask\""),
        ],
        |limiter| async move {
            let discovery = TcpListener::bind("127.77.0.41:7001")
                .await
                .expect("the address is free");
            follows(&limiter);
            let first = accept(&discovery).await;
            assert!(first.is_watch(), "{}", first.path);
            let silent = call(first.answer(4, true, "SERVING").await)
                .await
                .expect("the watch goes on");
            let began = Instant::now();
            let again = accept(&discovery).await;
            assert!(again.path.contains("index=4"), "{}", again.path);
            drop(again.answer(5, false, "DRAINING").await);
            assert_eq!(next_list(&limiter).await, (4, HostState::Ready));
            assert_eq!(next_list(&limiter).await, (5, HostState::Draining));
            assert!(
                began.elapsed() < NOTIFIED_WITHIN,
                "after {:?}",
                began.elapsed()
            );
            assert!(
                began.elapsed() >= limiter.limits().discovery.watch_timeout,
                "it had its wait"
            );
            drop(silent);
        },
    );
}

/// A check of the full list is answered late, after the watch brought a newer one: it changes nothing. Once discovery
/// goes back for good it has restarted, and its list is applied.
#[test]
fn an_old_answer_undoes_nothing_and_a_restart_of_discovery_is_understood() {
    with_limiter(
        &[("127.0.0.1:7001", "127.77.0.42:7001")],
        |limiter| async move {
            let discovery = TcpListener::bind("127.77.0.42:7001")
                .await
                .expect("the address is free");
            follows(&limiter);
            let watch = call(accept(&discovery).await.answer(4, true, "SERVING").await)
                .await
                .expect("it goes on");
            assert_eq!(next_list(&limiter).await, (4, HostState::Ready));
            let look = accept(&discovery).await;
            assert!(!look.is_watch());
            let watch = call(watch.answer(6, false, "DRAINING").await)
                .await
                .expect("it goes on");
            assert_eq!(next_list(&limiter).await, (6, HostState::Draining));
            // Asked for before the newer one came: it says nothing of what discovery holds now.
            drop(look.answer(2, true, "SERVING").await);
            for version in [2, 6, 2] {
                drop(
                    accept(&discovery)
                        .await
                        .answer(version, true, "SERVING")
                        .await,
                );
            }
            let last = accept(&discovery).await;
            assert!(
                limiter.engine().take_event().is_none(),
                "nothing yet: no two answers in a row went back"
            );
            drop(last.answer(2, true, "SERVING").await);
            assert_eq!(next_list(&limiter).await, (2, HostState::Ready));
            drop(watch);
        },
    );
}

/// Changes that are older than the list in force change nothing; the full list is asked for.
#[test]
fn changes_to_a_list_that_is_not_in_force_are_ignored() {
    with_limiter(
        &[
            ("127.0.0.1:7001", "127.77.0.43:7001"),
            ("\"push\"", "\"ask\""),
        ],
        |limiter| async move {
            let discovery = TcpListener::bind("127.77.0.43:7001")
                .await
                .expect("the address is free");
            follows(&limiter);
            let watch = call(accept(&discovery).await.answer(4, true, "SERVING").await)
                .await
                .expect("it goes on");
            assert_eq!(next_list(&limiter).await, (4, HostState::Ready));
            let whole = call(watch.answer(3, false, "DRAINING").await)
                .await
                .expect("it goes on");
            assert_eq!(whole.path, "/discovery/hosts");
            let watch = call(whole.answer(7, true, "SERVING").await)
                .await
                .expect("it goes on");
            assert_eq!(next_list(&limiter).await, (7, HostState::Ready));
            assert!(watch.path.contains("index=7"), "{}", watch.path);
        },
    );
}

/// A discovery that answers the call for the full list with old changes is called again on another connection, after a
/// pause, and not for ever on this one.
#[test]
fn a_discovery_that_never_returns_the_full_list_is_not_called_without_a_pause() {
    with_limiter(
        &[
            ("127.0.0.1:7001", "127.77.0.44:7001"),
            ("\"push\"", "\"ask\""),
        ],
        |limiter| async move {
            let discovery = TcpListener::bind("127.77.0.44:7001")
                .await
                .expect("the address is free");
            follows(&limiter);
            let watch = call(accept(&discovery).await.answer(4, true, "SERVING").await)
                .await
                .expect("it goes on");
            let whole = call(watch.answer(3, false, "DRAINING").await)
                .await
                .expect("it goes on");
            let ended = call(whole.answer(3, false, "DRAINING").await);
            assert!(
                timeout(NOTIFIED_WITHIN, ended)
                    .await
                    .expect("it does not wait")
                    .is_none(),
                "no further call on this one"
            );
            assert!(timeout(NOTIFIED_WITHIN, accept(&discovery))
                .await
                .expect("it comes again")
                .is_watch());
            assert_eq!(next_list(&limiter).await, (4, HostState::Ready));
            assert!(limiter.engine().take_event().is_none());
        },
    );
}
