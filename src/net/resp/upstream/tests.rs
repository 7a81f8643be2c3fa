//! Encoding of commands, interpretation of replies, and the pool of hosts and connections.

use super::*;
use crate::api::{
    AttemptIndex, CustomerId, HostEntry, HostId, HostState, Outcome, ReportSource, RequestId,
};
use crate::net::config::Limits;
use crate::net::engine::tests::{attempt_order, no_reply, request};
use crate::net::engine::UsageFigures;
use crate::net::engine::{AttemptOrder, Charge, HostCommand};
use crate::net::resp::codec;
use crate::net::tests::with_limiter;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// Returns the process at an address whose start is unknown, as hosts of tests are listed.
pub(crate) fn process_at(address: SocketAddr) -> HostProcess {
    HostProcess {
        address,
        started: 0,
    }
}

fn limits_without_drain_grace(limits: &Limits) -> Limits {
    let limits = limits.clone();
    limits.upstream.drain_grace.set(std::time::Duration::ZERO);
    limits
}

/// The arguments are forwarded unchanged, except the wait. Its number of digits may change, and with it the length of
/// the argument.
#[test]
fn only_the_wait_is_rewritten() {
    with_limiter(&[], |limiter| async move {
        let now = Instant::now();
        let mut requests = limiter.engine().requests().borrow_mut();
        requests.open(no_reply(), &mut request(1), now);
        for (timeout, expected) in [
            (0, "$9\r\nd=900,c=x"),
            (42_000_000, "$8\r\nd=42,c=x"),
            (10, "$7\r\nd=1,c=x"),
        ] {
            let order = AttemptOrder {
                timeout,
                ..attempt_order(1, HostId(5))
            };
            let call = requests.begin_attempt(order, now).expect("within the cap");
            let mut output = Vec::new();
            let rest = write_command(&call, now, 1 << 10, &mut output);
            assert_eq!(rest, b"");
            assert_eq!(
                String::from_utf8_lossy(&output),
                format!("*2\r\n$5\r\nQ.ASK\r\n{expected}\r\n")
            );
        }
    });
}

/// A reply and its expected interpretation.
struct ReplyCase {
    bytes: &'static str,
    outcome: Outcome,
    /// The first value of the load report; `None` without a valid report.
    load: Option<f64>,
    /// Whether the connection may be reused.
    is_known_form: bool,
}

impl ReplyCase {
    /// Creates a case for a reply that has one of the forms of the protocol.
    const fn known(bytes: &'static str, outcome: Outcome, load: Option<f64>) -> Self {
        ReplyCase {
            bytes,
            outcome,
            load,
            is_known_form: true,
        }
    }

    /// Creates a case for a reply that has none of the forms of the protocol.
    const fn unknown(bytes: &'static str) -> Self {
        ReplyCase {
            bytes,
            outcome: Outcome::Error,
            load: None,
            is_known_form: false,
        }
    }
}

const REPLIES: [ReplyCase; 12] = [
    ReplyCase::known(
        "*3\r\n$3\r\nbed\r\n$-1\r\n$20\r\ninflight=7,queue=2.5\r\n",
        Outcome::Good,
        Some(7.0),
    ),
    ReplyCase::known(
        "*3\r\n$3\r\nbed\r\n$-1\r\n$3\r\n=,=\r\n",
        Outcome::Good,
        None,
    ),
    ReplyCase::known("*3\r\n$3\r\nbed\r\n:-7\r\n+?\r\n", Outcome::Good, None),
    ReplyCase::unknown("*3\r\n$-1\r\n$-1\r\n$-1\r\n"),
    ReplyCase::unknown("*2\r\n$3\r\nbed\r\n$-1\r\n"),
    ReplyCase::unknown("$3\r\nbed\r\n"),
    ReplyCase::unknown("+OK\r\n"),
    ReplyCase::unknown(":5\r\n"),
    ReplyCase::known("-BUSY\r\n", Outcome::Rejected, None),
    ReplyCase::known("-BUSY inflight=9\r\n", Outcome::Rejected, Some(9.0)),
    ReplyCase::unknown("-BUSYBODY\r\n"),
    ReplyCase::known(
        "-ERR failed inflight=3,queue=0\r\n",
        Outcome::Error,
        Some(3.0),
    ),
];

fn attempt() -> HostCommand {
    HostCommand::Attempt {
        charge: Charge {
            customer: CustomerId(7),
            units: 1.0,
        },
        id: RequestId(1),
        attempt: AttemptIndex(0),
        payload: Rc::new(request(1).payload),
    }
}

fn parse(bytes: &str, limits: &Limits) -> codec::Reply {
    let parsed = codec::parse_reply(bytes.as_bytes(), limits);
    parsed.expect("well-formed").expect("complete").reply
}

/// Only a complete, well-formed value is a good outcome, and a connection is reused only after a reply in a known form.
#[test]
fn only_a_complete_well_formed_value_is_good() {
    with_limiter(&[], |limiter| async move {
        for case in REPLIES {
            let bytes = case.bytes;
            let reply = parse(bytes, limiter.limits());
            let source = ReportSource::Answers;
            let interpretation = interpret(&reply, bytes.as_bytes(), &attempt(), HostId(5), source);
            let result = interpretation.result;
            let load = result.load.readings.first().map(|reading| reading.value);
            assert_eq!(
                (result.outcome, load, interpretation.is_known_form),
                (case.outcome, case.load, case.is_known_form),
                "{bytes:?}"
            );
            let value: &[u8] = match case.outcome {
                Outcome::Good => b"bed",
                _ => b"",
            };
            assert_eq!(&bytes.as_bytes()[interpretation.value], value);
        }
    });
}

#[test]
fn bytes_that_begin_no_reply_are_recognized() {
    for bytes in ["", "*3\r", "*3\r\n$9", "-E"] {
        assert!(may_become_reply(bytes.as_bytes(), &attempt()), "{bytes:?}");
    }
    for bytes in ["*3\r\n*3\r\n*3\r\n", "*30", "$3", ":5\r\n", "HTTP"] {
        assert!(!may_become_reply(bytes.as_bytes(), &attempt()), "{bytes:?}");
    }
}

/// Usage figures are read regardless of the load report, even if that is malformed. Figures out of range count as
/// missing.
#[test]
fn usage_figures_are_read_from_answers() {
    with_limiter(&[], |limiter| async move {
        let source = ReportSource::None;
        for (members, metered, units) in [
            ("$14\r\nused=37,cost=4\r\n$-1\r\n", 37, 4.0),
            ("$8\r\ncost=0.5\r\n$9\r\nqueue=2,=\r\n", 0, 0.5),
            ("$-1\r\n$7\r\nqueue=2\r\n", 0, 0.0),
            ("$8\r\ncost=-40\r\n$-1\r\n", 0, 0.0),
            ("$8\r\ncost=inf\r\n$-1\r\n", 0, 0.0),
            ("$9\r\ncost=four\r\n$-1\r\n", 0, 0.0),
            (":4\r\n$-1\r\n", 0, 0.0),
        ] {
            let bytes = format!("*3\r\n$3\r\nbed\r\n{members}");
            let reply = parse(&bytes, limiter.limits());
            let Interpretation {
                result,
                is_known_form,
                ..
            } = interpret(&reply, bytes.as_bytes(), &attempt(), HostId(5), source);
            assert_eq!(
                (result.outcome, result.usage, is_known_form),
                (Outcome::Good, UsageFigures { metered, units }, true),
                "{members:?}"
            );
        }
    });
}

/// A connection is not reused until `reuse_delay` after its answer, since more bytes may follow the answer.
#[test]
fn connection_is_not_reused_right_after_an_answer() {
    with_limiter(&[], |limiter| async move {
        let upstream = limiter.upstream();
        let address = "127.0.0.1:9".parse().expect("an address");
        let state = HostState::Ready;
        upstream.update_host(
            &HostEntry {
                host: HostId(5),
                state,
                ..HostEntry::default()
            },
            address,
        );
        let now = Instant::now();
        let requests = limiter.engine().requests();
        requests.borrow_mut().open(no_reply(), &mut request(1), now);
        let call = requests
            .borrow_mut()
            .begin_attempt(attempt_order(1, HostId(5)), now);
        let mut next_call = upstream
            .add_idle(HostId(5), process_at(address))
            .expect("the host is ready")
            .next_call;
        let returned = upstream.send_on_idle(call.expect("within the cap"), limiter.limits());
        let call = returned.expect_err("it answered just now");
        tokio::time::sleep(limiter.limits().upstream.reuse_delay).await;
        assert!(upstream.send_on_idle(call, limiter.limits()).is_ok());
        assert!(next_call.try_recv().is_ok());
    });
}

/// A call that was decided before the host began to drain is sent only within the drain grace.
#[test]
fn draining_host_gets_no_calls_past_the_drain_grace() {
    with_limiter(&[], |limiter| async move {
        let upstream = limiter.upstream();
        let address = "127.0.0.1:9".parse().expect("an address");
        let entry = |state| HostEntry {
            host: HostId(5),
            state,
            ..HostEntry::default()
        };
        let drained = limits_without_drain_grace(limiter.limits());
        upstream.update_host(&entry(HostState::Ready), address);
        assert_eq!(
            upstream.process(HostId(5), &drained),
            Some(process_at(address))
        );
        let idle = upstream
            .add_idle(HostId(5), process_at(address))
            .expect("the host is ready");
        upstream.retain_listed(&[]);
        assert_eq!(
            upstream.process(HostId(5), limiter.limits()),
            Some(process_at(address))
        );
        assert_eq!(upstream.process(HostId(5), &drained), None);
        // Its idle connections are closed, and no new ones are kept.
        assert!(idle.next_call.await.is_err());
        assert!(upstream.add_idle(HostId(5), process_at(address)).is_none());
        upstream.update_host(&entry(HostState::Ready), address);
        assert_eq!(
            upstream.process(HostId(5), &drained),
            Some(process_at(address))
        );
    });
}

/// Hosts that are gone are removed after the drain grace; draining hosts are kept.
#[test]
fn gone_hosts_are_forgotten_past_the_drain_grace() {
    with_limiter(&[], |limiter| async move {
        let upstream = limiter.upstream();
        let address = "127.0.0.1:9".parse().expect("an address");
        let entry = |id, state| HostEntry {
            host: HostId(id),
            state,
            ..HostEntry::default()
        };
        let over = limits_without_drain_grace(limiter.limits());
        (1..5).for_each(|id| upstream.update_host(&entry(id, HostState::Ready), address));
        upstream.update_host(&entry(2, HostState::Gone), address);
        upstream.update_host(&entry(3, HostState::Draining), address);
        upstream.forget_gone_hosts(limiter.limits());
        assert!(
            (1..5).all(|id| upstream.contains_host(HostId(id))),
            "calls decided before may still be sent"
        );
        upstream.forget_gone_hosts(&over);
        assert_eq!(
            [1, 2, 3, 4].map(|id| upstream.contains_host(HostId(id))),
            [true, false, true, true]
        );
        upstream.retain_listed(&[entry(1, HostState::Ready)]);
        upstream.forget_gone_hosts(&over);
        assert_eq!(
            [1, 2, 3, 4].map(|id| upstream.contains_host(HostId(id))),
            [true, false, false, false]
        );
    });
}

/// Another host listens on the address of one that is gone: a call that was decided for the latter ran at the former
/// (incident work-at-a-replaced-process).
#[test]
fn host_whose_address_another_one_has_taken_gets_no_calls() {
    with_limiter(&[], |limiter| async move {
        let upstream = limiter.upstream();
        let limits = limiter.limits();
        let address = "127.0.0.1:9".parse().expect("an address");
        let entry = |id, state| HostEntry {
            host: HostId(id),
            state,
            ..HostEntry::default()
        };
        upstream.update_host(&entry(1, HostState::Ready), address);
        upstream.update_host(&entry(1, HostState::Gone), address);
        upstream.close_replaced_hosts();
        let process = Some(process_at(address));
        assert_eq!(upstream.process(HostId(1), limits), process, "in its grace");
        upstream.update_host(&entry(2, HostState::Ready), address);
        upstream.close_replaced_hosts();
        assert_eq!(upstream.process(HostId(1), limits), None);
        assert_eq!(upstream.process(HostId(2), limits), process);
        // The first host is back, and the second one has left.
        upstream.update_host(&entry(1, HostState::Ready), address);
        upstream.update_host(&entry(2, HostState::Gone), address);
        upstream.close_replaced_hosts();
        assert_eq!(upstream.process(HostId(1), limits), process);
    });
}

/// A connection to a process that was restarted since is not kept for the new one (incident work-at-a-replaced-process).
#[test]
fn connection_to_an_earlier_process_of_a_host_is_not_kept() {
    with_limiter(&[], |limiter| async move {
        let upstream = limiter.upstream();
        let address = "127.0.0.1:9".parse().expect("an address");
        let restarted = HostEntry {
            host: HostId(5),
            state: HostState::Ready,
            started: 1,
            ..HostEntry::default()
        };
        upstream.update_host(&restarted, address);
        assert!(upstream.add_idle(HostId(5), process_at(address)).is_none());
        let process = HostProcess {
            address,
            started: 1,
        };
        assert!(upstream.add_idle(HostId(5), process).is_some());
    });
}
