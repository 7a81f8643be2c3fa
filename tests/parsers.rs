//! The parsers against random cuts of valid messages, random damage and random garbage, from fixed seeds.

use quartzcleat::net::config::{self, Limits};
use quartzcleat::net::discovery::http::parse_response;
use quartzcleat::net::resp::codec::{self, Reply};
use quickcheck::{Gen, QuickCheck, Testable};

fn limits() -> Limits {
    config::parse(include_str!("../examples/toy.json"), |_| None)
        .expect("the example is sound")
        .limits
}

fn check(seed: u64, property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(300)
        .quickcheck(property);
}

/// A message is incomplete at every cut, and is read without the bytes behind it.
fn whole<T>(message: &[u8], parse: impl Fn(&[u8]) -> Option<(T, usize)>) -> Option<T> {
    let early = (0..message.len()).any(|cut| parse(&message[..cut]).is_some());
    let (read, length) = parse(&[message, b"*1"].concat())?;
    (!early && length == message.len()).then_some(read)
}

#[test]
fn commands_survive_any_cut() {
    fn cut(words: Vec<Vec<u8>>) -> bool {
        let (limits, mut message) = (limits(), Vec::new());
        let words: Vec<&[u8]> = words
            .iter()
            .take(limits.codec.max_arguments)
            .map(Vec::as_slice)
            .collect();
        codec::write_command(&words, &mut message);
        let read = whole(&message, |bytes| {
            let command = codec::parse_command(bytes, &limits).expect("no cut is malformed")?;
            let word = |place: std::ops::Range<usize>| bytes[place].to_vec();
            Some((
                command
                    .arguments
                    .into_iter()
                    .flatten()
                    .map(word)
                    .collect::<Vec<_>>(),
                command.length,
            ))
        });
        read.is_some_and(|read| read == words)
    }
    check(1, cut as fn(Vec<Vec<u8>>) -> bool);
}

#[test]
fn replies_survive_any_cut() {
    fn cut(value: Vec<u8>, number: i64, report: Option<Vec<u8>>) -> bool {
        let (limits, mut message) = (limits(), b"*4\r\n".to_vec());
        codec::write_bulk(&value, &mut message);
        message.extend_from_slice(format!(":{number}\r\n*1\r\n-ERR failed\r\n").as_bytes());
        match &report {
            Some(report) => codec::write_bulk(report, &mut message),
            None => message.extend_from_slice(b"$-1\r\n"),
        }
        let read = whole(&message, |bytes| {
            let parsed = codec::parse_reply(bytes, &limits).expect("no cut is malformed")?;
            Some((parsed.reply, parsed.length))
        });
        let Some(Reply::Array(Some(members))) = read else {
            return false;
        };
        let [Reply::Bulk(Some(first)), Reply::Integer(second), Reply::Array(Some(third)), Reply::Bulk(last)] =
            members.as_slice()
        else {
            return false;
        };
        let inner = matches!(third.as_slice(), [Reply::Error(place)] if &message[place.clone()] == b"ERR failed");
        let last = last.clone().map(|place| message[place].to_vec());
        message[first.clone()] == value && *second == number && inner && last == report
    }
    check(2, cut as fn(Vec<u8>, i64, Option<Vec<u8>>) -> bool);
}

#[test]
fn lists_survive_any_cut_whole_and_in_chunks() {
    fn cut(body: Vec<u8>, chunk: u8, chunked: bool) -> bool {
        let mut message = b"HTTP/1.1 200 OK\r\n".to_vec();
        if chunked {
            message.extend_from_slice(b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
            for part in body.chunks(usize::from(chunk).max(1)) {
                message.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                message.extend_from_slice(part);
                message.extend_from_slice(b"\r\n");
            }
            message.extend_from_slice(b"0\r\n\r\n");
        } else {
            message.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
            message.extend_from_slice(&body);
        }
        let read = whole(&message, |bytes| {
            let response = parse_response(bytes, 1 << 20).expect("no cut is malformed")?;
            let length = response.length;
            Some((response, length))
        });
        read.is_some_and(|read| {
            read.body == body && read.status == 200 && read.keep_alive != chunked
        })
    }
    check(3, cut as fn(Vec<u8>, u8, bool) -> bool);
}

/// Whatever comes, what a parser says it read lies within it.
fn stays_within(bytes: &[u8]) -> bool {
    let limits = limits();
    let command = codec::parse_command(bytes, &limits).ok().flatten();
    let reply = codec::parse_reply(bytes, &limits).ok().flatten();
    let list = parse_response(bytes, 1 << 10).ok().flatten();
    command.is_none_or(|c| {
        c.length <= bytes.len() && c.arguments.iter().flatten().all(|w| w.end <= c.length)
    }) && reply.is_none_or(|parsed| parsed.length <= bytes.len())
        && list.is_none_or(|r| r.length <= bytes.len() && r.body.len() <= 1 << 10)
}

#[test]
fn garbage_is_survived() {
    /// Garbage out of the characters that mean something, so that it gets far into the parsers.
    fn garbage(bytes: Vec<u8>) -> bool {
        let signs = b"*$+-:0123\r\n\r\n\r\n1x";
        let meant: Vec<u8> = bytes
            .iter()
            .map(|byte| signs[usize::from(*byte) % signs.len()])
            .collect();
        let head = [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            meant.as_slice(),
        ]
        .concat();
        stays_within(&bytes) && stays_within(&meant) && stays_within(&head)
    }
    check(4, garbage as fn(Vec<u8>) -> bool);
}

#[test]
fn damage_is_survived() {
    fn damaged(words: Vec<Vec<u8>>, place: usize, byte: u8) -> bool {
        let mut message = Vec::new();
        codec::write_command(
            &words.iter().map(Vec::as_slice).collect::<Vec<_>>(),
            &mut message,
        );
        let place = place % message.len();
        message[place] = byte;
        stays_within(&message)
    }
    check(5, damaged as fn(Vec<Vec<u8>>, usize, u8) -> bool);
}

/// What could ask for more memory than there is must be refused at its first bytes, not waited for.
#[test]
fn what_is_too_large_is_refused_before_it_comes() {
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
    let long = vec![b'+'; 2000];
    assert!(codec::parse_reply(&long, &limits).is_err());
    assert!(parse_response(b"HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n", 100).is_err());
}
