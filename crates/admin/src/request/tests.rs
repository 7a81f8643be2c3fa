//! Tests with valid requests, and with requests that are refused.

use super::*;

#[test]
fn valid_requests_are_parsed_and_others_refused() {
    let id = br#"{"host":"s-1"}"#;
    for (method, path, body, expected) in [
        ("GET", "/ready", &b""[..], Ok(AdminRequest::Ready)),
        (
            "PUT",
            "/servers/disable",
            id,
            Ok(AdminRequest::Disable("s-1".into())),
        ),
        (
            "PUT",
            "/servers/enable",
            id,
            Ok(AdminRequest::Enable("s-1".into())),
        ),
        ("PUT", "/drain", b"", Ok(AdminRequest::Drain)),
        ("PUT", "/undrain", b"x", Ok(AdminRequest::Undrain)),
        ("GET", "/", b"", Err(404)),
        ("PUT", "/ready", b"", Err(405)),
        ("GET", "/drain", b"", Err(405)),
        ("PUT", "/servers/disable", b"", Err(400)),
        ("PUT", "/servers/disable", b"{\"host\":", Err(400)),
        ("PUT", "/servers/disable", b"[]", Err(422)),
        ("PUT", "/servers/enable", b"{\"host\":7}", Err(422)),
        ("PUT", "/servers/enable", b"{\"host\":\"\"}", Err(422)),
    ] {
        let result = parse_request(method, path, body);
        assert_eq!(
            result.map_err(|error| error.status()),
            expected,
            "{method} {path}"
        );
    }
}
