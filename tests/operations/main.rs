//! What on-call staff order of a running limiter: maintenance, draining, a new version; and long values.

#[path = "../process/mod.rs"]
mod process;
#[path = "../toy/mod.rs"]
mod toy;

mod admin;
mod draining;
mod hot_restart;
mod long_values;

use process::{ask, request, CHECK};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const PING: &str = "*1\r\n$4\r\nPING\r\n";
const TOY: &str = "{\"host\":\"toy-0\"}";

/// Whether the other end has not closed a connection, as a client looks before it uses one again.
fn open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("it is set");
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("it is set");
    seen.is_err()
}

/// A server that is back counts as cold, so not every request is given to it; the first ones soon are.
fn wait_until_served_again(limiter: &process::Limiter) {
    let began = Instant::now();
    let few = CHECK.replace("units=1", "units=0.01");
    let mut ids = 100..;
    while !ask(
        &mut limiter.connect(),
        &request("Q.ASK", ids.next().unwrap_or(0), &few, ""),
        1,
    )
    .starts_with('$')
    {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "not used after {:?}",
            began.elapsed()
        );
    }
}
