//! Long values as clients receive them.

use crate::toy_platform::LONG_VALUE_BYTES;
use std::io::Read;
use std::net::TcpStream;

/// Reads the head of an answer; returns the length of the value that it announces, in bytes.
///
/// # Panics
/// Panics where the answer is none with a value.
pub fn announced_length(client: &mut TcpStream) -> usize {
    let mut head = String::new();
    let mut byte = [0];
    while !head.ends_with("\r\n") {
        client.read_exact(&mut byte).expect("the head arrives");
        head.push(char::from(byte[0]));
    }
    head.trim_end()
        .strip_prefix('$')
        .and_then(|digits| digits.parse().ok())
        .unwrap_or_else(|| panic!("{head}"))
}

/// Returns the long value that a host of the toy platform sends for a request, with the line end after it.
#[must_use]
pub fn long_value(id: u64) -> Vec<u8> {
    let mut value: Vec<u8> = format!("{id:016x}")
        .bytes()
        .cycle()
        .take(LONG_VALUE_BYTES)
        .collect();
    value.extend_from_slice(b"\r\n");
    value
}
