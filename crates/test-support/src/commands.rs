//! The commands that a client sends to a limiter, and the calls of its admin interface.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an answer is waited for.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// A command that every limiter answers at once.
pub const PING: &str = "*1\r\n$4\r\nPING\r\n";
/// The facts of a request of the idempotent class, by a customer with a large quota.
pub const CHECK_FACTS: &str = "c=bed-check,t=operator,d=900,units=1,spread=1,first=0";
/// The facts of a request of the class with idempotency keys.
pub const HOLD_FACTS: &str =
    "c=bed-hold,t=operator,d=900,k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0";
/// The facts of a request that uses hardly any of its quota.
pub const CHEAP_FACTS: &str = "c=bed-check,t=operator,d=900,units=0.01,spread=1,first=0";
/// The body of an admin request on the only host of the toy platform.
pub const TOY_HOST: &str = r#"{"host":"toy-0"}"#;
/// The customer of all requests.
const CUSTOMER: u64 = 77;

/// A command with these arguments.
#[must_use]
pub fn command(arguments: &[&str]) -> String {
    let bulk_strings: Vec<String> = arguments
        .iter()
        .map(|argument| format!("${}\r\n{argument}\r\n", argument.len()))
        .collect();
    format!("*{}\r\n{}", arguments.len(), bulk_strings.concat())
}

/// A request; without an argument for its body where that is empty.
#[must_use]
pub fn request(verb: &str, id: u64, facts: &str, body: &str) -> String {
    let customer = format!("{CUSTOMER:016x}");
    let id = format!("{id:016x}");
    let mut arguments = vec![verb, &customer, &id, facts];
    if !body.is_empty() {
        arguments.push(body);
    }
    command(&arguments)
}

/// The answer to a request that a host of the toy platform served.
#[must_use]
pub fn served(id: u64) -> String {
    format!("$16\r\n{id:016x}\r\n")
}

/// Sends commands in one write, and reads so many answers, or fewer where the connection ends.
///
/// # Panics
/// Panics where the connection fails.
pub fn send(stream: &mut TcpStream, commands: &str, answer_count: usize) -> String {
    stream
        .write_all(commands.as_bytes())
        .expect("the limiter reads");
    let mut answers = String::new();
    let mut reader = BufReader::with_capacity(1, stream);
    for _ in 0..answer_count {
        let start = answers.len();
        reader.read_line(&mut answers).expect("the limiter answers");
        if answers[start..].starts_with('$') {
            reader.read_line(&mut answers).expect("the value is whole");
        }
    }
    answers
}

/// Whether the other end has not closed a connection, as a client looks before it uses one again.
///
/// # Panics
/// Panics where the socket's mode cannot be changed.
#[must_use]
pub fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("it is set");
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("it is set");
    seen.is_err()
}

/// Calls an admin interface; the status of its response.
///
/// # Panics
/// Panics where the connection fails, or the response has no status.
#[must_use]
pub fn call_admin(admin: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    let length = body.len();
    let response = exchange_with_admin(
        admin,
        &format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"),
    );
    response
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .expect("a status")
}

/// Sends bytes to an admin interface; all that it sends until the connection ends.
///
/// # Panics
/// Panics where the connection fails.
#[must_use]
pub fn exchange_with_admin(admin: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(admin).expect("the admin interface listens");
    stream
        .set_read_timeout(Some(ANSWER_TIMEOUT))
        .expect("a time-out is set");
    stream
        .write_all(bytes.as_bytes())
        .expect("the admin interface reads");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("the admin interface answers");
    response
}
