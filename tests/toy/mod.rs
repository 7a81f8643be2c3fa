//! A toy platform for tests of one limiter: discovery, the counter and hosts on loopback.
//!
//! A host answers a request with its id. Words in the body change that: `error` gets the error line, `cut` ends
//! the connection, `silent` gets nothing, `long` a long value, `short` and `over` one that is not as long as it says.

use quartzcleat::net::config::Limits;
use quartzcleat::net::resp::codec;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

/// The length of a long value.
pub const LONG: usize = 4 << 20;

/// What the toy listens on.
pub struct Toy {
    pub discovery: TcpListener,
    pub counter: TcpListener,
    pub hosts: Vec<TcpListener>,
    pub limits: Limits,
}

/// Accepts connections for good and serves each by itself.
async fn accept<F: Future<Output = io::Result<()>> + 'static>(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> F,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        drop(spawn_local(serve(stream)));
    }
}

/// Answers each command of a connection; `None` ends it.
async fn commands(
    mut stream: TcpStream,
    limits: Limits,
    answer: impl Fn(Vec<&str>) -> Option<Vec<u8>>,
) -> io::Result<()> {
    let mut input = Vec::new();
    loop {
        while let Some(command) =
            codec::parse_command(&input, &limits).map_err(|e| io::Error::other(e.0))?
        {
            let texts = command
                .arguments
                .iter()
                .flatten()
                .map(|w| std::str::from_utf8(&input[w.clone()]));
            let words = texts.collect::<Result<_, _>>().map_err(io::Error::other)?;
            let Some(bytes) = answer(words) else {
                return Ok(());
            };
            stream.write_all(&bytes).await?;
            input.drain(..command.length);
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

fn host(words: Vec<&str>) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    match words.as_slice() {
        [_, _, _, _, "cut"] => return None,
        [_, _, _, _, "silent"] => {}
        // A long value, whole or spoilt: shorter than it says, or longer.
        [_, _, id, _, body @ ("long" | "short" | "over")] => {
            let told = match *body {
                "short" => LONG - 9,
                "over" => LONG - 99,
                _ => LONG,
            };
            codec::write_head('*', 3, &mut out);
            codec::write_head('$', told, &mut out);
            out.extend(
                id.bytes()
                    .cycle()
                    .take(if *body == "short" { LONG / 2 } else { LONG }),
            );
            out.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
        }
        [_, _, _, _, "error"] => out.extend_from_slice(b"-ERR failed\r\n"),
        ["Q.ASK" | "Q.DO", _, id, ..] => {
            codec::write_head('*', 3, &mut out);
            codec::write_bulk(id.as_bytes(), &mut out);
            out.extend_from_slice(b"$-1\r\n$-1\r\n");
        }
        _ => out.extend_from_slice(b"-SYNTAX\r\n"),
    }
    Some(out)
}

/// Adds to a named number; a toy never forgets.
fn add(totals: &RefCell<HashMap<String, f64>>, words: Vec<&str>) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    match words.as_slice() {
        ["ADDGET", name, amount, _] => {
            let mut totals = totals.borrow_mut();
            let total = totals.entry((*name).to_owned()).or_default();
            *total += amount.parse::<f64>().ok()?;
            codec::write_bulk(total.to_string().as_bytes(), &mut out);
        }
        _ => out.extend_from_slice(b"-ERR no such call\r\n"),
    }
    Some(out)
}

/// Tells the whole list at once, and a watch nothing.
async fn list(mut stream: TcpStream, list: Rc<String>) -> io::Result<()> {
    let mut input = Vec::new();
    loop {
        while let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            if input.starts_with(b"GET /discovery/hosts ") {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                stream.write_all((head + &list).as_bytes()).await?;
            }
            input.drain(..end + 4);
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Ok(());
        }
    }
}

impl Toy {
    /// Serves for good.
    pub async fn serve(self) -> io::Result<()> {
        let entry = |(i, host): (usize, &TcpListener)| {
            let address = host.local_addr()?;
            Ok(format!(
                r#"{{"instanceId":"toy-{i}","hostPort":"{address}","zone":"a","machineType":"toy","cell":0,"#
            ) + r#""lifecycle":"SERVING","weight":1.0,"startedAtMs":0}"#)
        };
        let entries: io::Result<Vec<_>> = self.hosts.iter().enumerate().map(entry).collect();
        let instances = Rc::new(format!(
            r#"{{"generation":1,"reset":true,"instances":[{}]}}"#,
            entries?.join(",")
        ));
        let (totals, limits) = (Rc::new(RefCell::new(HashMap::new())), self.limits);
        for listener in self.hosts {
            let limits = limits.clone();
            spawn_local(accept(listener, move |stream| {
                commands(stream, limits.clone(), host)
            }));
        }
        spawn_local(accept(self.discovery, move |stream| {
            list(stream, instances.clone())
        }));
        let counter = move |stream| {
            let totals = totals.clone();
            commands(stream, limits.clone(), move |words| add(&totals, words))
        };
        accept(self.counter, counter).await;
        Ok(())
    }
}

/// Runs a part of the toy, or all of it, on this thread.
pub fn run(task: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, task)
}
