//! The counter service: a few lasting connections with calls written one behind another. A name always goes to
//! the same connection, and what becomes of its calls is told in their order.

use super::config::Limits;
use super::platform::resp::{self, Reply};
use super::{spawn, Node};
use crate::api::{Event, Nanos, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Instant};

/// One call.
struct Call {
    name: String,
    /// What is to be written; empty where it never will be.
    command: Vec<u8>,
    began: Instant,
    /// Where in the connection's stream its last byte stands, once it is on its way.
    end: Option<u64>,
    /// What became of it has been told.
    told: bool,
}

/// The calls of one connection, in their order.
struct Line {
    calls: RefCell<VecDeque<Call>>,
    news: Notify,
}

/// The connections to the counter.
pub struct Counter {
    address: Option<SocketAddr>,
    lines: Vec<Rc<Line>>,
}

impl Counter {
    /// No connection yet.
    pub fn new(address: Option<SocketAddr>, limits: &Limits) -> Self {
        let line = || Rc::new(Line { calls: RefCell::default(), news: Notify::new() });
        Counter { address, lines: (0..limits.counter_links).map(|_| line()).collect() }
    }

    /// Calls the counter; exactly one `Counted` event follows.
    pub fn call(&self, node: &Rc<Node>, name: String, amount: f64, keep_for: Nanos) {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let line = &self.lines[hasher.finish() as usize % self.lines.len()];
        let mut calls = line.calls.borrow_mut();
        if self.address.is_none() {
            drop(calls);
            return node.tell(Event::Counted { name, outcome: Outcome::ConnectFailed, total: 0.0, took: 0 });
        }
        // Past the limit a call is not made, but keeps its place: what becomes of it is told behind the others.
        let mut command = Vec::new();
        if calls.len() < node.limits.counter_calls {
            let (amount, life) =
                (amount.to_string(), keep_for.div_ceil(1_000_000).clamp(1, 60_000).to_string());
            let words = [b"ADDGET", name.as_bytes(), amount.as_bytes(), life.as_bytes()];
            resp::write_command(&words, &mut command);
        }
        calls.push_back(Call { name, command, began: Instant::now(), end: None, told: false });
        line.news.notify_one();
    }
}

/// Starts the connections.
pub fn start(node: &Rc<Node>) {
    let Some(address) = node.counter.address else { return };
    for line in &node.counter.lines {
        spawn(keep(node.clone(), line.clone(), address));
    }
}

/// Keeps one connection up, and its calls told in time while it is not.
async fn keep(node: Rc<Node>, line: Rc<Line>, address: SocketAddr) {
    loop {
        let by = Instant::now() + node.limits.connect;
        let connect = timeout_at(by, TcpStream::connect(address));
        tokio::pin!(connect);
        let stream = loop {
            tokio::select! {
                opened = &mut connect => break opened.ok().and_then(Result::ok),
                () = line.overdue(&node.limits) => line.expire(&node),
                () = line.news.notified() => {}
            }
        };
        let Some(mut stream) = stream else {
            line.pause(&node).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let flushed = Cell::new(0);
        let idle = line.converse(&node, &mut stream, &flushed).await;
        drop(stream);
        line.broken(&node, flushed.get());
        if !idle {
            line.pause(&node).await;
        }
    }
}

impl Line {
    /// Waits until the first call that nothing has been told of is past its time.
    async fn overdue(&self, limits: &Limits) {
        let first = self.calls.borrow().iter().find(|call| !call.told).map(|call| call.began);
        match first {
            Some(began) => sleep_until(began + limits.counter_call).await,
            None => std::future::pending().await,
        }
    }

    /// The pause before a new connection, in which calls run out of time as ever.
    async fn pause(&self, node: &Rc<Node>) {
        let until = Instant::now() + node.limits.again;
        while Instant::now() < until {
            tokio::select! {
                () = sleep_until(until) => {}
                () = self.overdue(&node.limits) => self.expire(node),
                () = self.news.notified() => {}
            }
        }
    }

    fn tell(node: &Rc<Node>, name: String, outcome: Outcome, total: f64, began: Instant) {
        let took = began.elapsed().as_nanos() as Nanos;
        node.tell(Event::Counted { name, outcome, total, took });
    }

    /// Tells of the calls whose time is over. One that was never on its way was not added and leaves the line;
    /// any other may be, and keeps its place for the answer that may yet come.
    fn expire(&self, node: &Rc<Node>) {
        let now = Instant::now();
        loop {
            let mut calls = self.calls.borrow_mut();
            let Some(index) = calls.iter().position(|call| !call.told) else { return };
            let call = &mut calls[index];
            if call.began + node.limits.counter_call > now {
                return;
            }
            let (name, began) = (std::mem::take(&mut call.name), call.began);
            call.told = true;
            let outcome = if call.end.is_some() { Outcome::Timeout } else { Outcome::ConnectFailed };
            if call.end.is_none() {
                calls.remove(index);
            }
            drop(calls);
            Self::tell(node, name, outcome, 0.0, began);
        }
    }

    /// Tells of the calls that were on a connection that ended. Those whose last byte was never written were not
    /// added; of the others nobody knows, which is the same as no answer in time.
    fn broken(&self, node: &Rc<Node>, flushed: u64) {
        loop {
            // Those not yet on their way wait for the next connection.
            let Some(call) = self.take_first() else { return };
            if !call.told {
                let written = call.end.is_some_and(|end| end <= flushed);
                let outcome = if written { Outcome::Timeout } else { Outcome::ConnectFailed };
                Self::tell(node, call.name, outcome, 0.0, call.began);
            }
        }
    }

    /// Puts all calls that wait on their way, behind `out`, which follows the first `flushed` bytes.
    fn write(&self, out: &mut Vec<u8>, flushed: u64) {
        let waits = |call: &&mut Call| call.end.is_none() && !call.command.is_empty();
        for call in self.calls.borrow_mut().iter_mut().filter(waits) {
            out.append(&mut call.command);
            call.end = Some(flushed + out.len() as u64);
        }
    }

    /// Takes the first call that is on its way out of the line.
    fn take_first(&self) -> Option<Call> {
        let mut calls = self.calls.borrow_mut();
        let index = calls.iter().position(|call| call.end.is_some())?;
        calls.remove(index)
    }

    /// Serves a connection until it breaks, stays silent, or has nothing to do for long; true for the last.
    async fn converse(&self, node: &Rc<Node>, stream: &mut TcpStream, flushed: &Cell<u64>) -> bool {
        let (mut reader, writer) = stream.split();
        let limits = &node.limits;
        let (mut input, mut out) = (Vec::new(), Vec::new());
        let mut heard = Instant::now();
        loop {
            // `flushed` bytes are written; `out` holds what follows them.
            self.write(&mut out, flushed.get());
            while !out.is_empty() {
                match writer.try_write(&out) {
                    Ok(count) => {
                        flushed.set(flushed.get() + count as u64);
                        resp::consume(&mut out, count, limits.read_bytes);
                    }
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => return false,
                }
            }
            let waiting = !self.calls.borrow().is_empty();
            let patience = if waiting { limits.counter_silence } else { limits.counter_idle };
            tokio::select! {
                more = resp::more(&mut reader, &mut input, limits.read_bytes) => {
                    if !more.unwrap_or(false) {
                        return false;
                    }
                    if !self.read(node, &mut input) {
                        return false;
                    }
                    heard = Instant::now();
                }
                _ = writer.writable(), if !out.is_empty() => {}
                () = self.overdue(limits) => self.expire(node),
                () = self.news.notified() => {
                    if !waiting {
                        heard = Instant::now();
                    }
                }
                () = sleep_until(heard + patience) => return !waiting,
            }
        }
    }

    /// Takes the answers that have come; each belongs to the first call still in line. False where one belongs
    /// to none, or is malformed.
    fn read(&self, node: &Rc<Node>, input: &mut Vec<u8>) -> bool {
        loop {
            let (outcome, total, length) = match resp::reply(input, &node.limits) {
                Ok(None) => return true,
                Err(_) => return false,
                Ok(Some((Reply::Bulk(Some(place)), length))) => {
                    let text = std::str::from_utf8(&input[place]).ok();
                    match text.and_then(|text| text.parse::<f64>().ok()).filter(|total| total.is_finite()) {
                        Some(total) => (Outcome::Good, total, length),
                        None => return false,
                    }
                }
                Ok(Some((Reply::Error(_), length))) => (Outcome::Full, 0.0, length),
                Ok(Some(_)) => return false,
            };
            resp::consume(input, length, node.limits.read_bytes);
            match self.take_first() {
                None => return false,
                Some(call) if !call.told => Self::tell(node, call.name, outcome, total, call.began),
                // Late: what became of it has been told.
                Some(_) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::tests::{next, with_node};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    async fn counted(node: &Rc<Node>) -> (Outcome, f64) {
        match next(node).await {
            Event::Counted { outcome, total, .. } => (outcome, total),
            other => panic!("{other:?}"),
        }
    }

    /// Reads until as many calls have come.
    async fn calls(stream: &mut TcpStream, count: usize) {
        let mut bytes = Vec::new();
        while bytes.windows(6).filter(|six| six == b"ADDGET").count() < count || !bytes.ends_with(b"4000\r\n")
        {
            assert!(stream.read_buf(&mut bytes).await.expect("the limiter writes") > 0);
        }
    }

    fn call(node: &Rc<Node>, amount: f64) {
        node.counter.call(node, "q7.1".to_owned(), amount, 4_000_000_000);
    }

    /// Answers that come late belong to the calls they were late for, not to those that wait now.
    #[test]
    fn late_answers_are_dropped_by_their_place() {
        let changes = [
            ("127.0.0.1:7002", "127.77.0.20:7002"),
            ("\"counterTimeoutNs\": 30000000", "\"counterTimeoutNs\": 200000000"),
        ];
        with_node(&changes, |node| async move {
            let listener = TcpListener::bind("127.77.0.20:7002").await.expect("the address is free");
            // Made before there is a connection; of the others' connections none comes into it.
            call(&node, 1.0);
            call(&node, -2.5);
            let line =
                node.counter.lines.iter().find(|line| !line.calls.borrow().is_empty()).expect("a line");
            spawn(keep(node.clone(), line.clone(), node.counter.address.expect("told")));
            let (mut stream, _) = listener.accept().await.expect("the limiter connects");
            calls(&mut stream, 2).await;
            assert_eq!(counted(&node).await.0, Outcome::Timeout);
            assert_eq!(counted(&node).await.0, Outcome::Timeout);
            call(&node, 3.0);
            calls(&mut stream, 1).await;
            stream.write_all(b"$1\r\n1\r\n$4\r\n-1.5\r\n$3\r\n1.5\r\n").await.expect("the limiter reads");
            assert_eq!(counted(&node).await, (Outcome::Good, 1.5));
            // A connection that ends takes with it what may have been added.
            call(&node, 4.0);
            calls(&mut stream, 1).await;
            drop(stream);
            assert_eq!(counted(&node).await.0, Outcome::Timeout);
            // Its successor serves on, also where the counter turns a call away.
            let (mut stream, _) = listener.accept().await.expect("the limiter connects again");
            call(&node, 5.0);
            call(&node, 6.0);
            calls(&mut stream, 2).await;
            stream.write_all(b"-BUSY\r\n$1\r\n6\r\n").await.expect("the limiter reads");
            assert_eq!(counted(&node).await.0, Outcome::Full);
            assert_eq!(counted(&node).await, (Outcome::Good, 6.0));
        });
    }

    /// What was never on its way was not added, and is told so, in time.
    #[test]
    fn without_a_connection_nothing_is_added() {
        with_node(&[("127.0.0.1:7002", "127.77.0.21:7002")], |node| async move {
            start(&node);
            call(&node, 1.0);
            call(&node, 2.0);
            assert_eq!(counted(&node).await.0, Outcome::ConnectFailed);
            assert_eq!(counted(&node).await.0, Outcome::ConnectFailed);
            assert!(node.counter.lines.iter().all(|line| line.calls.borrow().is_empty()));
        });
    }
}
