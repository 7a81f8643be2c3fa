//! Tests of the memory that a limiter holds for clients that write long commands slowly, on real sockets.

use quartzcleat_test_support::commands::{request, send, served, CHEAP_FACTS};
use quartzcleat_test_support::config::replace;
use quartzcleat_test_support::limiter::{Limiter, LimiterSetup};
use quartzcleat_test_support::process::peak_resident_kibibytes;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Memory of the limiter, in MiB.
const MEMORY_MB: u64 = 32;
/// Number of clients that write at a time: a third of the descriptors.
const CLIENTS: u64 = 330;
/// Length of the longest body.
const BODY_BYTES: usize = 64 << 10;
/// Parameters of a request whose client waits for long.
const PATIENT: &str = "c=bed-check,t=operator,d=7000,units=0.01,spread=1,first=0";
/// Parameters of a request whose client waits for a second.
const IMPATIENT: &str = "c=bed-check,t=operator,d=1000,units=0.01,spread=1,first=0";
/// The answer to a request for which there was no memory in time; the time is that of the example configuration.
const REJECTED: &str = "-BUSY 1000\r\n";

/// Starts a limiter of this build with a small memory. Each test uses a `number` of its own.
fn start_limiter(number: u8) -> Limiter {
    LimiterSetup::new(env!("CARGO_BIN_EXE_quartzcleat"), number)
        .with_config(|text| replace(text, "\"memory_mb\": 192", "\"memory_mb\": 32"))
        .start()
}

/// Returns a request with the longest body.
fn long_request(id: u64, parameters: &str) -> String {
    request("Q.ASK", id, parameters, &"b".repeat(BODY_BYTES))
}

/// A client that has written all of a long request but its last byte.
struct SlowClient {
    stream: TcpStream,
    last_byte: [u8; 1],
}

impl SlowClient {
    fn connect(limiter: &Limiter, id: u64) -> Self {
        let mut stream = limiter.connect();
        let request = long_request(id, PATIENT);
        let (last, rest) = request.as_bytes().split_last().expect("it is not empty");
        stream.write_all(rest).expect("the kernel takes it");
        SlowClient {
            stream,
            last_byte: [*last],
        }
    }

    fn finish(&mut self) -> String {
        self.stream.write_all(&self.last_byte).expect("it is open");
        send(&mut self.stream, "", 1)
    }
}

/// Partial commands counted towards no limit: 330 clients that wrote 64 KiB each took a limiter of 32 MB to 39 MB (issue
/// 51, `review/2`).
#[test]
fn slow_long_commands_stay_within_the_memory() {
    let limiter = start_limiter(1);
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|id| SlowClient::connect(&limiter, id))
        .collect();
    let answers: Vec<_> = clients.iter_mut().map(SlowClient::finish).collect();
    let peak = peak_resident_kibibytes(limiter.child.id());
    assert!(peak <= MEMORY_MB << 10, "{peak} KiB at most");
    for (id, answer) in (0..).zip(&answers) {
        assert!(
            *answer == served(id) || answer.starts_with("-BUSY"),
            "{id}: {answer}"
        );
    }
    assert!(answers.contains(&served(0)), "the first one has memory");
}

/// While clients that do not finish their commands hold all memory for such commands, short requests are served. Another
/// long request is rejected before half of its time is over, and its connection stays usable.
#[test]
fn unfinished_long_commands_leave_room_for_short_requests() {
    let limiter = start_limiter(2);
    let unfinished: Vec<_> = (0..CLIENTS)
        .map(|id| SlowClient::connect(&limiter, id))
        .collect();
    let short = request("Q.ASK", 1000, CHEAP_FACTS, "");
    assert_eq!(limiter.answer(&short), served(1000));
    let mut client = limiter.connect();
    let answer = send(&mut client, &long_request(1001, IMPATIENT), 1);
    assert_eq!(answer, REJECTED);
    let short = request("Q.ASK", 1002, CHEAP_FACTS, "");
    assert_eq!(send(&mut client, &short, 1), served(1002));
    drop(unfinished);
    let answer = send(&mut client, &long_request(1003, PATIENT), 1);
    assert_eq!(answer, served(1003), "the memory is free again");
}

/// A long request that is rejected for lack of memory and never completed is answered before its connection ends.
#[test]
fn unfinished_command_without_memory_is_answered_before_its_connection_ends() {
    let limiter = start_limiter(3);
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|id| SlowClient::connect(&limiter, id))
        .collect();
    let mut last = clients.pop().expect("there are many").stream;
    let mut answer = String::new();
    last.read_to_string(&mut answer).expect("an end in order");
    assert_eq!(answer, REJECTED);
}
