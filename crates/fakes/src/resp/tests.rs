//! Commands and replies, complete and cut.

use super::*;

#[test]
fn encoded_commands_are_parsed_and_incomplete_ones_awaited() {
    let bytes = encode_command(&["Q.DO", "7", "", "c=x,d=5"]);
    let arguments = vec!["Q.DO".into(), "7".into(), "".into(), "c=x,d=5".into()];
    assert_eq!(
        parse_command(&bytes).expect("the command is valid"),
        Some(Parsed {
            value: arguments,
            length: bytes.len()
        })
    );
    assert!((0..bytes.len()).all(|cut| {
        parse_command(&bytes[..cut])
            .expect("a cut command is not malformed")
            .is_none()
    }));
    assert_eq!(
        parse_reply(b"$2\r\nab\r\n+").expect("the reply is valid"),
        Some(Parsed {
            value: Reply::Bulk("ab".into()),
            length: 8
        })
    );
    assert_eq!(
        parse_reply(b"-BUSY 5\r\n").expect("the reply is valid"),
        Some(Parsed {
            value: Reply::Line("-BUSY 5".into()),
            length: 9
        })
    );
    assert!(
        parse_command(b"*-1\r\n").is_err()
            && parse_command(b"$1\r\n").is_err()
            && parse_reply(b"*1\r\n").is_err()
    );
}
