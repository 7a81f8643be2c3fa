//! The parsers against random cuts of valid messages, random damage and random garbage, from fixed seeds.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes generated values by value to the properties"
)]

use quartzcleat::net::config::{self, Limits};
use quartzcleat::net::discovery::http::parse_response;
use quartzcleat::net::resp::codec::{self, Reply};
use quickcheck::{Gen, QuickCheck, Testable};
use std::ops::Range;

/// The size of generated values.
const GENERATED_SIZE: usize = 60;
/// The generated cases of a property.
const CASES: u64 = 300;
/// The largest response of discovery that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 10;

fn limits() -> Limits {
    config::parse(include_str!("../examples/toy.json"), |_| None)
        .expect("the example is valid")
        .limits
}

fn check(seed: u64, property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATED_SIZE, seed))
        .tests(CASES)
        .quickcheck(property);
}

/// A parsed value and the length of its message.
struct Parsed<T> {
    value: T,
    length: usize,
}

/// The value of a message, if the message is incomplete at every cut and is parsed without the bytes behind it.
fn parse_complete<T>(message: &[u8], parse: impl Fn(&[u8]) -> Option<Parsed<T>>) -> Option<T> {
    let is_parsed_early = (0..message.len()).any(|cut| parse(&message[..cut]).is_some());
    let parsed = parse(&[message, b"*1"].concat())?;
    (!is_parsed_early && parsed.length == message.len()).then_some(parsed.value)
}

#[test]
fn commands_survive_any_cut() {
    fn is_parsed_when_complete(arguments: Vec<Vec<u8>>) -> bool {
        let limits = limits();
        let arguments: Vec<&[u8]> = arguments
            .iter()
            .take(limits.codec.max_arguments)
            .map(Vec::as_slice)
            .collect();
        let mut message = Vec::new();
        codec::write_command(&arguments, &mut message);
        let parsed = parse_complete(&message, |bytes| {
            let command = codec::parse_command(bytes, &limits).expect("no cut is malformed")?;
            let argument = |range: Range<usize>| bytes[range].to_vec();
            let arguments = command.arguments.into_iter().flatten();
            Some(Parsed {
                value: arguments.map(argument).collect::<Vec<_>>(),
                length: command.length,
            })
        });
        parsed.is_some_and(|parsed| parsed == arguments)
    }
    check(1, is_parsed_when_complete as fn(Vec<Vec<u8>>) -> bool);
}

#[test]
fn replies_survive_any_cut() {
    fn is_parsed_when_complete(value: Vec<u8>, number: i64, report: Option<Vec<u8>>) -> bool {
        let limits = limits();
        let mut message = b"*4\r\n".to_vec();
        codec::write_bulk(&value, &mut message);
        message.extend_from_slice(format!(":{number}\r\n*1\r\n-ERR failed\r\n").as_bytes());
        match &report {
            Some(report) => codec::write_bulk(report, &mut message),
            None => message.extend_from_slice(b"$-1\r\n"),
        }
        let reply = parse_complete(&message, |bytes| {
            let parsed = codec::parse_reply(bytes, &limits).expect("no cut is malformed")?;
            Some(Parsed {
                value: parsed.reply,
                length: parsed.length,
            })
        });
        let Some(Reply::Array(Some(members))) = reply else {
            return false;
        };
        let [Reply::Bulk(Some(parsed_value)), Reply::Integer(parsed_number), Reply::Array(Some(nested)), Reply::Bulk(parsed_report)] =
            members.as_slice()
        else {
            return false;
        };
        let [Reply::Error(error)] = nested.as_slice() else {
            return false;
        };
        let parsed_report = parsed_report.clone().map(|range| message[range].to_vec());
        message[parsed_value.clone()] == value
            && *parsed_number == number
            && &message[error.clone()] == b"ERR failed"
            && parsed_report == report
    }
    check(
        2,
        is_parsed_when_complete as fn(Vec<u8>, i64, Option<Vec<u8>>) -> bool,
    );
}

#[test]
fn lists_survive_any_cut_whole_and_in_chunks() {
    fn is_parsed_when_complete(body: Vec<u8>, chunk_length: u8, chunked: bool) -> bool {
        let mut message = b"HTTP/1.1 200 OK\r\n".to_vec();
        if chunked {
            message.extend_from_slice(b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
            for chunk in body.chunks(usize::from(chunk_length).max(1)) {
                message.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                message.extend_from_slice(chunk);
                message.extend_from_slice(b"\r\n");
            }
            message.extend_from_slice(b"0\r\n\r\n");
        } else {
            message.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
            message.extend_from_slice(&body);
        }
        let response = parse_complete(&message, |bytes| {
            let response = parse_response(bytes, 1 << 20).expect("no cut is malformed")?;
            Some(Parsed {
                length: response.length,
                value: response,
            })
        });
        response.is_some_and(|response| {
            response.body == body && response.status == 200 && response.keep_alive != chunked
        })
    }
    check(3, is_parsed_when_complete as fn(Vec<u8>, u8, bool) -> bool);
}

/// Whether the lengths and ranges that the parsers return lie within their input.
fn stays_within(bytes: &[u8]) -> bool {
    let limits = limits();
    let command = codec::parse_command(bytes, &limits).ok().flatten();
    let reply = codec::parse_reply(bytes, &limits).ok().flatten();
    let response = parse_response(bytes, MAX_RESPONSE_BYTES).ok().flatten();
    let is_command_within = command.is_none_or(|command| {
        let mut arguments = command.arguments.iter().flatten();
        command.length <= bytes.len() && arguments.all(|range| range.end <= command.length)
    });
    let is_reply_within = reply.is_none_or(|parsed| parsed.length <= bytes.len());
    let is_response_within = response.is_none_or(|response| {
        response.length <= bytes.len() && response.body.len() <= MAX_RESPONSE_BYTES
    });
    is_command_within && is_reply_within && is_response_within
}

#[test]
fn garbage_is_survived() {
    /// Random bytes as they are, and mapped to characters of the protocol, which get further into the parsers.
    fn stays_within_garbage(bytes: Vec<u8>) -> bool {
        let protocol_characters = b"*$+-:0123\r\n\r\n\r\n1x";
        let mapped: Vec<u8> = bytes
            .iter()
            .map(|byte| protocol_characters[usize::from(*byte) % protocol_characters.len()])
            .collect();
        let chunked_response = [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            mapped.as_slice(),
        ]
        .concat();
        stays_within(&bytes) && stays_within(&mapped) && stays_within(&chunked_response)
    }
    check(4, stays_within_garbage as fn(Vec<u8>) -> bool);
}

#[test]
fn damage_is_survived() {
    fn stays_within_damaged_command(arguments: Vec<Vec<u8>>, position: usize, byte: u8) -> bool {
        let arguments: Vec<&[u8]> = arguments.iter().map(Vec::as_slice).collect();
        let mut message = Vec::new();
        codec::write_command(&arguments, &mut message);
        let position = position % message.len();
        message[position] = byte;
        stays_within(&message)
    }
    check(
        5,
        stays_within_damaged_command as fn(Vec<Vec<u8>>, usize, u8) -> bool,
    );
}

/// A message whose announced length exceeds the limits is an error at its first bytes, so that it is never buffered.
#[test]
fn oversized_or_malformed_message_is_rejected_at_its_first_bytes() {
    let limits = limits();
    for bytes in [
        "*17\r\n",
        "*2\r\n$65537\r\n",
        "*1\r\n$-2\r\n",
        "*1\r\n:1\r\n",
        "PING\r\n",
        "*1\r\n$+1\r\n",
    ] {
        assert!(
            codec::parse_command(bytes.as_bytes(), &limits).is_err(),
            "{bytes:?}"
        );
    }
    for bytes in [
        "$65537\r\n",
        "*17\r\n",
        "*4\r\n*4\r\n*4\r\n*4\r\n*4\r\n",
        "*16\r\n*16\r\n",
        "?\r\n",
        "+a\nb",
    ] {
        assert!(
            codec::parse_reply(bytes.as_bytes(), &limits).is_err(),
            "{bytes:?}"
        );
    }
    let unterminated_line = vec![b'+'; 2000];
    assert!(codec::parse_reply(&unterminated_line, &limits).is_err());
    assert!(parse_response(b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n", 100).is_err());
}
