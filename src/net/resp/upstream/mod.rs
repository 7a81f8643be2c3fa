//! The south side: hosts, the connections to them, and what is written and read there.
//!
//! One relay at a time has a connection: behind another it would wait for that one's answer, and would be lost
//! with it when the other is given up.

use super::codec::{self, Reply};
use super::downstream::close::{self, Now};
use crate::api::{HostEntry, HostId, HostState, Load, Outcome, ReportSource};
use crate::net::config::Limits;
use crate::net::engine::{HostCall, HostCommand};
use crate::net::stages::complete::{CallResult, UsageFigures};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A connection that waits for its next relay.
struct Idle {
    serial: u64,
    next: oneshot::Sender<HostCall>,
    since: Instant,
}

struct Host {
    address: SocketAddr,
    started: u64,
    /// When it was first told that the host wants nothing new.
    left: Option<Instant>,
    /// It is on the list no more.
    gone: bool,
    /// The latest used last.
    idle: Vec<Idle>,
}

/// All hosts, and the connections to them.
pub struct Upstream {
    hosts: RefCell<HashMap<HostId, Host>>,
    links: Rc<Cell<usize>>,
    by_host: RefCell<BTreeMap<HostId, Rc<Cell<usize>>>>,
    serial: Cell<u64>,
    /// Where hosts tell their load.
    pub reports: Cell<ReportSource>,
}

/// A connection's count among all; ends with it.
pub struct ConnectionPermit([Rc<Cell<usize>>; 2]);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.iter().for_each(|count| count.set(count.get() - 1));
    }
}

/// A connection and its buffers.
pub struct UpstreamConnection {
    /// The socket.
    pub stream: TcpStream,
    /// Where it leads.
    pub peer: SocketAddr,
    /// What was read and not understood yet.
    pub input: Vec<u8>,
    /// What is to be written.
    pub output: Vec<u8>,
    /// Whether all of it has been.
    pub written: bool,
}

impl UpstreamConnection {
    /// A link on a fresh connection.
    pub fn new(stream: TcpStream, peer: SocketAddr) -> Self {
        UpstreamConnection {
            stream,
            peer,
            input: Vec::new(),
            output: Vec::new(),
            written: false,
        }
    }

    /// Whether an idle connection has not come to its end, and nothing stands on it that belongs to no relay.
    pub fn quiet(&self) -> bool {
        close::read_now(&self.stream, &mut [0]) == Now::Nothing
    }
}

impl Upstream {
    /// No hosts yet.
    pub fn new(reports: ReportSource) -> Self {
        Upstream {
            hosts: RefCell::default(),
            links: Rc::default(),
            by_host: RefCell::default(),
            serial: Cell::default(),
            reports: Cell::new(reports),
        }
    }

    /// Takes in what the inventory says of a host, which is told at this moment.
    pub fn learn(&self, entry: &HostEntry, address: SocketAddr) {
        let mut hosts = self.hosts.borrow_mut();
        let fresh = || Host {
            address,
            started: entry.started,
            left: None,
            gone: false,
            idle: Vec::new(),
        };
        let host = hosts.entry(entry.host).or_insert_with(fresh);
        if host.address != address || host.started != entry.started {
            *host = fresh();
        }
        host.mark(entry.state == HostState::Ready);
        host.gone = entry.state == HostState::Gone;
    }

    /// Whether anything is held of a host.
    pub fn knows(&self, id: HostId) -> bool {
        self.hosts.borrow().contains_key(&id)
    }

    /// Forgets the hosts that are gone and may be sent nothing any more. Guards against growing with each host
    /// that is replaced by one of another name.
    pub fn forget(&self, limits: &Limits) {
        let over = |host: &Host| {
            host.gone
                && host
                    .left
                    .is_some_and(|left| left.elapsed() >= limits.drain.get())
        };
        self.hosts.borrow_mut().retain(|_, host| !over(host));
        let hosts = self.hosts.borrow();
        self.by_host
            .borrow_mut()
            .retain(|id, count| count.get() > 0 || hosts.contains_key(id));
    }

    /// A whole list came: what it does not hold is gone.
    pub fn keep_only(&self, listed: &[HostEntry]) {
        for (id, host) in self.hosts.borrow_mut().iter_mut() {
            if !listed.iter().any(|entry| entry.host == *id) {
                host.mark(false);
                host.gone = true;
            }
        }
    }

    /// Where a host listens; `None` once it may be sent nothing any more. Guards against a send that was decided
    /// before the word of a drain, and whose connection comes up long after it.
    pub fn address(&self, id: HostId, limits: &Limits) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let host = hosts.get(&id)?;
        let late = host
            .left
            .is_some_and(|told| told.elapsed() >= limits.drain.get());
        (!late).then_some(host.address)
    }

    /// Hands a relay to the host's connection that was used last; gives it back where none waits. Guards against
    /// taking what still follows an answer, a copy of it above all, for the answer to the next relay: for a
    /// moment after an answer the connection takes none.
    ///
    /// # Errors
    /// No idle connection leads to the host; the call is given back.
    pub fn hand_over(&self, mut relay: HostCall, limits: &Limits) -> Result<(), HostCall> {
        let mut hosts = self.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(&relay.host) else {
            return Err(relay);
        };
        let rested = |idle: &Idle| idle.since.elapsed() >= limits.south_rest;
        while let Some(last) = host.idle.iter().rposition(rested) {
            match host.idle.remove(last).next.send(relay) {
                Ok(()) => return Ok(()),
                Err(back) => relay = back,
            }
        }
        Err(relay)
    }

    /// Lets a connection wait for its next relay, if its host still wants one.
    pub fn park(&self, id: HostId, peer: SocketAddr) -> Option<(u64, oneshot::Receiver<HostCall>)> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts
            .get_mut(&id)
            .filter(|host| host.left.is_none() && host.address == peer)?;
        let (next, relay) = oneshot::channel();
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        host.idle.push(Idle {
            serial,
            next,
            since: Instant::now(),
        });
        Some((serial, relay))
    }

    /// Takes a connection out of those that wait.
    pub fn unpark(&self, id: HostId, serial: u64) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.idle.retain(|idle| idle.serial != serial);
        }
    }

    /// Closes the connections to a host that wait.
    pub fn close_idle(&self, id: HostId) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(&id) {
            host.idle.clear();
        }
    }

    /// Room for one more connection, if need be in the place of the one that has waited longest.
    pub fn count(&self, id: HostId, limits: &Limits) -> Option<ConnectionPermit> {
        if self.links.get() >= limits.south_share() {
            let mut hosts = self.hosts.borrow_mut();
            let oldest = |host: &&mut Host| host.idle.first().map_or(u64::MAX, |idle| idle.serial);
            let host = hosts
                .values_mut()
                .min_by_key(oldest)
                .filter(|host| !host.idle.is_empty())?;
            drop(host.idle.remove(0));
        }
        let counts = [
            self.links.clone(),
            self.by_host.borrow_mut().entry(id).or_default().clone(),
        ];
        counts.iter().for_each(|count| count.set(count.get() + 1));
        Some(ConnectionPermit(counts))
    }

    /// The connections that are up or on their way, by host.
    pub fn links(&self) -> BTreeMap<HostId, usize> {
        let held = |(id, count): (&HostId, &Rc<Cell<usize>>)| {
            (count.get() > 0).then(|| (*id, count.get()))
        };
        self.by_host.borrow().iter().filter_map(held).collect()
    }

    /// What a reply to a relay means, and whether it is one of the protocol's forms: after any other the
    /// connection is of no more use.
    pub fn end(
        &self,
        reply: &Reply,
        bytes: &[u8],
        command: &HostCommand,
        host: HostId,
    ) -> (CallResult, bool) {
        let text = |place: &std::ops::Range<usize>| bytes[place.clone()].to_vec();
        let load_of = |member: &Reply| match member {
            Reply::Bulk(Some(place)) => load(&bytes[place.clone()]),
            _ => None,
        };
        let (end, known) = match (reply, command) {
            (Reply::Error(place), _) => {
                let line = &bytes[place.clone()];
                let mut words = line.split(|byte| *byte == b' ');
                let (outcome, known) = match words.next() {
                    Some(b"BUSY") => (Outcome::Rejected, true),
                    first => (Outcome::Error, first == Some(b"ERR")),
                };
                (
                    CallResult {
                        load: words.next_back().and_then(load).unwrap_or_default(),
                        ..outcome.into()
                    },
                    known,
                )
            }
            (Reply::Bulk(Some(_)), HostCommand::HealthCheck) => match load_of(reply) {
                Some(load) => (
                    CallResult {
                        load,
                        ..Outcome::Good.into()
                    },
                    true,
                ),
                None => (Outcome::Error.into(), true),
            },
            (Reply::Array(Some(members)), HostCommand::Attempt { .. }) => {
                match members.as_slice() {
                    // The value, the figures on use or null, the load report or null. The value is good even where
                    // the others cannot be read.
                    [Reply::Bulk(Some(value)), figures, report] => (
                        CallResult {
                            value: text(value),
                            load: load_of(report).unwrap_or_default(),
                            used: used(figures, bytes, host),
                            ..Outcome::Good.into()
                        },
                        true,
                    ),
                    _ => (Outcome::Error.into(), false),
                }
            }
            _ => (Outcome::Error.into(), false),
        };
        let told = matches!(command, HostCommand::HealthCheck)
            || self.reports.get() == ReportSource::Answers;
        (
            CallResult {
                load: if told { end.load } else { Load::new() },
                ..end
            },
            known,
        )
    }
}

impl Host {
    fn mark(&mut self, ready: bool) {
        if ready {
            self.left = None;
        } else {
            self.left.get_or_insert_with(Instant::now);
            self.idle.clear();
        }
    }
}

/// Whether what has come of a reply may yet become one. Guards against waiting for the end of what is well-formed
/// so far and is no reply to this errand.
pub fn promising(input: &[u8], command: &HostCommand) -> bool {
    let begins = |form: &[u8]| input.iter().zip(form).all(|(one, other)| one == other);
    begins(b"-")
        || begins(if matches!(command, HostCommand::HealthCheck) {
            b"$"
        } else {
            b"*3\r\n$"
        })
}

/// A load report: `inflight=7,queue=2`.
fn load(bytes: &[u8]) -> Option<Load> {
    let text = std::str::from_utf8(bytes).ok()?;
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.parse().ok()?;
        value.is_finite().then(|| (name.to_owned(), value))
    };
    text.split(',').map(pair).collect()
}

/// The figures on use: `used=37,cost=4`, or null. Guards against what cannot be read, or cannot be so, entering a
/// count: it is as if it had not come, and is logged.
pub fn used(figures: &Reply, bytes: &[u8], host: HostId) -> UsageFigures {
    let pairs = match figures {
        Reply::Bulk(None) => return UsageFigures::default(),
        Reply::Bulk(Some(place)) => load(&bytes[place.clone()]),
        _ => None,
    };
    let of = |name: &str| {
        pairs
            .iter()
            .flatten()
            .find(|(known, _)| known == name)
            .map_or(0.0, |(_, value)| *value)
    };
    let (metered, units) = (of("used"), of("cost"));
    if pairs.is_none() || metered < 0.0 || units < 0.0 {
        tracing::warn!(
            "server {}: figures on use that cannot be read are left out",
            host.0
        );
    }
    UsageFigures {
        metered: metered.max(0.0) as u64,
        units: units.max(0.0),
    }
}

/// Writes the command that a relay takes to its host. The words go on byte for byte; the wait is what is left.
pub fn write(relay: &HostCall, now: Instant, out: &mut Vec<u8>) {
    let HostCommand::Attempt { payload, .. } = &relay.command else {
        return codec::write_command(&[b"INFO", b"load"], out);
    };
    let left = relay
        .deadline
        .saturating_duration_since(now)
        .as_millis()
        .max(1)
        .to_string();
    codec::write_head('*', payload.arguments.len(), out);
    for word in &payload.arguments {
        let wait = &payload.wait;
        if word.start <= wait.start && wait.end <= word.end && !wait.is_empty() {
            codec::write_head('$', word.len() - wait.len() + left.len(), out);
            out.extend_from_slice(&payload.bytes[word.start..wait.start]);
            out.extend_from_slice(left.as_bytes());
            out.extend_from_slice(&payload.bytes[wait.end..word.end]);
            out.extend_from_slice(b"\r\n");
        } else {
            codec::write_bulk(&payload.bytes[word.clone()], out);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::CustomerId;
    use crate::net::engine::tests::{attempt_order, no_reply, request};
    use crate::net::engine::{AttemptOrder, Charge};
    use crate::net::tests::with_limiter;

    /// The words go on as they came, the wait apart, whose length may change.
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
                let relay = requests.begin_attempt(order, now).expect("within the cap");
                let mut out = Vec::new();
                write(&relay, now, &mut out);
                assert_eq!(
                    String::from_utf8_lossy(&out),
                    format!("*2\r\n$5\r\nQ.ASK\r\n{expected}\r\n")
                );
            }
        });
    }

    /// What is good, and after what the connection may be used again.
    #[test]
    fn only_a_whole_right_formed_value_is_good() {
        let attempt = HostCommand::Attempt {
            charge: Charge {
                customer: CustomerId(7),
                units: 1.0,
            },
            id: crate::api::RequestId(1),
            attempt: 0,
            payload: Rc::new(request(1).payload),
        };
        with_limiter(&[], |limiter| async move {
            let upstream = Upstream::new(ReportSource::Answers);
            for (bytes, outcome, inflight, known) in [
                (
                    "*3\r\n$3\r\nbed\r\n$-1\r\n$20\r\ninflight=7,queue=2.5\r\n",
                    Outcome::Good,
                    Some(7.0),
                    true,
                ),
                (
                    "*3\r\n$3\r\nbed\r\n$-1\r\n$3\r\n=,=\r\n",
                    Outcome::Good,
                    None,
                    true,
                ),
                (
                    "*3\r\n$3\r\nbed\r\n:-7\r\n+?\r\n",
                    Outcome::Good,
                    None,
                    true,
                ),
                ("*3\r\n$-1\r\n$-1\r\n$-1\r\n", Outcome::Error, None, false),
                ("*2\r\n$3\r\nbed\r\n$-1\r\n", Outcome::Error, None, false),
                ("$3\r\nbed\r\n", Outcome::Error, None, false),
                ("+OK\r\n", Outcome::Error, None, false),
                (":5\r\n", Outcome::Error, None, false),
                ("-BUSY\r\n", Outcome::Rejected, None, true),
                ("-BUSY inflight=9\r\n", Outcome::Rejected, Some(9.0), true),
                ("-BUSYBODY\r\n", Outcome::Error, None, false),
                (
                    "-ERR failed inflight=3,queue=0\r\n",
                    Outcome::Error,
                    Some(3.0),
                    true,
                ),
            ] {
                let (reply, _) = codec::reply(bytes.as_bytes(), limiter.limits())
                    .expect("well-formed")
                    .expect("whole");
                let (end, usable) = upstream.end(&reply, bytes.as_bytes(), &attempt, HostId(5));
                assert_eq!(
                    (
                        end.outcome,
                        end.load.first().map(|(_, value)| *value),
                        usable
                    ),
                    (outcome, inflight, known),
                    "{bytes:?}"
                );
                assert_eq!(
                    end.value,
                    if outcome == Outcome::Good {
                        b"bed".to_vec()
                    } else {
                        Vec::new()
                    }
                );
            }
            for (bytes, may) in [("", true), ("*3\r", true), ("*3\r\n$9", true), ("-E", true)] {
                assert_eq!(promising(bytes.as_bytes(), &attempt), may, "{bytes:?}");
            }
            for bytes in ["*3\r\n*3\r\n*3\r\n", "*30", "$3", ":5\r\n", "HTTP"] {
                assert!(!promising(bytes.as_bytes(), &attempt), "{bytes:?}");
            }
        });
    }

    /// What an answer tells of use is read whatever the load report is; what cannot be so is as if it had not come.
    #[test]
    fn figures_on_use_are_read_from_answers() {
        let attempt = HostCommand::Attempt {
            charge: Charge {
                customer: CustomerId(7),
                units: 1.0,
            },
            id: crate::api::RequestId(1),
            attempt: 0,
            payload: Rc::new(request(1).payload),
        };
        with_limiter(&[], |limiter| async move {
            let upstream = Upstream::new(ReportSource::Nowhere);
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
                let (reply, _) = codec::reply(bytes.as_bytes(), limiter.limits())
                    .expect("well-formed")
                    .expect("whole");
                let (end, usable) = upstream.end(&reply, bytes.as_bytes(), &attempt, HostId(5));
                assert_eq!(
                    (end.outcome, end.used, usable),
                    (Outcome::Good, UsageFigures { metered, units }, true),
                    "{members:?}"
                );
            }
        });
    }

    /// For a moment after its answer a connection is not used again: more may follow.
    #[test]
    fn a_connection_rests_after_an_answer() {
        with_limiter(&[], |limiter| async move {
            let (upstream, address) = (
                limiter.upstream(),
                "127.0.0.1:9".parse().expect("an address"),
            );
            let state = HostState::Ready;
            upstream.learn(
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
            let relay = requests
                .borrow_mut()
                .begin_attempt(attempt_order(1, HostId(5)), now);
            let mut parked = upstream.park(HostId(5), address).expect("it may wait").1;
            let back = upstream.hand_over(relay.expect("within the cap"), limiter.limits());
            let relay = back.expect_err("it answered just now");
            tokio::time::sleep(limiter.limits().south_rest).await;
            assert!(upstream.hand_over(relay, limiter.limits()).is_ok());
            assert!(parked.try_recv().is_ok());
        });
    }

    /// A send that was decided before the word of a drain goes out for a while only.
    #[test]
    fn a_host_that_drains_is_soon_sent_nothing() {
        with_limiter(&[], |limiter| async move {
            let (upstream, address) = (
                limiter.upstream(),
                "127.0.0.1:9".parse().expect("an address"),
            );
            let entry = |state| HostEntry {
                host: HostId(5),
                state,
                ..HostEntry::default()
            };
            let drained = Limits {
                drain: std::time::Duration::ZERO.into(),
                ..limiter.limits().clone()
            };
            upstream.learn(&entry(HostState::Ready), address);
            assert_eq!(upstream.address(HostId(5), &drained), Some(address));
            let parked = upstream.park(HostId(5), address).expect("it may wait");
            upstream.keep_only(&[]);
            assert_eq!(upstream.address(HostId(5), limiter.limits()), Some(address));
            assert_eq!(upstream.address(HostId(5), &drained), None);
            // Its idle connections are let go, and it gets no new ones.
            assert!(parked.1.await.is_err());
            assert!(upstream.park(HostId(5), address).is_none());
            upstream.learn(&entry(HostState::Ready), address);
            assert_eq!(upstream.address(HostId(5), &drained), Some(address));
        });
    }

    /// What is gone is forgotten once nothing may be sent there; what drains is not.
    #[test]
    fn hosts_that_are_gone_are_forgotten() {
        with_limiter(&[], |limiter| async move {
            let (upstream, address) = (
                limiter.upstream(),
                "127.0.0.1:9".parse().expect("an address"),
            );
            let entry = |id, state| HostEntry {
                host: HostId(id),
                state,
                ..HostEntry::default()
            };
            let over = Limits {
                drain: std::time::Duration::ZERO.into(),
                ..limiter.limits().clone()
            };
            (1..5).for_each(|id| upstream.learn(&entry(id, HostState::Ready), address));
            upstream.learn(&entry(2, HostState::Gone), address);
            upstream.learn(&entry(3, HostState::Draining), address);
            upstream.forget(limiter.limits());
            assert!(
                (1..5).all(|id| upstream.knows(HostId(id))),
                "what was decided before may still go out"
            );
            upstream.forget(&over);
            assert_eq!(
                [1, 2, 3, 4].map(|id| upstream.knows(HostId(id))),
                [true, false, true, true]
            );
            upstream.keep_only(&[entry(1, HostState::Ready)]);
            upstream.forget(&over);
            assert_eq!(
                [1, 2, 3, 4].map(|id| upstream.knows(HostId(id))),
                [true, false, false, false]
            );
        });
    }
}
