//! Tests of parsing: complete, truncated and malformed commands and replies.

use super::*;

const ARGUMENTS: [&str; 4] = ["Q.DO", "7", "", "c=x,d=5"];

#[test]
fn encoded_command_is_parsed() {
    let bytes = encode_command(&ARGUMENTS);
    assert_eq!(
        parse_command(&bytes).expect("the command is valid"),
        Some(Parsed {
            value: ARGUMENTS.map(String::from).to_vec(),
            length: bytes.len()
        })
    );
}

#[test]
fn incomplete_command_is_not_parsed_yet() {
    let bytes = encode_command(&ARGUMENTS);
    assert!((0..bytes.len()).all(|cut| {
        parse_command(&bytes[..cut])
            .expect("a truncated command is not malformed")
            .is_none()
    }));
}

#[test]
fn value_is_parsed_without_trailing_bytes() {
    assert_eq!(
        parse_reply(b"$2\r\nab\r\n+").expect("the reply is valid"),
        Some(Parsed {
            value: Reply::Bulk("ab".into()),
            length: 8
        })
    );
}

#[test]
fn error_line_is_parsed() {
    assert_eq!(
        parse_reply(b"-BUSY 5\r\n").expect("the reply is valid"),
        Some(Parsed {
            value: Reply::Line("-BUSY 5".into()),
            length: 9
        })
    );
}

#[test]
fn malformed_commands_and_replies_are_errors() {
    assert!(parse_command(b"*-1\r\n").is_err());
    assert!(parse_command(b"$1\r\n").is_err());
    assert!(parse_reply(b"*1\r\n").is_err());
}
