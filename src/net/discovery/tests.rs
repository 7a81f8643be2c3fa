//! Tests of applied lists, of maintenance that overrides them, and of a lost watch.

use super::connection::{DiscoveryConnection, DiscoveryError, ListRequest};
use super::endpoint_list::tests::HostCounts;
use super::http::ResponseError;
use super::*;
use crate::api::{Event, HostState, ListMode};
use crate::net::memory::Owner;
use crate::net::task::spawn;
use crate::net::tests::{next_event, with_limiter, BoundService};
use crate::net::Limiter;
use quartzcleat_admin::MaintenanceChange;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Returns a list of one host, in the format of discovery.
fn list_text(version: u64, is_full: bool, name: &str, state: &str) -> String {
    format!(
        r#"{{"generation":{version},"reset":{is_full},"instances":[{{"instanceId":"{name}","zone":"a",
        "hostPort":"127.0.0.1:5","machineType":"m","lifecycle":"{state}"}}]}}"#
    )
}

/// Applies a list of one host.
fn apply_list(client: &DiscoveryClient, version: u64, is_full: bool, name: &str, state: &str) {
    let text = list_text(version, is_full, name, state);
    let json = serde_json::from_str(&text).expect("JSON");
    let list = client.parse(&json);
    client.apply(&list.expect("a list"));
}

/// Applies a full list of one serving host.
pub(crate) fn apply_serving_host(client: &DiscoveryClient, name: &str) {
    apply_list(client, 1, true, name, "SERVING");
}

/// Accepts a connection, expects a request for the full list on it, and answers it.
async fn answer_full_list(discovery: &TcpListener, version: u64, state: &str) -> TcpStream {
    let (mut stream, _) = discovery.accept().await.expect("the limiter connects");
    let mut request = vec![0; 512];
    let count = stream.read(&mut request).await.expect("a request");
    assert!(
        request[..count].starts_with(b"GET /discovery/hosts HTTP"),
        "the full list"
    );
    let body = list_text(version, true, "s-1", state);
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    let written = stream.write_all(response.as_bytes()).await;
    written.expect("the limiter reads");
    stream
}

/// Returns the version of the next full list queued for the engine, and the state of its first host.
async fn next_full_list(limiter: &Rc<Limiter>) -> (u64, HostState) {
    match next_event(limiter).await {
        Event::Hosts {
            version,
            mode: ListMode::Replace,
            entries,
        } => (version, entries[0].state),
        other => panic!("{other:?}"),
    }
}

/// When the response to a watch is lost, the next check of the full list finds the change. A list that is not newer
/// than the current one changes nothing.
#[test]
fn changes_missed_by_a_lost_watch_are_found_by_the_check() {
    let service = BoundService::bind();
    let address = service.address();
    let changes = [("127.0.0.1:7001", address.as_str())];
    with_limiter(&changes, |limiter| async move {
        let discovery = service.into_listener();
        let backoff = Backoff::from_limits(limiter.limits(), 1);
        spawn(follow(limiter.discovery().clone(), backoff));
        spawn(check(limiter.discovery().clone()));
        // The first list, two lists that are not newer, and a newer one. The watch is never answered.
        let answers = [
            (4, "SERVING"),
            (4, "DRAINING"),
            (3, "DRAINING"),
            (5, "DRAINING"),
        ];
        let mut connections = Vec::new();
        for (version, state) in answers {
            connections.push(answer_full_list(&discovery, version, state).await);
        }
        assert_eq!(next_full_list(&limiter).await, (4, HostState::Ready));
        assert_eq!(next_full_list(&limiter).await, (5, HostState::Draining));
    });
}

/// Maintenance overrides the listed state of a host, with changes and full lists alike: the engine sees the host as
/// draining immediately after the order to disable it and until the order to enable it. Repeats this 200 times.
#[test]
fn maintenance_overrides_discovery() {
    with_limiter(&[], |limiter| async move {
        let client = limiter.discovery();
        let apply = |version, state, is_full| apply_list(client, version, is_full, "s-1", state);
        let state_for_engine = || match limiter.engine().take_event() {
            Some(Event::Hosts { entries, .. }) => entries[0].state,
            other => panic!("{other:?}"),
        };
        apply(0, "SERVING", true);
        assert_eq!(state_for_engine(), HostState::Ready);
        client.merge_maintenance(&["s-1".to_owned()], &BTreeMap::new());
        for round in 0..200 {
            let now = 1_000 * round;
            let disabled = client.disable("s-1", now);
            assert_eq!(disabled, Ok(MaintenanceChange::Changed));
            client.reapply_maintenance("s-1");
            assert_eq!(state_for_engine(), HostState::Draining, "at the order");
            let lists = [("SERVING", false), ("DRAINING", false), ("SERVING", true)];
            for (state, is_full) in lists {
                apply(round, state, is_full);
                assert_eq!(state_for_engine(), HostState::Draining);
            }
            let enabled = client.enable("s-1", now + 500);
            assert_eq!(enabled, Ok(MaintenanceChange::Changed));
            client.reapply_maintenance("s-1");
            assert_eq!(state_for_engine(), HostState::Ready);
        }
    });
}

/// The names of hosts that have left the list are removed after the drain grace, so that replaced hosts do not
/// accumulate.
#[test]
fn names_of_gone_hosts_are_forgotten() {
    with_limiter(&[], |limiter| async move {
        let client = limiter.discovery();
        for host in 0..50 {
            for state in ["SERVING", "DRAINING", "DELETED"] {
                apply_list(client, 3 * host, false, &format!("s-{host}"), state);
            }
        }
        sleep(limiter.limits().upstream.drain_grace.get()).await;
        apply_list(client, 200, false, "s-50", "SERVING");
        let counts = client.host_counts();
        let only_the_last = HostCounts {
            names: 1,
            ids: 1,
            listed: 1,
        };
        assert_eq!(counts, only_the_last);
    });
}

/// A list in part counts towards the memory, and a chunked list whose encoding is far longer than the list itself ends the
/// call: only the decoded length was limited, so that 4 MiB of list could take 24 MiB (issue 51).
#[test]
fn list_in_pieces_is_counted_and_limited() {
    with_limiter(
        &[("\"memory_mb\": 192", "\"memory_mb\": 2")],
        |limiter| async move {
            let memory = limiter.pipeline().memory().clone();
            let discovery = TcpListener::bind("127.0.0.1:0").await;
            let discovery = discovery.expect("a port is free");
            let address = discovery.local_addr().expect("an address");
            let connection = DiscoveryConnection::open(address, &memory).await;
            let connection = connection.expect("it listens");
            let (mut stream, _) = discovery.accept().await.expect("it is accepted");
            let max_bytes = limiter.limits().discovery.max_response_bytes;
            let call_limiter = limiter.clone();
            let call = tokio::task::spawn_local(async move {
                let request = ListRequest::full(Duration::from_secs(20));
                let response = connection.get_and_close(&request, call_limiter.limits());
                response.await.err()
            });
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let half = "1\r\nx\r\n".repeat(max_bytes / 12);
            for text in [head, &half] {
                let sent = stream.write_all(text.as_bytes()).await;
                sent.expect("it is read");
            }
            while memory.reserved(Owner::Services) < max_bytes / 2 {
                tokio::task::yield_now().await;
            }
            // The call may end before it has read all of this.
            let _ = stream.write_all(half.as_bytes()).await;
            let _ = stream.write_all(half.as_bytes()).await;
            let error = call.await.expect("it ends").expect("it fails");
            let expected = DiscoveryError::Response(ResponseError::BodyTooLong);
            assert_eq!(error.to_string(), expected.to_string());
            assert_eq!(memory.reserved(Owner::Services), 0);
        },
    );
}
