//! The north side: clients' connections. Commands of one connection are handled at once, side by side; their
//! answers go out in the order in which they came.

pub mod close;

use self::close::Now;
use super::codec::{self, Command, Text};
use crate::api::{Class, CustomerId, Effect, RequestId, Settings};
use crate::net::config::Limits;
use crate::net::engine::{Answer, Frontend, Payload, Request};
use crate::net::frontend::FrontendContext;
use crate::net::hot_restart::listener_handover;
use crate::net::shutdown::Phase;
use crate::net::streaming_body::{Found, Pipe};
use crate::net::task::spawn;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::io;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// What a request may ask for, by the settings.
pub struct RequestCatalog {
    /// The classes and their numbers.
    classes: Vec<(u32, Class)>,
    /// The plans' names and their numbers.
    plans: Vec<(u32, String)>,
    /// How many limiters there are.
    limiters: u32,
    /// The most units that one request counts.
    most_units: f64,
}

impl RequestCatalog {
    /// The terms in the settings, of which these classes and plans are heard.
    pub fn of(settings: &Settings, (classes, plans): (Vec<u32>, Vec<u32>)) -> Self {
        let most = settings.largest_request;
        RequestCatalog {
            classes: classes
                .into_iter()
                .map(|i| (i, settings.classes[i as usize].clone()))
                .collect(),
            plans: plans
                .into_iter()
                .map(|i| (i, settings.plans[i as usize].name.clone()))
                .collect(),
            limiters: settings.limiter_count.max(1),
            most_units: if most > 0.0 { most } else { f64::MAX },
        }
    }

    /// The same terms, of which only these classes and plans are still heard.
    pub fn heard_again(&self, (classes, plans): (Vec<u32>, Vec<u32>)) -> Self {
        RequestCatalog {
            classes: self
                .classes
                .iter()
                .filter(|(i, _)| classes.contains(i))
                .cloned()
                .collect(),
            plans: self
                .plans
                .iter()
                .filter(|(i, _)| plans.contains(i))
                .cloned()
                .collect(),
            ..*self
        }
    }

    /// The number of a class by its name.
    #[cfg(test)]
    pub fn class(&self, name: &str) -> Option<u32> {
        self.classes
            .iter()
            .find(|(_, known)| known.name == name)
            .map(|(number, _)| *number)
    }
}

/// The north side: what it was given, what a request may ask for, and the connections that are idle.
pub struct Downstream {
    frontend_context: FrontendContext,
    terms: Rc<RefCell<RequestCatalog>>,
    idle: Idle,
}

impl Downstream {
    /// A north side without connections.
    pub fn new(frontend_context: FrontendContext, terms: Rc<RefCell<RequestCatalog>>) -> Self {
        Downstream {
            frontend_context,
            terms,
            idle: Idle::default(),
        }
    }
}

/// What a client's command asks for.
enum Asked {
    /// A request for a host.
    Request(Box<Request>),
    /// Something that is answered on the spot.
    Here(Vec<u8>),
}

fn hex(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text)
        .ok()
        .filter(|text| text.len() == 16 && !text.starts_with('+'))?;
    u64::from_str_radix(text, 16).ok()
}

/// Customers' numbers stay below this one.
const CUSTOMERS: u64 = 1 << 33;

/// Reads a whole command. `Err` says what is wrong with it. Guards against anything that no host could use, or
/// that would count in a customer's name what it never asked for, getting as far as the module: a fact that
/// every request has must be there and within its range.
fn understand(
    bytes: &[u8],
    command: &Command,
    terms: &RequestCatalog,
    welcome: bool,
) -> Result<Asked, &'static str> {
    let words: Option<Vec<Range<usize>>> = command.words.iter().cloned().collect();
    let words = words
        .filter(|words| !words.is_empty())
        .ok_or("a command is an array of bulk strings")?;
    let verb = &bytes[words[0].clone()];
    let is = |name: &str| verb.eq_ignore_ascii_case(name.as_bytes());
    let write = is("Q.DO");
    if !write && !is("Q.ASK") {
        return match (is("PING"), is("CLIENT") || is("SELECT")) {
            (true, _) if welcome => Ok(Asked::Here(b"+PONG\r\n".to_vec())),
            (true, _) => Err("draining"),
            (_, true) => Ok(Asked::Here(b"+OK\r\n".to_vec())),
            _ => Err("unknown command"),
        };
    }
    if !(4..=5).contains(&words.len()) {
        return Err("wrong number of words");
    }
    let customer = hex(&bytes[words[1].clone()]).filter(|customer| *customer < CUSTOMERS);
    let customer = customer.ok_or("the customer is no number of 16 hex digits below 2^33")?;
    let id = RequestId(hex(&bytes[words[2].clone()]).ok_or("the id is not 16 hex digits")?);
    let facts =
        std::str::from_utf8(&bytes[words[3].clone()]).map_err(|_| "the list is not text")?;
    let (mut class, mut plan, mut wait, mut keyed, mut flags) = (None, None, None, false, 0);
    let (mut units, mut spread, mut first) = (None, None, None);
    let mut at = words[3].start;
    for fact in facts.split(',') {
        let (name, value) = fact.split_once('=').ok_or("the list holds no name=value")?;
        let place = at + name.len() + 1..at + fact.len();
        at += fact.len() + 1;
        let whole = || value.parse::<u32>().ok();
        match name {
            "c" => class = terms.classes.iter().find(|(_, known)| known.name == value),
            "t" => plan = terms.plans.iter().find(|(_, known)| known == value),
            "d" => wait = whole().filter(|wait| *wait > 0).map(|wait| (wait, place)),
            "k" => keyed = !value.is_empty(),
            "units" => {
                units = value
                    .parse()
                    .ok()
                    .filter(|u: &f64| *u > 0.0 && *u <= terms.most_units);
            }
            "spread" => spread = whole().filter(|spread| (1..=terms.limiters).contains(spread)),
            "first" => first = whole().filter(|first| *first < terms.limiters),
            "r" if value == "1" => flags |= 2,
            _ => {}
        }
    }
    let (number, class) = class.ok_or("the list holds no c that is known")?;
    let (plan, _) = *plan.ok_or("the list holds no t that is known")?;
    let (wait, place) = wait.ok_or("the list holds no d that is a time")?;
    let units = units.ok_or("the list holds no units within their range")?;
    let spread = spread.ok_or("the list holds no spread within its range")?;
    let first = first.ok_or("the list holds no first within its range")?;
    match (write, class.effect) {
        (false, Effect::Retryable) | (true, Effect::Unsafe) => {}
        (true, Effect::Keyed) if keyed => {}
        (true, Effect::Keyed) => return Err("the list holds no k"),
        _ => return Err("this command does not serve this class"),
    }
    flags |= if write { 4 } else { 0 };
    // Guards against being held for ever: no client waits for longer than its class does.
    let wait = Duration::from_millis(wait.into());
    let wait = if class.deadline > 0 {
        wait.min(Duration::from_nanos(class.deadline))
    } else {
        wait
    };
    let class = *number;
    // The words alone, one behind another: their places move up by what stood between them.
    let mut payload = Payload {
        bytes: Vec::with_capacity(command.length),
        arguments: Vec::new(),
        wait: 0..0,
    };
    for (i, word) in words.iter().enumerate() {
        let start = payload.bytes.len();
        payload.bytes.extend_from_slice(&bytes[word.clone()]);
        payload.arguments.push(start..payload.bytes.len());
        if i == 3 {
            payload.wait = place.start - word.start + start..place.end - word.start + start;
        }
    }
    let customer = CustomerId(customer);
    Ok(Asked::Request(Box::new(Request {
        id,
        class,
        plan,
        customer,
        units,
        spread,
        first_limiter: first,
        flags,
        wait,
        payload,
    })))
}

/// Appends the answer as a client gets it.
fn write_answer(answer: &Answer, out: &mut Vec<u8>) {
    match answer {
        Answer::Served(value) => codec::write_bulk(value, out),
        Answer::Rejected {
            retry_after: Duration::ZERO,
        } => out.extend_from_slice(b"-BUSY\r\n"),
        Answer::Rejected { retry_after: wait } => {
            let _ = write!(
                Text(out),
                "-BUSY {}\r\n",
                wait.as_nanos().div_ceil(1_000_000)
            );
        }
        // Its head; the value follows through the pipe.
        Answer::Streaming(pipe) => codec::write_head('$', pipe.length(), out),
        Answer::Failed => out.extend_from_slice(b"-ERR failed\r\n"),
    }
}

/// A command's place among the answers of its connection.
enum Slot {
    Open(RequestId),
    Ready(Vec<u8>),
    /// A long value: its head, until that is on its way, and what follows.
    Long(Vec<u8>, Rc<Pipe>),
}

/// What a connection owes, in the order of its commands.
struct Owed {
    slots: RefCell<VecDeque<Slot>>,
    /// The place of the first of them.
    first: Cell<u64>,
    /// Told when the first has its answer.
    ready: Notify,
    /// Bytes of answers that the client has not taken.
    held: Rc<Cell<usize>>,
}

impl Frontend for Owed {
    fn answer(&self, place: u64, answer: Answer) {
        let mut bytes = Vec::new();
        write_answer(&answer, &mut bytes);
        self.put(
            place,
            match answer {
                Answer::Streaming(pipe) => Slot::Long(bytes, pipe),
                _ => Slot::Ready(bytes),
            },
        );
    }
}

impl Owed {
    fn put(&self, place: u64, answer: Slot) {
        let index = (place - self.first.get()) as usize;
        if let Some(slot) = self.slots.borrow_mut().get_mut(index) {
            if let Slot::Ready(bytes) = &answer {
                self.held.set(self.held.get() + bytes.len());
            }
            *slot = answer;
        }
        if index == 0 {
            self.ready.notify_one();
        }
    }

    /// Adds a place behind the others.
    fn push(&self, slot: Slot) -> u64 {
        let mut slots = self.slots.borrow_mut();
        if let Slot::Ready(bytes) = &slot {
            self.held.set(self.held.get() + bytes.len());
        }
        slots.push_back(slot);
        self.first.get() + slots.len() as u64 - 1
    }

    /// Moves the answers whose turn it is to `out`; how many bytes of that count as held. False where one of them
    /// will never be whole.
    fn collect(&self, out: &mut Vec<u8>) -> (usize, bool) {
        let (mut slots, mut counted) = (self.slots.borrow_mut(), 0);
        loop {
            match slots.front_mut() {
                Some(Slot::Ready(bytes)) => {
                    out.extend_from_slice(bytes);
                    counted += bytes.len();
                }
                Some(Slot::Long(head, pipe)) => {
                    out.append(head);
                    match pipe.take(out) {
                        Found::More => return (counted, true),
                        Found::Broken => return (counted, false),
                        Found::Whole => out.extend_from_slice(b"\r\n"),
                    }
                }
                _ => return (counted, true),
            }
            slots.pop_front();
            self.first.set(self.first.get() + 1);
        }
    }

    /// The long value whose turn it is.
    fn flowing(&self) -> Option<Rc<Pipe>> {
        match self.slots.borrow().front() {
            Some(Slot::Long(_, pipe)) => Some(pipe.clone()),
            _ => None,
        }
    }

    fn waiting(&self) -> usize {
        self.slots.borrow().len()
    }
}

/// Where a connection stands among the idle ones.
type Turn = (Instant, u64);

/// The connections that wait for a command, the one that is to make room first in front.
#[derive(Default)]
struct Idle {
    waiting: RefCell<BTreeMap<Turn, Rc<Notify>>>,
    serial: Cell<u64>,
}

impl Idle {
    /// Lets a connection wait since a moment; `leave` is told when it is to make room.
    fn enter(&self, since: Instant, leave: &Rc<Notify>) -> Turn {
        let turn = (since, self.serial.get());
        self.serial.set(turn.1 + 1);
        self.waiting.borrow_mut().insert(turn, leave.clone());
        turn
    }

    fn remove(&self, turn: Turn) {
        self.waiting.borrow_mut().remove(&turn);
    }

    /// Tells the first to make room; false where none waits.
    fn make_room(&self) -> bool {
        let first = self.waiting.borrow_mut().pop_first();
        first.inspect(|(_, leave)| leave.notify_one()).is_some()
    }
}

/// How far a connection is between two commands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pause {
    /// Not at all: it is owed something.
    Busy,
    /// Nothing of the next command has come.
    Empty,
    /// A part of it has.
    Half,
}

/// How long one connection has been in its present pause.
struct Rest {
    pause: Pause,
    since: Instant,
    /// It never asked for anything.
    stranger: bool,
    turn: Option<Turn>,
    leave: Rc<Notify>,
}

impl Rest {
    fn new() -> Self {
        let (pause, since, leave) = (Pause::Busy, Instant::now(), Rc::new(Notify::new()));
        Rest {
            pause,
            since,
            stranger: true,
            turn: None,
            leave,
        }
    }

    /// Keeps up with the connection; `stranger` until its first whole command.
    fn update(&mut self, north: &Downstream, pause: Pause, stranger: bool) {
        if pause == self.pause && stranger == self.stranger {
            return;
        }
        // A stranger's time runs from its start, whatever it sends.
        if !stranger {
            self.since = Instant::now();
        }
        (self.pause, self.stranger) = (pause, stranger);
        self.end(north);
        if pause != Pause::Busy {
            let ahead = if stranger {
                north
                    .frontend_context
                    .limits
                    .downstream
                    .unused_eviction_advance
            } else {
                Duration::ZERO
            };
            let since = self.since.checked_sub(ahead).unwrap_or(self.since);
            self.turn = Some(north.idle.enter(since, &self.leave));
        }
    }

    /// The connection no longer waits among the idle ones.
    fn end(&mut self, north: &Downstream) {
        if let Some(turn) = self.turn.take() {
            north.idle.remove(turn);
        }
    }

    /// Waits until the connection has paused for too long or is to make room for another. Guards against silent
    /// connections, commands that never end and clients that never come again holding the descriptors.
    async fn over(&self, limits: &Limits) {
        let most = match self.pause {
            Pause::Busy => return std::future::pending().await,
            Pause::Empty if !self.stranger => limits.downstream.idle_timeout,
            _ => limits.downstream.command_timeout,
        };
        tokio::select! {
            () = sleep_until(self.since + most) => {}
            () = self.leave.notified() => {}
        }
    }
}

/// Accepts connections until they close at the program's end.
pub async fn accept(north: &Rc<Downstream>, listener: TcpListener) {
    let mut end = north.frontend_context.shutdown.end();
    let mut last = None;
    loop {
        let taken = tokio::select! {
            biased;
            taken = listener.accept() => taken,
            _ = end.wait_for(|end| *end), if last.is_none() => {
                if north.frontend_context.shutdown.relieved() {
                    if let Err(e) = listener_handover::to_the_second(&listener) {
                        tracing::info!("connections still come to either process: {e}");
                    }
                }
                last = Some(Instant::now() + north.frontend_context.limits.hot_restart.listener_handover_grace);
                continue;
            }
            () = sleep_until(last.unwrap_or_else(Instant::now)), if last.is_some() => break,
        };
        match taken {
            Ok((stream, _)) => {
                // Guards against running out of descriptors: past the limit the longest idle connection makes
                // room, where there is none a further one is only told to back off, and far past it the program
                // waits for others to close.
                let most = north.frontend_context.limits.downstream_connection_share();
                let crowded = north.frontend_context.shutdown.connections() >= most
                    && !north.idle.make_room();
                welcome(north, stream, crowded);
                let mut count = north.frontend_context.shutdown.connection_changes();
                // Guards against waiting there while the end comes, with others left in the queue.
                tokio::select! {
                    _ = count.wait_for(|count| *count < most + most / 16) => {}
                    _ = end.wait_for(|end| *end), if last.is_none() => {}
                    () = sleep_until(last.unwrap_or_else(Instant::now)), if last.is_some() => {}
                }
            }
            Err(e) => {
                tracing::warn!("cannot accept: {e}");
                sleep(north.frontend_context.limits.reconnect_pause).await;
            }
        }
    }
    last_ones(north, listener);
}

fn welcome(north: &Rc<Downstream>, stream: TcpStream, crowded: bool) {
    north.frontend_context.shutdown.count(1);
    let task = north.clone();
    spawn(async move {
        let _ = stream.set_nodelay(true);
        serve(&task, stream, crowded).await;
        task.frontend_context.shutdown.count(-1);
    });
}

/// Takes what waits in the queue, and closes it. Guards against the connections there: a queue that is closed resets
/// all that nobody has accepted.
fn last_ones(north: &Rc<Downstream>, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let taken = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        match taken {
            Ok(stream) => welcome(north, stream, false),
            Err(e) => tracing::warn!("cannot take a connection: {e}"),
        }
    }
}

async fn serve(north: &Rc<Downstream>, mut stream: TcpStream, crowded: bool) {
    let held = north.frontend_context.buffered_bytes.clone();
    let owed = Rc::new(Owed {
        slots: RefCell::default(),
        first: Cell::default(),
        ready: Notify::new(),
        held: held.clone(),
    });
    let mut rest = Rest::new();
    let over = converse(north, &mut stream, &owed, &mut rest, crowded).await;
    rest.end(north);
    // A client that went away is owed nothing; what was ready and not taken is held no longer.
    let slots = std::mem::take(&mut *owed.slots.borrow_mut());
    held.set(held.get() - if let Over::Lost(lost) = over { lost } else { 0 });
    for slot in slots {
        match slot {
            Slot::Open(id) => north.frontend_context.handler.abandon_request(id),
            Slot::Ready(bytes) => held.set(held.get() - bytes.len()),
            Slot::Long(_, pipe) => pipe.leave(),
        }
    }
    // Guards against idle clients that hold their descriptors a little longer each while others wait for one: where there
    // is no room it closes at once. Could hurt behind malformed bytes, where a reset may take the last answer along.
    if over == Over::Ours
        && north.frontend_context.shutdown.connections()
            < north.frontend_context.limits.downstream_connection_share()
    {
        close::in_order(
            stream,
            north.frontend_context.limits.downstream.linger_timeout,
        )
        .await;
    }
}

/// How a connection came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    /// It is to be closed from here, with nothing of its answers unsent.
    Ours,
    /// Its client went away or takes nothing any more; so many bytes of answers are left unsent.
    Lost(usize),
}

/// Serves a connection to its end.
async fn converse(
    north: &Rc<Downstream>,
    stream: &mut TcpStream,
    owed: &Rc<Owed>,
    rest: &mut Rest,
    crowded: bool,
) -> Over {
    let limits = &north.frontend_context.limits;
    let (mut reader, writer) = stream.split();
    let (mut input, mut out, mut sent, mut sound) = (Vec::new(), Vec::new(), 0, true);
    // Of what is unsent, how much counts as held, and when the client last took some.
    let (mut counted, mut moved) = (0, Instant::now());
    let mut phase = north.frontend_context.shutdown.changes();
    // Guards against closing on a connection that came while clients are sent away, before it was heard.
    let fresh = *phase.borrow() >= Phase::Closing;
    loop {
        let mut done = 0;
        while sound && out.len() < limits.downstream.max_unsent_bytes {
            let waiting = owed.waiting();
            let problem = match codec::command(&input[done..], limits) {
                Ok(None) => break,
                Ok(Some(command)) if waiting < limits.downstream.max_queued_commands => {
                    take(
                        north,
                        owed,
                        &input[done..],
                        &command,
                        crowded || waiting >= limits.downstream.max_pipelined_requests,
                    );
                    done += command.length;
                    continue;
                }
                Ok(Some(_)) => "too many commands wait on this connection",
                Err(malformed) => malformed.0,
            };
            let mut text = Vec::new();
            let _ = write!(Text(&mut text), "-ERR {problem}\r\n");
            owed.push(Slot::Ready(text));
            sound = false;
        }
        codec::consume(&mut input, done, limits.codec.read_chunk_bytes);
        let (more, whole) = owed.collect(&mut out);
        counted += more;
        if sent < out.len() {
            match writer.try_write(&out[sent..]) {
                Ok(count) => (sent, moved) = (sent + count, Instant::now()),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Over::Lost(counted),
            }
        } else {
            moved = Instant::now();
        }
        if sent == out.len() && sent > 0 {
            owed.held.set(owed.held.get() - counted);
            codec::consume(&mut out, sent, limits.codec.read_chunk_bytes);
            (sent, counted) = (0, 0);
        }
        // The client can tell by the early end that a value is not whole.
        if !whole && out.is_empty() {
            return Over::Ours;
        }
        let flowing = owed.flowing().filter(|_| whole);
        // What follows malformed bytes cannot be read; what came before them is answered first. At the program's
        // end a connection closes between requests only.
        let between = out.is_empty() && owed.waiting() == 0;
        let closing = phase.borrow_and_update().ge(&Phase::Closing);
        // Guards against losing commands that came together on a connection past the limit: it closes once all
        // that was read of it is answered, and not before its first command.
        let leaving =
            (closing && (owed.first.get() > 0 || !fresh)) || crowded && owed.first.get() > 0;
        if between && !sound {
            return Over::Ours;
        }
        if between && leaving && input.is_empty() {
            match last_look(reader.as_ref(), &mut input) {
                Some(over) => return over,
                None => continue,
            }
        }
        rest.update(
            north,
            match (between, input.is_empty()) {
                (false, _) => Pause::Busy,
                (true, true) => Pause::Empty,
                (true, false) => Pause::Half,
            },
            rest.stranger && owed.first.get() == 0 && between,
        );
        let read = sound && out.len() < limits.downstream.max_unsent_bytes;
        tokio::select! {
            // What has come goes first: a connection is not closed on a command that is there to be read.
            biased;
            there = hear(&mut reader, &mut input, (read, sound), limits) => {
                if !there {
                    return Over::Lost(counted);
                }
            }
            _ = writer.writable(), if sent < out.len() => {}
            _ = owed.ready.notified() => {}
            () = wait_for(flowing.as_deref()), if out.is_empty() => {}
            () = sleep_until(moved + limits.downstream.write_stall_timeout), if sent < out.len() => return Over::Lost(counted),
            _ = phase.changed(), if !closing => {}
            () = rest.over(limits) => {
                if let Some(over) = last_look(reader.as_ref(), &mut input) {
                    return over;
                }
            }
        }
    }
}

/// Looks once more before a connection is closed between two requests: its end, unless more has come meanwhile.
fn last_look(stream: &TcpStream, input: &mut Vec<u8>) -> Option<Over> {
    let mut come = [0; 4096];
    match close::read_now(stream, &mut come) {
        Now::Bytes(count) => {
            input.extend_from_slice(&come[..count]);
            None
        }
        Now::Nothing => Some(Over::Ours),
        Now::End => Some(Over::Lost(0)),
    }
}

/// Waits until more has come; false once the client has gone. While nothing is to be read, what follows malformed bytes
/// is dropped, and what comes beyond the limits waits where it is. Guards against requests that are sent on long after
/// their client left.
async fn hear(
    reader: &mut ReadHalf<'_>,
    input: &mut Vec<u8>,
    (read, sound): (bool, bool),
    limits: &Limits,
) -> bool {
    if read {
        return codec::more(reader, input, limits.codec.read_chunk_bytes)
            .await
            .unwrap_or(false);
    }
    if !sound {
        let mut dropped = [0; 4096];
        while reader.read(&mut dropped).await.is_ok_and(|count| count > 0) {}
        return false;
    }
    // The end is told ahead of what has not been read.
    while !reader
        .ready(Interest::READABLE)
        .await
        .is_ok_and(|ready| ready.is_read_closed())
    {
        sleep(limits.downstream.liveness_check_interval).await;
    }
    false
}

/// Waits until there may be more of a value.
async fn wait_for(flowing: Option<&Pipe>) {
    match flowing {
        Some(pipe) => pipe.filled().await,
        None => std::future::pending().await,
    }
}

/// Takes a command in; past a limit a request is only told to back off. Guards against a client that goes unseen behind
/// commands that nobody reads.
fn take(north: &Rc<Downstream>, owed: &Rc<Owed>, bytes: &[u8], command: &Command, crowded: bool) {
    match understand(
        bytes,
        command,
        &north.terms.borrow(),
        north.frontend_context.shutdown.welcome(),
    ) {
        Ok(Asked::Request(request)) => {
            let place = owed.push(Slot::Open(request.id));
            if crowded {
                owed.answer(
                    place,
                    Answer::Rejected {
                        retry_after: north
                            .frontend_context
                            .limits
                            .requests
                            .capacity_retry_after
                            .get(),
                    },
                );
            } else {
                north
                    .frontend_context
                    .handler
                    .handle_request(owed.clone(), place, *request);
            }
        }
        Ok(Asked::Here(answer)) => drop(owed.push(Slot::Ready(answer))),
        Err(problem) => {
            let mut text = Vec::new();
            let _ = write!(Text(&mut text), "-ERR {problem}\r\n");
            owed.push(Slot::Ready(text));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::config;
    use crate::net::frontend::RequestHandler;
    use crate::net::shutdown::Shutdown;
    use quartzcleat_admin::Numbers;

    /// Nobody to hand requests to: what is read here never gets so far.
    struct Nowhere;

    impl RequestHandler for Nowhere {
        fn handle_request(&self, _: Rc<dyn Frontend>, _: u64, _: Request) {}
        fn abandon_request(&self, _: RequestId) {}
    }

    fn north(text: &str) -> Downstream {
        let config = config::parse(text, |_| None).expect("the configuration is sound");
        let numbers = Numbers::new(&config.settings);
        let terms = Rc::new(RefCell::new(RequestCatalog::of(
            &config.settings,
            numbers.heard(0),
        )));
        let limits = Rc::new(config.limits);
        let (shutdown, held) = (Rc::new(Shutdown::new(&limits)), Rc::default());
        Downstream::new(
            FrontendContext {
                handler: Rc::new(Nowhere),
                limits,
                shutdown,
                buffered_bytes: held,
            },
            terms,
        )
    }

    fn asked(
        north: &Downstream,
        verb: &str,
        customer: &str,
        id: &str,
        facts: &str,
    ) -> Result<Duration, &'static str> {
        let mut bytes = Vec::new();
        codec::write_command(&[verb, customer, id, facts].map(str::as_bytes), &mut bytes);
        let command = codec::command(&bytes, &north.frontend_context.limits)
            .expect("well-formed")
            .expect("whole");
        understand(&bytes, &command, &north.terms.borrow(), true).map(|asked| match asked {
            Asked::Request(request) => request.wait,
            Asked::Here(_) => panic!("{verb} is for a host"),
        })
    }

    /// Whatever no host could use is turned away; every form that the protocol has is let through.
    #[test]
    fn only_usable_requests_are_taken() {
        let text = include_str!("../../../../examples/toy.json")
            .replace("\"balancers\": 1", "\"balancers\": 3");
        let north = north(&text);
        let (one, id) = ("00000001ffffffff", "9b1f03aa5c7e2d41");
        let check = "c=bed-check,t=guide,d=900,units=6,spread=3,first=2";
        let hold = "c=bed-hold,t=operator,d=900,k=5c0f6e1a2b3d4c59,r=1,units=0.25,spread=1,first=0";
        let ms = Duration::from_millis;
        assert_eq!(asked(&north, "Q.ASK", one, id, check), Ok(ms(900)));
        assert_eq!(asked(&north, "Q.DO", one, id, hold), Ok(ms(900)));
        // Nobody waits for longer than the class.
        assert_eq!(
            asked(&north, "Q.DO", one, id, &hold.replace("900", "999999")),
            Ok(ms(4000))
        );
        for (verb, customer, id) in [
            ("Q.DO", one, id),
            ("Q.ASK", "0000000200000000", id),
            ("Q.ASK", "+000000000000007", id),
            ("Q.ASK", "", id),
            ("Q.ASK", one, ""),
            ("Q.ASK", one, "9b1f03aa5c7e2d4"),
        ] {
            assert!(
                asked(&north, verb, customer, id, check).is_err(),
                "{verb} {customer} {id}"
            );
        }
        assert!(
            asked(&north, "Q.ASK", one, id, hold).is_err(),
            "a keyed class is not safe to repeat"
        );
        assert!(asked(
            &north,
            "Q.DO",
            one,
            id,
            &hold.replace(",k=5c0f6e1a2b3d4c59", "")
        )
        .is_err());
        for (from, to) in [
            ("c=bed-check,", ""),
            ("bed-check", "bed-chec"),
            ("t=guide,", ""),
            ("guide", "guides"),
            ("d=900,", ""),
            ("900", "0"),
            ("900", "soon"),
            ("900", "-1"),
            ("units=6,", ""),
            ("units=6", "units=0"),
            ("units=6", "units=-1"),
            ("units=6", "units=6.5"),
            ("units=6", "units=1e300"),
            ("units=6", "units=NaN"),
            ("units=6", "units=inf"),
            ("spread=3,", ""),
            ("spread=3", "spread=0"),
            ("spread=3", "spread=4"),
            (",first=2", ""),
            ("first=2", "first=3"),
            ("first=2", "first=-1"),
            ("spread=3,", "spread,"),
        ] {
            assert!(check.contains(from));
            assert!(
                asked(&north, "Q.ASK", one, id, &check.replace(from, to)).is_err(),
                "{from} as {to}"
            );
        }
    }
}
