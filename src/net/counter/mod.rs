//! The counter service: a few lasting connections with calls written one behind another. A name always goes to
//! the same line, whose calls are told in their order, whichever connection each of them was written to.

use super::config::{Addresses, Limits};
use super::engine::EngineDriver;
use super::resp::codec::{self, Reply};
use super::task::spawn;
use crate::api::{Event, Nanos, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// One call that nothing has been told of yet.
struct Call {
    name: String,
    /// What is to be written; empty once it is on its way, or where it never will be.
    command: Vec<u8>,
    began: Instant,
    /// It is on its way, or was.
    sent: bool,
    /// What became of it, once that is known.
    end: Option<(Outcome, f64)>,
}

/// Calls in their order, and the connection that they are written to. One that moves to another address leaves
/// its old connection behind, to end by itself.
struct Line {
    calls: RefCell<VecDeque<Call>>,
    /// How many calls were told of: the number of the first that is held.
    told: Cell<u64>,
    news: Notify,
    /// When one of all lines was last answered: the counter is at work.
    answered: Rc<Cell<Option<Instant>>>,
}

/// A connection, and the calls whose answers are still to come on it.
struct UpstreamConnection {
    stream: TcpStream,
    input: Vec<u8>,
    /// What follows the first `flushed` bytes of its stream.
    out: Vec<u8>,
    flushed: u64,
    /// It has answered a call.
    answered: bool,
    /// The number of each call, told of or not, and where in the stream its last byte stands.
    written: VecDeque<(u64, u64)>,
}

/// Why a connection is no longer served.
#[derive(PartialEq)]
enum Over {
    /// It had nothing to do for long.
    Idle,
    /// It broke, or is of no more use.
    Broken,
    /// The counter has another address now.
    Moved,
}

/// The connections to the counter.
pub struct CounterClient {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    addresses: watch::Receiver<Addresses>,
    lines: Vec<Rc<Line>>,
}

impl CounterClient {
    /// No connection yet.
    pub fn new(
        limits: Rc<Limits>,
        engine: Rc<EngineDriver>,
        addresses: watch::Receiver<Addresses>,
    ) -> Self {
        let answered = Rc::new(Cell::new(None));
        let line = || Line {
            calls: RefCell::default(),
            told: Cell::default(),
            news: Notify::new(),
            answered: answered.clone(),
        };
        let lines = (0..limits.counter_links).map(|_| Rc::new(line())).collect();
        CounterClient {
            limits,
            engine,
            addresses,
            lines,
        }
    }

    /// Calls the counter; exactly one [`Event::CounterReplied`] follows.
    pub fn call(&self, name: String, amount: f64, keep_for: Nanos) {
        if self.addresses.borrow().counter.is_none() {
            return self.engine.handle(Event::CounterReplied {
                name,
                outcome: Outcome::ConnectFailed,
                total: 0.0,
                elapsed: 0,
            });
        }
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let line = &self.lines[hasher.finish() as usize % self.lines.len()];
        // Past the limit a call is not made, but keeps its place: what becomes of it is told behind the others.
        let mut calls = line.calls.borrow_mut();
        let (mut command, mut end) = (Vec::new(), Some((Outcome::ConnectFailed, 0.0)));
        if calls.len() < self.limits.counter_calls {
            let (amount, life) = (
                amount.to_string(),
                keep_for.div_ceil(1_000_000).clamp(1, 60_000).to_string(),
            );
            let words = [
                b"ADDGET",
                name.as_bytes(),
                amount.as_bytes(),
                life.as_bytes(),
            ];
            codec::write_command(&words, &mut command);
            end = None;
        }
        calls.push_back(Call {
            name,
            command,
            began: Instant::now(),
            sent: false,
            end,
        });
        line.news.notify_one();
    }
}

/// Starts the connections.
pub fn start(client: &Rc<CounterClient>) {
    for line in &client.lines {
        spawn(keep(client.clone(), line.clone()));
    }
}

/// Keeps one connection up, and its calls told in time while it is not.
async fn keep(client: Rc<CounterClient>, line: Rc<Line>) {
    let mut addresses = client.addresses.clone();
    loop {
        let Some(address) = addresses.borrow_and_update().counter else {
            let _ = addresses.changed().await;
            continue;
        };
        let by = Instant::now() + client.limits.connect.get();
        let connect = timeout_at(by, TcpStream::connect(address));
        tokio::pin!(connect);
        let stream = loop {
            tokio::select! {
                opened = &mut connect => break opened.ok().and_then(Result::ok),
                () = line.overdue(&client.limits) => line.expire(&client),
                () = line.news.notified() => {}
                _ = addresses.changed() => {
                    addresses.mark_changed();
                    break None;
                }
            }
        };
        let Some(stream) = stream else {
            line.pause(&client, &mut addresses).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut link = UpstreamConnection::new(stream);
        match line.converse(&client, &mut link, &mut addresses).await {
            Over::Idle => line.broken(&client, link),
            Over::Moved => spawn(line.clone().leave(client.clone(), link)),
            Over::Broken => {
                let answered = link.answered;
                line.broken(&client, link);
                // Where the counter is at work only this connection was at fault.
                if !answered {
                    line.pause(&client, &mut addresses).await;
                }
            }
        }
    }
}

impl UpstreamConnection {
    fn new(stream: TcpStream) -> Self {
        let (input, out, written) = (Vec::new(), Vec::new(), VecDeque::new());
        UpstreamConnection {
            stream,
            input,
            out,
            flushed: 0,
            answered: false,
            written,
        }
    }

    /// Writes as much as the connection takes; false where it is broken.
    fn flush(&mut self, limits: &Limits) -> bool {
        while !self.out.is_empty() {
            match self.stream.try_write(&self.out) {
                Ok(count) => {
                    self.flushed += count as u64;
                    codec::consume(&mut self.out, count, limits.read_bytes);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        true
    }
}

impl Line {
    /// Waits until the first call is past its time.
    async fn overdue(&self, limits: &Limits) {
        let first = self.calls.borrow().front().map(|call| call.began);
        match first {
            Some(began) => sleep_until(began + limits.counter_call.get()).await,
            None => std::future::pending().await,
        }
    }

    /// The pause before a new connection, in which calls run out of time as ever. A new address ends it.
    async fn pause(&self, client: &CounterClient, addresses: &mut watch::Receiver<Addresses>) {
        let until = Instant::now() + client.limits.again;
        while Instant::now() < until && !addresses.has_changed().unwrap_or(false) {
            tokio::select! {
                () = sleep_until(until) => {}
                () = self.overdue(&client.limits) => self.expire(client),
                () = self.news.notified() => {}
                _ = addresses.changed() => addresses.mark_changed(),
            }
        }
    }

    /// Tells of the first calls, as far as it is known what became of them. Guards against a line that moved to
    /// another connection telling of later calls before earlier ones: the module knows them by their order.
    fn settle(&self, client: &CounterClient) {
        loop {
            let mut calls = self.calls.borrow_mut();
            let Some((outcome, total)) = calls.front().and_then(|call| call.end) else {
                return;
            };
            let Some(Call { name, began, .. }) = calls.pop_front() else {
                return;
            };
            drop(calls);
            self.told.set(self.told.get() + 1);
            let elapsed = began.elapsed().as_nanos() as Nanos;
            client.engine.handle(Event::CounterReplied {
                name,
                outcome,
                total,
                elapsed,
            });
        }
    }

    /// Notes what became of a call, if nothing has been told of it.
    fn note(&self, number: u64, end: (Outcome, f64)) {
        let Some(index) = number.checked_sub(self.told.get()) else {
            return;
        };
        if let Some(call) = self.calls.borrow_mut().get_mut(index as usize) {
            call.end.get_or_insert(end);
        }
    }

    /// Tells of the calls whose time is over. One that was never on its way was not added; any other may be.
    fn expire(&self, client: &CounterClient) {
        let now = Instant::now();
        for call in self.calls.borrow_mut().iter_mut() {
            if call.began + client.limits.counter_call.get() > now {
                break;
            }
            let outcome = if call.sent {
                Outcome::Timeout
            } else {
                Outcome::ConnectFailed
            };
            call.end.get_or_insert((outcome, 0.0));
        }
        self.settle(client);
    }

    /// Tells of the calls that were on a connection that ended. Those whose last byte was never written were not
    /// added; of the others nobody knows, which is the same as no answer in time.
    fn broken(&self, client: &CounterClient, link: UpstreamConnection) {
        for (number, end) in link.written {
            let outcome = if end <= link.flushed {
                Outcome::Timeout
            } else {
                Outcome::ConnectFailed
            };
            self.note(number, (outcome, 0.0));
        }
        drop(link.stream);
        self.settle(client);
    }

    /// Puts all calls that wait on their way.
    fn write(&self, link: &mut UpstreamConnection) {
        let first = self.told.get();
        for (number, call) in (first..).zip(self.calls.borrow_mut().iter_mut()) {
            if !call.sent && call.end.is_none() {
                call.sent = true;
                link.out.append(&mut call.command);
                link.written
                    .push_back((number, link.flushed + link.out.len() as u64));
            }
        }
    }

    /// Serves a connection until it breaks, stays silent, has nothing to do for long, or is to be left.
    async fn converse(
        &self,
        client: &CounterClient,
        link: &mut UpstreamConnection,
        addresses: &mut watch::Receiver<Addresses>,
    ) -> Over {
        let limits = &client.limits;
        let (mut heard, mut began) = (Instant::now(), None);
        loop {
            // Guards against an answer that begins and has no end, or has one that is long in coming.
            let begun = !link.input.is_empty();
            began = began.filter(|_| begun).or_else(|| begun.then(Instant::now));
            if addresses.has_changed().unwrap_or(false) {
                return Over::Moved;
            }
            self.write(link);
            if !link.flush(limits) {
                return Over::Broken;
            }
            let waiting = !link.written.is_empty();
            let patience = if waiting {
                limits.counter_silence
            } else {
                limits.counter_idle
            };
            let alone = heard + 2 * limits.counter_call.get();
            let until = began.map_or(heard + patience, |began| began + limits.counter_call.get());
            // Guards against a connection that fell silent under a counter that is at work: a quarter of the
            // customers would go uncounted until its patience ends. Only one that was answered before: a counter
            // that takes connections and answers none of them must not be asked for ever more.
            let suspect = waiting && !begun && link.answered;
            let until = if suspect && alone > Instant::now() {
                until.min(alone)
            } else {
                until
            };
            if suspect && self.left_alone(alone, limits) {
                // After a pause of the process all answers lie there unread.
                let mut more = [0; 256];
                match link.stream.try_read(&mut more) {
                    Ok(count) if count > 0 => link.input.extend_from_slice(&more[..count]),
                    _ => return Over::Broken,
                }
                heard = Instant::now();
                if !self.read(client, link) {
                    return Over::Broken;
                }
                continue;
            }
            let (mut reader, writer) = link.stream.split();
            tokio::select! {
                more = codec::more(&mut reader, &mut link.input, limits.read_bytes) => {
                    if !more.unwrap_or(false) || !self.read(client, link) {
                        return Over::Broken;
                    }
                    heard = Instant::now();
                }
                _ = writer.writable(), if !link.out.is_empty() => {}
                () = self.overdue(limits) => self.expire(client),
                () = self.news.notified() => {
                    if !waiting {
                        heard = Instant::now();
                    }
                }
                () = sleep_until(until) => {
                    if suspect && until == alone {
                        continue;
                    }
                    return if waiting || begun { Over::Broken } else { Over::Idle };
                }
                _ = addresses.changed() => addresses.mark_changed(),
            }
        }
    }

    /// Whether this connection should have been answered by a time that is past, as others were since.
    fn left_alone(&self, by: Instant, limits: &Limits) -> bool {
        let since = by.checked_sub(limits.counter_call.get()).unwrap_or(by);
        Instant::now() >= by
            && self
                .answered
                .get()
                .is_some_and(|answered| answered >= since)
    }

    /// Serves a connection to an address that is no longer the counter's until all that was written to it has
    /// had its time.
    async fn leave(self: Rc<Self>, client: Rc<CounterClient>, mut link: UpstreamConnection) {
        let limits = &client.limits;
        let rest = async {
            while link.flush(limits) && !link.written.is_empty() {
                let (mut reader, writer) = link.stream.split();
                tokio::select! {
                    more = codec::more(&mut reader, &mut link.input, limits.read_bytes) => {
                        if !more.unwrap_or(false) || !self.read(&client, &mut link) {
                            return;
                        }
                    }
                    _ = writer.writable(), if !link.out.is_empty() => {}
                }
            }
        };
        let _ = timeout(limits.counter_call.get(), rest).await;
        self.broken(&client, link);
    }

    /// Takes the answers that have come; each belongs to the first call that waits for one. False where one
    /// belongs to none, or tells nothing: its call may have been added, and the connection is of no more use.
    fn read(&self, client: &CounterClient, link: &mut UpstreamConnection) -> bool {
        let mut sound = true;
        while sound {
            let (end, length) = match understand(&link.input, &client.limits) {
                Ok(None) => break,
                Ok(Some(answer)) => answer,
                Err(Spoilt) => {
                    sound = false;
                    break;
                }
            };
            codec::consume(&mut link.input, length, client.limits.read_bytes);
            link.answered = true;
            self.answered.set(Some(Instant::now()));
            // One that comes late finds its call told of.
            match link.written.pop_front() {
                Some((number, _)) => self.note(number, end),
                None => sound = false,
            }
        }
        self.settle(client);
        sound
    }
}

/// What became of a call, and how long the answer is that tells it.
type Answer = ((Outcome, f64), usize);

/// What came is no answer of the counter's.
#[derive(Debug)]
struct Spoilt;

/// The answer at the start of `input`, once it is whole. Guards against
/// taking any line for a refusal, which adds nothing, and against waiting for the end of what is no answer.
fn understand(input: &[u8], limits: &Limits) -> Result<Option<Answer>, Spoilt> {
    if input.first().is_some_and(|first| !b"$-".contains(first)) {
        return Err(Spoilt);
    }
    match codec::reply(input, limits) {
        // No total and no refusal is as long.
        Ok(None) if input.len() > limits.counter_answer => Err(Spoilt),
        Ok(None) => Ok(None),
        Ok(Some((Reply::Bulk(Some(place)), length))) => {
            let text = std::str::from_utf8(&input[place]).ok();
            let total = text
                .and_then(|text| text.parse::<f64>().ok())
                .filter(|total| total.is_finite());
            total
                .map(|total| Some(((Outcome::Good, total), length)))
                .ok_or(Spoilt)
        }
        Ok(Some((Reply::Error(place), length))) => {
            match input[place].split(|byte| *byte == b' ').next() {
                Some(b"BUSY" | b"ERR") => Ok(Some(((Outcome::Rejected, 0.0), length))),
                _ => Err(Spoilt),
            }
        }
        _ => Err(Spoilt),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::tests::{next, with_limiter};
    use crate::net::Limiter;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    async fn counted(limiter: &Rc<Limiter>) -> (Outcome, f64) {
        match next(limiter).await {
            Event::CounterReplied { outcome, total, .. } => (outcome, total),
            other => panic!("{other:?}"),
        }
    }

    /// Reads until as many calls have come.
    async fn calls(stream: &mut TcpStream, count: usize) {
        let mut bytes = Vec::new();
        while bytes.windows(6).filter(|six| six == b"ADDGET").count() < count
            || !bytes.ends_with(b"4000\r\n")
        {
            assert!(
                stream
                    .read_buf(&mut bytes)
                    .await
                    .expect("the limiter writes")
                    > 0
            );
        }
    }

    fn call(limiter: &Rc<Limiter>, amount: f64) {
        limiter
            .counter()
            .call("q7.1".to_owned(), amount, 4_000_000_000);
    }

    /// Answers that come late belong to the calls they were late for, not to those that wait now.
    #[test]
    fn late_answers_are_dropped_by_their_place() {
        let changes = [
            ("127.0.0.1:7002", "127.77.0.20:7002"),
            (
                "\"counterTimeoutNs\": 30000000",
                "\"counterTimeoutNs\": 200000000",
            ),
        ];
        with_limiter(&changes, |limiter| async move {
            let listener = TcpListener::bind("127.77.0.20:7002")
                .await
                .expect("the address is free");
            // Made before there is a connection; of the others' connections none comes into it.
            call(&limiter, 1.0);
            call(&limiter, -2.5);
            let line = limiter
                .counter()
                .lines
                .iter()
                .find(|line| !line.calls.borrow().is_empty())
                .expect("a line");
            spawn(keep(limiter.counter().clone(), line.clone()));
            let (mut stream, _) = listener.accept().await.expect("the limiter connects");
            calls(&mut stream, 2).await;
            assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
            assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
            call(&limiter, 3.0);
            calls(&mut stream, 1).await;
            stream
                .write_all(b"$1\r\n1\r\n$4\r\n-1.5\r\n$3\r\n1.5\r\n")
                .await
                .expect("the limiter reads");
            assert_eq!(counted(&limiter).await, (Outcome::Good, 1.5));
            // A connection that ends takes with it what may have been added.
            call(&limiter, 4.0);
            calls(&mut stream, 1).await;
            drop(stream);
            assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
            // Its successor serves on, also where the counter turns a call away.
            let (mut stream, _) = listener.accept().await.expect("the limiter connects again");
            call(&limiter, 5.0);
            call(&limiter, 6.0);
            calls(&mut stream, 2).await;
            stream
                .write_all(b"-BUSY\r\n$1\r\n6\r\n")
                .await
                .expect("the limiter reads");
            assert_eq!(counted(&limiter).await.0, Outcome::Rejected);
            assert_eq!(counted(&limiter).await, (Outcome::Good, 6.0));
        });
    }

    /// What was never on its way was not added, and is told so, in time.
    #[test]
    fn without_a_connection_nothing_is_added() {
        with_limiter(
            &[("127.0.0.1:7002", "127.77.0.21:7002")],
            |limiter| async move {
                start(limiter.counter());
                call(&limiter, 1.0);
                call(&limiter, 2.0);
                assert_eq!(counted(&limiter).await.0, Outcome::ConnectFailed);
                assert_eq!(counted(&limiter).await.0, Outcome::ConnectFailed);
                assert!(limiter
                    .counter()
                    .lines
                    .iter()
                    .all(|line| line.calls.borrow().is_empty()));
            },
        );
    }

    /// Calls written to a counter that has moved are waited for there, and told before those made after them.
    #[test]
    fn a_move_keeps_the_order_and_loses_no_call() {
        let changes = [
            ("127.0.0.1:7002", "127.77.0.22:7002"),
            (
                "\"counterTimeoutNs\": 30000000",
                "\"counterTimeoutNs\": 2000000000",
            ),
        ];
        with_limiter(&changes, |limiter| async move {
            let old = TcpListener::bind("127.77.0.22:7002")
                .await
                .expect("the address is free");
            let new = TcpListener::bind("127.77.0.22:7003")
                .await
                .expect("the address is free");
            call(&limiter, 1.0);
            let line = limiter
                .counter()
                .lines
                .iter()
                .find(|line| !line.calls.borrow().is_empty())
                .expect("a line");
            spawn(keep(limiter.counter().clone(), line.clone()));
            let (mut before, _) = old.accept().await.expect("the limiter connects");
            calls(&mut before, 1).await;
            limiter
                .reloader()
                .addresses()
                .send_modify(|held| held.counter = new.local_addr().ok());
            call(&limiter, 2.0);
            let (mut after, _) = new
                .accept()
                .await
                .expect("the limiter connects to the new address");
            calls(&mut after, 1).await;
            after
                .write_all(b"$1\r\n3\r\n")
                .await
                .expect("the limiter reads");
            tokio::time::sleep(limiter.limits().again).await;
            assert_eq!(
                limiter.engine().take_event(),
                None,
                "the first call has no answer yet"
            );
            before
                .write_all(b"$1\r\n1\r\n")
                .await
                .expect("the limiter reads on the old connection");
            assert_eq!(counted(&limiter).await, (Outcome::Good, 1.0));
            assert_eq!(counted(&limiter).await, (Outcome::Good, 3.0));
            // The old connection ends once nothing is awaited on it.
            assert_eq!(before.read(&mut [0]).await.expect("an end"), 0);
        });
    }

    /// Only a refusal that the counter words proves that nothing was added.
    #[test]
    fn what_tells_nothing_may_have_been_added() {
        with_limiter(&[], |limiter| async move {
            let read = |bytes: &str| understand(bytes.as_bytes(), limiter.limits());
            let whole = |bytes: &str| read(bytes).expect("sound").expect("whole").0;
            assert_eq!(whole("$4\r\n-1.5\r\n$1\r\n2\r\n"), (Outcome::Good, -1.5));
            assert_eq!(whole("-BUSY\r\n"), (Outcome::Rejected, 0.0));
            assert_eq!(whole("-ERR no such call\r\n"), (Outcome::Rejected, 0.0));
            for part in ["", "$", "$4\r\n-1", "-BU"] {
                assert!(read(part).expect("sound").is_none(), "{part:?}");
            }
            let long = "-".to_owned() + &"x".repeat(limiter.limits().counter_answer);
            for spoilt in [
                "*2\r\n",
                ":5\r\n",
                "+OK\r\n",
                "$-1\r\n",
                "$0\r\n\r\n",
                "$3\r\nNaN\r\n",
                "-BUSYBODY\r\n",
                &long,
            ] {
                assert!(read(spoilt).is_err(), "{spoilt:?}");
            }
        });
    }

    /// A connection that fell silent is left once others were answered while it was not; one that no other speaks
    /// against has its patience, as has one that was never answered.
    #[test]
    fn a_connection_that_others_outlast_is_left_early() {
        let changes = [
            ("127.0.0.1:7002", "127.77.0.24:7002"),
            (
                "\"counterTimeoutNs\": 30000000",
                "\"counterTimeoutNs\": 50000000",
            ),
        ];
        with_limiter(&changes, |limiter| async move {
            let listener = TcpListener::bind("127.77.0.24:7002")
                .await
                .expect("the address is free");
            call(&limiter, 1.0);
            let line = limiter
                .counter()
                .lines
                .iter()
                .find(|line| !line.calls.borrow().is_empty())
                .expect("a line");
            spawn(keep(limiter.counter().clone(), line.clone()));
            let (mut stream, _) = listener.accept().await.expect("the limiter connects");
            calls(&mut stream, 1).await;
            stream
                .write_all(b"$1\r\n1\r\n")
                .await
                .expect("the limiter reads");
            assert_eq!(counted(&limiter).await, (Outcome::Good, 1.0));
            // Nobody is answered: the counter may be at fault, and the connection is kept.
            call(&limiter, 1.0);
            calls(&mut stream, 1).await;
            assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
            let kept = timeout(4 * limiter.limits().counter_call.get(), listener.accept()).await;
            assert!(
                kept.is_err(),
                "no second connection while no other is answered"
            );
            // Another line's answer comes in: this one alone is at fault.
            line.answered.set(Some(Instant::now()));
            call(&limiter, 1.0);
            let began = Instant::now();
            let (mut stream, _) = listener.accept().await.expect("the limiter connects again");
            assert!(began.elapsed() < limiter.limits().counter_silence / 2);
            // Never answered: the new one has its whole patience, whoever else is answered.
            call(&limiter, 1.0);
            calls(&mut stream, 1).await;
            line.answered
                .set(Some(Instant::now() + limiter.limits().counter_silence));
            let kept = timeout(limiter.limits().counter_silence / 2, listener.accept()).await;
            assert!(
                kept.is_err(),
                "a counter that never answers is not asked for ever more connections"
            );
        });
    }

    /// A spoilt answer ends its connection at once: its call and those behind it are each told once, and the
    /// next call goes to a new connection without a pause.
    #[test]
    fn a_spoilt_answer_ends_the_connection_and_not_the_line() {
        let changes = [
            ("127.0.0.1:7002", "127.77.0.23:7002"),
            (
                "\"counterTimeoutNs\": 30000000",
                "\"counterTimeoutNs\": 1000000000",
            ),
        ];
        with_limiter(&changes, |limiter| async move {
            let listener = TcpListener::bind("127.77.0.23:7002")
                .await
                .expect("the address is free");
            (0..3).for_each(|_| call(&limiter, 1.0));
            let line = limiter
                .counter()
                .lines
                .iter()
                .find(|line| !line.calls.borrow().is_empty())
                .expect("a line");
            spawn(keep(limiter.counter().clone(), line.clone()));
            let (mut stream, _) = listener.accept().await.expect("the limiter connects");
            calls(&mut stream, 3).await;
            let began = Instant::now();
            stream
                .write_all(b"$1\r\n1\r\n*2\r\n")
                .await
                .expect("the limiter reads");
            assert_eq!(counted(&limiter).await, (Outcome::Good, 1.0));
            assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
            assert_eq!(counted(&limiter).await.0, Outcome::Timeout);
            assert!(
                began.elapsed() < limiter.limits().counter_call.get(),
                "told before their time was over"
            );
            call(&limiter, 4.0);
            let (mut stream, _) = listener.accept().await.expect("the limiter connects again");
            calls(&mut stream, 1).await;
            stream
                .write_all(b"$1\r\n7\r\n")
                .await
                .expect("the limiter reads");
            assert_eq!(counted(&limiter).await, (Outcome::Good, 7.0));
        });
    }
}
