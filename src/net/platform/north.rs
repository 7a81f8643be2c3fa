//! The north side: clients' connections. Commands of one connection are handled at once, side by side; their
//! answers go out in the order in which they came.

use super::resp::{self, Command, Text};
use crate::api::{CustomerId, RequestId, Settings};
use crate::net::core::{Answer, Front, Payload, Request};
use crate::net::shutdown::Phase;
use crate::net::stages::{book, take_in};
use crate::net::{spawn, Node};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::io;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::sleep;

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
                // Guards against running out of descriptors: past the limit a connection is only told to back
                // off, and far past it the program waits for others to close.
                let most = node.limits.north_connections;
                let crowded = node.shutdown.connections() >= most;
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
    let lost = converse(node, &mut stream, &owed, crowded).await;
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
async fn converse(node: &Rc<Node>, stream: &mut TcpStream, owed: &Rc<Owed>, crowded: bool) -> usize {
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
        let read = sound && owed.waiting() < limits.north_pipeline && out.len() < limits.north_unsent;
        tokio::select! {
            more = resp::more(&mut reader, &mut input, limits.read_bytes), if read => {
                if !more.unwrap_or(false) {
                    return out.len();
                }
            }
            _ = writer.writable(), if sent < out.len() => {}
            _ = owed.ready.notified() => {}
            _ = phase.changed(), if !closing => {}
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
