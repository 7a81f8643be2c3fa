//! Lists taken in, maintenance above them, and a watch that is lost.

use super::*;
use crate::api::HostState;
use crate::net::task::spawn;
use crate::net::tests::{next, with_limiter};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Takes a whole list of one server, that serves.
pub(crate) fn told(client: &DiscoveryClient, name: &str) {
    let text = format!(
        r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"{name}","zone":"a",
        "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"SERVING"}}]}}"#
    );
    let list = client
        .endpoints
        .borrow_mut()
        .parse(&serde_json::from_str(&text).expect("JSON"));
    client.apply(&list.expect("a list"));
}

/// A watch whose answer is lost: what changed is known by the next look at the whole list, and a list that is no
/// newer than the one held changes nothing.
#[test]
fn a_watch_that_is_lost_is_made_up_for() {
    let text = |version: u64, state: &str| {
        let body = format!(
            r#"{{"generation":{version},"reset":true,"instances":[{{"instanceId":"s-1","zone":"a",
            "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
        );
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    with_limiter(
        &[("127.0.0.1:7001", "127.77.0.24:7001")],
        |limiter| async move {
            let discovery = TcpListener::bind("127.77.0.24:7001")
                .await
                .expect("the address is free");
            spawn(follow(
                limiter.discovery().clone(),
                Backoff::from_limits(limiter.limits(), 1),
            ));
            spawn(check(limiter.discovery().clone()));
            let mut watches = Vec::new();
            let mut told = Vec::new();
            // The first list, two that are no newer, and a newer one; the watch is never answered.
            let answers = [
                (4, "SERVING"),
                (4, "DRAINING"),
                (3, "DRAINING"),
                (5, "DRAINING"),
            ];
            for (version, state) in answers {
                let (mut stream, _) = discovery.accept().await.expect("the limiter asks");
                let mut call = vec![0; 512];
                let count = stream.read(&mut call).await.expect("it asks");
                assert!(
                    call[..count].starts_with(b"GET /discovery/hosts HTTP"),
                    "the whole list"
                );
                stream
                    .write_all(text(version, state).as_bytes())
                    .await
                    .expect("the limiter reads");
                watches.push(stream);
            }
            while told.len() < 2 {
                match next(&limiter).await {
                    Event::Hosts {
                        version,
                        mode: ListMode::Replace,
                        entries,
                    } => {
                        told.push((version, entries[0].state));
                    }
                    other => panic!("{other:?}"),
                }
            }
            assert_eq!(told, [(4, HostState::Ready), (5, HostState::Draining)]);
        },
    );
}

/// Two hundred times out and back, while discovery goes on saying the opposite: told as draining at once and for as
/// long as it is out, on changes, whole lists and silence alike, and as ready at the call back.
#[test]
fn staffs_word_goes_before_discovery_s() {
    with_limiter(&[], |limiter| async move {
        let list = |version: u64, state: &str, whole: bool| {
            let text = format!(
                r#"{{"generation":{version},"reset":{whole},"instances":[{{"instanceId":"s-1","zone":"a",
                "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
            );
            let list = limiter
                .discovery()
                .endpoints
                .borrow_mut()
                .parse(&serde_json::from_str(&text).expect("JSON"));
            limiter.discovery().apply(&list.expect("a list"));
        };
        let told = || {
            let event = limiter.engine().take_event();
            match event {
                Some(Event::Hosts { entries, .. }) => entries[0].state,
                other => panic!("{other:?}"),
            }
        };
        list(0, "SERVING", true);
        assert_eq!(told(), HostState::Ready);
        limiter
            .discovery()
            .maintenance
            .borrow_mut()
            .record_listed("s-1");
        for round in 0..200 {
            let now = 1_000 * round;
            assert_eq!(
                limiter
                    .discovery()
                    .maintenance
                    .borrow_mut()
                    .disable("s-1", now),
                Ok(true)
            );
            limiter.discovery().reapply_maintenance("s-1");
            assert_eq!(told(), HostState::Draining, "at the call itself");
            for (state, whole) in [("SERVING", false), ("DRAINING", false), ("SERVING", true)] {
                list(round, state, whole);
                assert_eq!(told(), HostState::Draining);
            }
            assert_eq!(
                limiter
                    .discovery()
                    .maintenance
                    .borrow_mut()
                    .enable("s-1", now + 500),
                Ok(true)
            );
            limiter.discovery().reapply_maintenance("s-1");
            assert_eq!(told(), HostState::Ready);
        }
    });
}

/// However many hosts come and go, no more is held than those that are listed or have left just now.
#[test]
fn names_that_are_gone_are_forgotten() {
    with_limiter(&[], |limiter| async move {
        let list = |version: u64, name: u64, state: &str| {
            format!(
                r#"{{"generation":{version},"reset":false,"instances":[{{"instanceId":"s-{name}","zone":"a",
                "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
            )
        };
        for name in 0..50 {
            for state in ["SERVING", "DRAINING", "DELETED"] {
                let text = list(3 * name, name, state);
                let list = limiter
                    .discovery()
                    .endpoints
                    .borrow_mut()
                    .parse(&serde_json::from_str(&text).expect("JSON"));
                limiter.discovery().apply(&list.expect("a list"));
            }
        }
        sleep(limiter.limits().upstream.drain_grace.get()).await;
        let text = list(200, 50, "SERVING");
        let list = limiter
            .discovery()
            .endpoints
            .borrow_mut()
            .parse(&serde_json::from_str(&text).expect("JSON"));
        limiter.discovery().apply(&list.expect("a list"));
        let counts = limiter.discovery().endpoints.borrow().counts();
        assert_eq!(counts, (1, 1, 1));
    });
}
