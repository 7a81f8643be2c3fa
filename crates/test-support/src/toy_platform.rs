//! A toy platform for tests of one limiter: discovery, the counter and hosts on loopback.
//!
//! A host answers a request with its id. Some bodies change that: `error` gets the error line, `cut` ends the connection,
//! `silent` gets no answer, `long` a long value, `short` and `over` one that is shorter or longer than its head says, `half`
//! half of one and then the end of the connection, `stalled` half of one and then nothing, `slow` a long value in pieces over
//! [`SLOW_VALUE_TIME`].

use quartzcleat::net::config::Limits;
use quartzcleat::net::resp::codec;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// The length of a long value, in bytes.
pub const LONG_VALUE_BYTES: usize = 4 << 20;
/// The length that the head of a `short` value states; half a long value follows.
const SHORT_ANNOUNCED_BYTES: usize = LONG_VALUE_BYTES - 9;
/// The length that the head of a value that is `over` states; a long value follows.
const OVER_ANNOUNCED_BYTES: usize = LONG_VALUE_BYTES - 99;

/// The length of a piece of a slow value, in bytes.
const PIECE_BYTES: usize = 128 << 10;
/// The pause behind each piece of a slow value.
const PIECE_PAUSE: Duration = Duration::from_millis(200);
/// The time that a slow value takes at least.
pub const SLOW_VALUE_TIME: Duration = Duration::from_millis(6_400);

/// The listeners of the platform.
pub struct ToyPlatform {
    /// Discovery's.
    pub discovery: TcpListener,
    /// The counter's.
    pub counter: TcpListener,
    /// The hosts'.
    pub hosts: Vec<TcpListener>,
    /// The limits by which commands are parsed.
    pub limits: Limits,
}

impl ToyPlatform {
    /// Serves until the runtime ends.
    ///
    /// # Errors
    /// A host's listener has no address.
    pub async fn serve(self) -> io::Result<()> {
        let list = Rc::new(endpoint_list(&self.hosts)?);
        for listener in self.hosts {
            let limits = self.limits.clone();
            spawn_local(accept(listener, move |stream| {
                serve_commands(stream, limits.clone(), answer_as_host)
            }));
        }
        spawn_local(accept(self.discovery, move |stream| {
            serve_list(stream, list.clone())
        }));
        let totals = Rc::new(RefCell::new(HashMap::new()));
        let limits = self.limits;
        accept(self.counter, move |stream| {
            let totals = totals.clone();
            serve_commands(stream, limits.clone(), move |arguments| {
                add_to_total(&totals, arguments)
            })
        })
        .await;
        Ok(())
    }
}

/// Runs a part of the platform, or all of it, on this thread.
///
/// # Errors
/// The runtime cannot be built, or the task fails.
pub fn run(task: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, task)
}

fn endpoint_list(hosts: &[TcpListener]) -> io::Result<String> {
    let instances: io::Result<Vec<String>> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| Ok(endpoint(number, host.local_addr()?)))
        .collect();
    let instances = instances?.join(",");
    Ok(format!(
        r#"{{"generation":1,"reset":true,"instances":[{instances}]}}"#
    ))
}

fn endpoint(number: usize, address: std::net::SocketAddr) -> String {
    let place = format!(r#""instanceId":"toy-{number}","hostPort":"{address}","zone":"a""#);
    let state =
        r#""machineType":"toy","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0"#;
    format!("{{{place},{state}}}")
}

/// Accepts connections until the listener fails, and serves each of them in a task of its own.
async fn accept<Serving: Future<Output = io::Result<()>> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> Serving,
) {
    while let Ok((stream, _)) = listener.accept().await {
        // A connection that refuses the option still works, only slower.
        let _ = stream.set_nodelay(true);
        drop(spawn_local(serve(stream)));
    }
}

/// Answers each command of a connection; `None` ends the connection without an answer.
async fn serve_commands(
    mut stream: TcpStream,
    limits: Limits,
    answer: impl Fn(&[&str]) -> Option<ToyAnswer>,
) -> io::Result<()> {
    let mut input = Vec::new();
    loop {
        while let Some(command) =
            codec::parse_command(&input, &limits).map_err(|error| io::Error::other(error.0))?
        {
            let arguments: Result<Vec<&str>, _> = command
                .arguments
                .iter()
                .flatten()
                .map(|argument| std::str::from_utf8(&input[argument.clone()]))
                .collect();
            let arguments = arguments.map_err(io::Error::other)?;
            let Some(answer) = answer(&arguments) else {
                return Ok(());
            };
            write_answer(&mut stream, &answer).await?;
            if answer.delivery == Delivery::ThenClose {
                return Ok(());
            }
            input.drain(..command.length);
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

async fn write_answer(stream: &mut TcpStream, answer: &ToyAnswer) -> io::Result<()> {
    if answer.delivery != Delivery::Slow {
        return stream.write_all(&answer.bytes).await;
    }
    for piece in answer.bytes.chunks(PIECE_BYTES) {
        stream.write_all(piece).await?;
        sleep(PIECE_PAUSE).await;
    }
    Ok(())
}

/// How an answer is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// At once.
    AtOnce,
    /// At once, and then the connection ends.
    ThenClose,
    /// In pieces with pauses between them.
    Slow,
}

/// The answer to a command.
struct ToyAnswer {
    bytes: Vec<u8>,
    delivery: Delivery,
}

impl From<Vec<u8>> for ToyAnswer {
    fn from(bytes: Vec<u8>) -> Self {
        ToyAnswer {
            bytes,
            delivery: Delivery::AtOnce,
        }
    }
}

fn answer_as_host(arguments: &[&str]) -> Option<ToyAnswer> {
    let mut output = Vec::new();
    match arguments {
        [_, _, _, _, "cut"] => return None,
        [_, _, _, _, "silent"] => {}
        [_, _, id, _, body @ ("long" | "short" | "over")] => {
            write_long_value(id, body, &mut output);
        }
        [_, _, id, _, body @ ("half" | "stalled" | "slow")] => {
            write_long_value(id, "long", &mut output);
            return Some(interrupted_or_slow(body, output));
        }
        [_, _, _, _, "error"] => output.extend_from_slice(b"-ERR failed\r\n"),
        ["Q.ASK" | "Q.DO", _, id, ..] => {
            codec::write_head('*', 3, &mut output);
            codec::write_bulk(id.as_bytes(), &mut output);
            output.extend_from_slice(b"$-1\r\n$-1\r\n");
        }
        _ => output.extend_from_slice(b"-SYNTAX\r\n"),
    }
    Some(output.into())
}

/// An answer with a long value of which only a half is sent, or which is sent slowly.
fn interrupted_or_slow(body: &str, mut bytes: Vec<u8>) -> ToyAnswer {
    if body != "slow" {
        bytes.truncate(LONG_VALUE_BYTES / 2);
    }
    let delivery = match body {
        "half" => Delivery::ThenClose,
        "slow" => Delivery::Slow,
        _ => Delivery::AtOnce,
    };
    ToyAnswer { bytes, delivery }
}

/// A long value as it should be, or shorter or longer than its head says.
fn write_long_value(id: &str, body: &str, output: &mut Vec<u8>) {
    let announced = match body {
        "short" => SHORT_ANNOUNCED_BYTES,
        "over" => OVER_ANNOUNCED_BYTES,
        _ => LONG_VALUE_BYTES,
    };
    let length = if body == "short" {
        LONG_VALUE_BYTES / 2
    } else {
        LONG_VALUE_BYTES
    };
    codec::write_head('*', 3, output);
    codec::write_head('$', announced, output);
    output.extend(id.bytes().cycle().take(length));
    output.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
}

/// Adds to a named total, which never expires.
fn add_to_total(totals: &RefCell<HashMap<String, f64>>, arguments: &[&str]) -> Option<ToyAnswer> {
    let mut output = Vec::new();
    match arguments {
        ["ADDGET", name, amount, _] => {
            let mut totals = totals.borrow_mut();
            let total = totals.entry((*name).to_owned()).or_default();
            *total += amount.parse::<f64>().ok()?;
            codec::write_bulk(total.to_string().as_bytes(), &mut output);
        }
        _ => output.extend_from_slice(b"-ERR no such call\r\n"),
    }
    Some(output.into())
}

/// Answers calls for the full list at once, and calls for changes never.
async fn serve_list(mut stream: TcpStream, list: Rc<String>) -> io::Result<()> {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let mut input = Vec::new();
    loop {
        while let Some(end) = input
            .windows(HEAD_END.len())
            .position(|bytes| bytes == HEAD_END)
        {
            if input.starts_with(b"GET /discovery/hosts ") {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                stream.write_all((head + &list).as_bytes()).await?;
            }
            input.drain(..end + HEAD_END.len());
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}
