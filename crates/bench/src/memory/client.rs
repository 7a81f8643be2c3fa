//! A client that sends one request after another on one connection.

use super::{Load, Speed};
use quartzcleat_test_support::commands::request;
use quartzcleat_test_support::limiter::Limiter;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time over which the clients connect.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Time that a request takes: to be written slowly, or to be thought of.
const WRITE_TIME: Duration = Duration::from_millis(1_900);
/// Pause after an answer.
const PAUSE: Duration = Duration::from_millis(400);
/// Number of pieces of a request that is written slowly.
const PIECES: usize = 20;
const BYTES_PER_KIB: usize = 1 << 10;
/// Parameters of a request that uses hardly any of its quota.
const PARAMETERS: &str = "c=bed-check,t=operator,d=4000,units=0.01,spread=1,first=0";
/// Length of the line end after a value.
const LINE_END_BYTES: usize = 2;

/// Numbers of answers by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Answers {
    pub(super) sent: u64,
    pub(super) served: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
    /// Connections that ended without an answer.
    pub(super) closed: u64,
}

impl Answers {
    pub(super) fn plus(self, other: Self) -> Self {
        Answers {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
            failed: self.failed + other.failed,
            closed: self.closed + other.closed,
        }
    }

    fn count(&mut self, line: &str) {
        match line.as_bytes().first() {
            Some(b'$') => self.served += 1,
            Some(b'-') if line.starts_with("-BUSY") => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}

/// A client, which begins at its share of the connect time.
pub(super) struct Client {
    number: usize,
    begins_after: Duration,
    load: Load,
}

impl Client {
    pub(super) fn new(number: usize, clients: usize, load: Load) -> Self {
        Client {
            number,
            begins_after: CONNECT_TIME * number as u32 / clients as u32,
            load,
        }
    }

    /// Sends requests until a time, or until its connection ends.
    pub(super) fn run(&self, limiter: &Limiter, until: Instant) -> Answers {
        sleep(self.begins_after);
        let mut answers = Answers::default();
        let mut stream = BufReader::new(limiter.connect());
        let mut sequence = 0;
        while Instant::now() < until {
            sequence += 1;
            let id = ((self.number as u64) << 32) + sequence;
            let body = "b".repeat(self.load.body_kib * BYTES_PER_KIB);
            let command = request("Q.ASK", id, PARAMETERS, &body);
            answers.sent += 1;
            let answer = write(stream.get_mut(), command.as_bytes(), self.load.speed)
                .and_then(|()| read_answer(&mut stream));
            let Ok(line) = answer else {
                answers.closed += 1;
                break;
            };
            answers.count(&line);
            sleep(PAUSE);
        }
        answers
    }
}

fn write(stream: &mut TcpStream, command: &[u8], speed: Speed) -> io::Result<()> {
    match speed {
        Speed::AtOnce => {
            sleep(WRITE_TIME);
            stream.write_all(command)
        }
        Speed::Slowly => {
            for piece in command.chunks(command.len().div_ceil(PIECES)) {
                stream.write_all(piece)?;
                sleep(WRITE_TIME / PIECES as u32);
            }
            Ok(())
        }
    }
}

/// Reads an answer to its end; returns its first line.
fn read_answer(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if let Some(length) = line.trim_end().strip_prefix('$') {
        let length: usize = length.parse().map_err(io::Error::other)?;
        stream.read_exact(&mut vec![0; length + LINE_END_BYTES])?;
    }
    Ok(line)
}
