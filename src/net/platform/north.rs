//! The north side: clients' connections. Commands of one connection are handled at once, side by side; their
//! answers go out in the order in which they came.

use super::resp::{self, Command, Text};
use crate::api::{CustomerId, RequestId, Settings};
use crate::net::config::Limits;
use crate::net::core::{Answer, Front, Payload, Request};
use crate::net::shutdown::Phase;
use crate::net::stages::{book, take_in};
use crate::net::{spawn, Node};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::io;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// Names of classes and plans, by their numbers. The number past the last stands for a name that is not known.
pub struct Names {
    classes: Vec<String>,
    plans: Vec<String>,
}

impl Names {
    /// The names in the settings.
    pub fn of(settings: &Settings) -> Self {
        let classes = settings.classes.iter().map(|class| class.name.clone()).collect();
        Names { classes, plans: settings.plans.iter().map(|plan| plan.name.clone()).collect() }
    }
}

fn number(names: &[String], name: &str) -> u32 {
    names.iter().position(|known| known == name).unwrap_or(names.len()) as u32
}

/// What a client's command asks for.
enum Asked {
    /// A request for a host.
    Request(Box<Request>),
    /// Something that is answered on the spot.
    Here(Vec<u8>),
}

fn hex(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok().filter(|text| text.len() == 16 && !text.starts_with('+'))?;
    u64::from_str_radix(text, 16).ok()
}

/// Reads a whole command. `Err` says what is wrong with it.
fn understand(bytes: &[u8], command: &Command, names: &Names) -> Result<Asked, &'static str> {
    let words: Option<Vec<Range<usize>>> = command.words.iter().cloned().collect();
    let words = words.filter(|words| !words.is_empty()).ok_or("a command is an array of bulk strings")?;
    let verb = &bytes[words[0].clone()];
    let is = |name: &str| verb.eq_ignore_ascii_case(name.as_bytes());
    let write = is("Q.DO");
    if !write && !is("Q.ASK") {
        return match (is("PING"), is("CLIENT") || is("SELECT")) {
            (true, _) => Ok(Asked::Here(b"+PONG\r\n".to_vec())),
            (_, true) => Ok(Asked::Here(b"+OK\r\n".to_vec())),
            _ => Err("unknown command"),
        };
    }
    if words.len() < 4 {
        return Err("wrong number of words");
    }
    let customer = hex(&bytes[words[1].clone()]).ok_or("the customer is not 16 hex digits")?;
    let id = RequestId(hex(&bytes[words[2].clone()]).ok_or("the id is not 16 hex digits")?);
    let facts = std::str::from_utf8(&bytes[words[3].clone()]).map_err(|_| "the list is not text")?;
    let (mut class, mut plan, mut wait) = (None, names.plans.len() as u32, None);
    let (mut units, mut spread, mut first, mut flags) = (1.0, 1, 0, if write { 4 } else { 0 });
    let mut at = words[3].start;
    for fact in facts.split(',') {
        let (name, value) = fact.split_once('=').ok_or("the list holds no name=value")?;
        let place = at + name.len() + 1..at + fact.len();
        at += fact.len() + 1;
        let whole = || value.parse::<u32>().map_err(|_| "the list holds no number where one belongs");
        match name {
            "c" => class = Some(number(&names.classes, value)),
            "t" => plan = number(&names.plans, value),
            "d" => wait = Some((Duration::from_millis(whole()?.into()), place)),
            "units" => {
                units = value.parse().ok().filter(|u: &f64| u.is_finite()).ok_or("units is no number")?
            }
            "spread" => spread = whole()?,
            "first" => first = whole()?,
            "r" if value == "1" => flags |= 2,
            _ => {}
        }
    }
    let (wait, place) = wait.ok_or("the list holds no d")?;
    let class = class.ok_or("the list holds no c")?;
    // The words alone, one behind another: their places move up by what stood between them.
    let mut payload = Payload { bytes: Vec::with_capacity(command.length), words: Vec::new(), wait: 0..0 };
    for (i, word) in words.iter().enumerate() {
        let start = payload.bytes.len();
        payload.bytes.extend_from_slice(&bytes[word.clone()]);
        payload.words.push(start..payload.bytes.len());
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
        first,
        flags,
        wait,
        payload,
    })))
}

/// Appends the answer as a client gets it.
fn write_answer(answer: &Answer, out: &mut Vec<u8>) {
    match answer {
        Answer::Served(value) => resp::write_bulk(value, out),
        Answer::BackOff(Duration::ZERO) => out.extend_from_slice(b"-BUSY\r\n"),
        Answer::BackOff(wait) => {
            let _ = write!(Text(out), "-BUSY {}\r\n", wait.as_nanos().div_ceil(1_000_000));
        }
        Answer::Failed => out.extend_from_slice(b"-ERR failed\r\n"),
    }
}

/// A command's place among the answers of its connection.
enum Slot {
    Open(RequestId),
    Ready(Vec<u8>),
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

impl Front for Owed {
    fn answer(&self, place: u64, answer: Answer) {
        let mut bytes = Vec::new();
        write_answer(&answer, &mut bytes);
        self.put(place, bytes);
    }
}

impl Owed {
    fn put(&self, place: u64, bytes: Vec<u8>) {
        let index = (place - self.first.get()) as usize;
        if let Some(slot) = self.slots.borrow_mut().get_mut(index) {
            self.held.set(self.held.get() + bytes.len());
            *slot = Slot::Ready(bytes);
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

    /// Moves the answers whose turn it is to `out`.
    fn collect(&self, out: &mut Vec<u8>) {
        let mut slots = self.slots.borrow_mut();
        while let Some(Slot::Ready(bytes)) = slots.front() {
            out.extend_from_slice(bytes);
            slots.pop_front();
            self.first.set(self.first.get() + 1);
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
pub struct Idle {
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
        Rest { pause, since, stranger: true, turn: None, leave }
    }

    /// Keeps up with the connection; `stranger` until its first whole command.
    fn update(&mut self, node: &Node, pause: Pause, stranger: bool) {
        if pause == self.pause && stranger == self.stranger {
            return;
        }
        // A stranger's time runs from its start, whatever it sends.
        if !stranger {
            self.since = Instant::now();
        }
        (self.pause, self.stranger) = (pause, stranger);
        self.end(node);
        if pause != Pause::Busy {
            let ahead = if stranger { node.limits.north_stranger } else { Duration::ZERO };
            let since = self.since.checked_sub(ahead).unwrap_or(self.since);
            self.turn = Some(node.idle.enter(since, &self.leave));
        }
    }

    /// The connection no longer waits among the idle ones.
    fn end(&mut self, node: &Node) {
        if let Some(turn) = self.turn.take() {
            node.idle.remove(turn);
        }
    }

    /// Waits until the connection has paused for too long or is to make room for another. Guards against silent
    /// connections, commands that never end and clients that never come again holding the descriptors.
    async fn over(&self, limits: &Limits) {
        let most = match self.pause {
            Pause::Busy => return std::future::pending().await,
            Pause::Empty if !self.stranger => limits.north_idle,
            _ => limits.north_command,
        };
        tokio::select! {
            () = sleep_until(self.since + most) => {}
            () = self.leave.notified() => {}
        }
    }
}

/// Accepts connections until they close at the program's end.
pub async fn accept(node: &Rc<Node>, listener: TcpListener) {
    let mut phase = node.shutdown.changes();
    loop {
        let taken = tokio::select! {
            taken = listener.accept() => taken,
            _ = phase.wait_for(|phase| *phase >= Phase::Closing) => return,
        };
        match taken {
            Ok((stream, _)) => {
                // Guards against running out of descriptors: past the limit the longest idle connection makes
                // room, where there is none a further one is only told to back off, and far past it the program
                // waits for others to close.
                let most = node.limits.north_connections;
                let crowded = node.shutdown.connections() >= most && !node.idle.make_room();
                node.shutdown.count(1);
                let task = node.clone();
                spawn(async move {
                    let _ = stream.set_nodelay(true);
                    serve(&task, stream, crowded).await;
                    task.shutdown.count(-1);
                });
                let mut count = node.shutdown.connection_changes();
                let _ = count.wait_for(|count| *count < most + most / 16).await;
            }
            Err(e) => {
                eprintln!("quartzcleat: cannot accept: {e}");
                sleep(node.limits.again).await;
            }
        }
    }
}

async fn serve(node: &Rc<Node>, mut stream: TcpStream, crowded: bool) {
    let held = node.core.borrow().held();
    let owed = Rc::new(Owed {
        slots: RefCell::default(),
        first: Cell::default(),
        ready: Notify::new(),
        held: held.clone(),
    });
    let mut rest = Rest::new();
    let lost = converse(node, &mut stream, &owed, &mut rest, crowded).await;
    rest.end(node);
    // A client that went away is owed nothing; what was ready and not taken is held no longer.
    drop(stream);
    let slots = std::mem::take(&mut *owed.slots.borrow_mut());
    held.set(held.get() - lost);
    for slot in slots {
        match slot {
            Slot::Open(id) => book::abandon(node, id),
            Slot::Ready(bytes) => held.set(held.get() - bytes.len()),
        }
    }
}

/// Serves a connection to its end; returns how many bytes of answers were left unsent.
async fn converse(
    node: &Rc<Node>, stream: &mut TcpStream, owed: &Rc<Owed>, rest: &mut Rest, crowded: bool,
) -> usize {
    let limits = &node.limits;
    let (mut reader, writer) = stream.split();
    let (mut input, mut out, mut sent, mut sound) = (Vec::new(), Vec::new(), 0, true);
    let mut phase = node.shutdown.changes();
    loop {
        let mut done = 0;
        while sound && owed.waiting() < limits.north_pipeline && out.len() < limits.north_unsent {
            match resp::command(&input[done..], limits) {
                Ok(None) => break,
                Ok(Some(command)) => {
                    take(node, owed, &input[done..], &command, crowded);
                    done += command.length;
                }
                Err(malformed) => {
                    let mut text = Vec::new();
                    let _ = write!(Text(&mut text), "-ERR {}\r\n", malformed.0);
                    owed.push(Slot::Ready(text));
                    sound = false;
                }
            }
        }
        resp::consume(&mut input, done, limits.read_bytes);
        owed.collect(&mut out);
        if sent < out.len() {
            match writer.try_write(&out[sent..]) {
                Ok(count) => sent += count,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return out.len(),
            }
        }
        if sent == out.len() && sent > 0 {
            owed.held.set(owed.held.get() - sent);
            resp::consume(&mut out, sent, limits.read_bytes);
            sent = 0;
        }
        // What follows malformed bytes cannot be read; what came before them is answered first. At the program's
        // end a connection closes between requests only.
        let between = out.is_empty() && owed.waiting() == 0;
        let closing = phase.borrow_and_update().ge(&Phase::Closing);
        // Guards against losing commands that came together on a connection past the limit: it closes once all
        // that was read of it is answered, and not before its first command.
        let leaving = closing || crowded && owed.first.get() > 0;
        if between && (!sound || leaving && input.is_empty()) {
            return 0;
        }
        rest.update(
            node,
            match (between, input.is_empty()) {
                (false, _) => Pause::Busy,
                (true, true) => Pause::Empty,
                (true, false) => Pause::Half,
            },
            rest.stranger && owed.first.get() == 0 && between,
        );
        let read = sound && owed.waiting() < limits.north_pipeline && out.len() < limits.north_unsent;
        tokio::select! {
            // What has come goes first: a connection is not closed on a command that is there to be read.
            biased;
            more = resp::more(&mut reader, &mut input, limits.read_bytes), if read => {
                if !more.unwrap_or(false) {
                    return out.len();
                }
            }
            _ = writer.writable(), if sent < out.len() => {}
            _ = owed.ready.notified() => {}
            _ = phase.changed(), if !closing => {}
            () = rest.over(limits) => return 0,
        }
    }
}

fn take(node: &Rc<Node>, owed: &Rc<Owed>, bytes: &[u8], command: &Command, crowded: bool) {
    match understand(bytes, command, &node.names) {
        Ok(Asked::Request(request)) => {
            let place = owed.push(Slot::Open(request.id));
            if crowded {
                owed.answer(place, Answer::BackOff(node.limits.back_off));
            } else {
                take_in::take_in(node, owed.clone(), place, *request);
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
