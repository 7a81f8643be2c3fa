//! Tests with requests that are incomplete, malformed, or earlier than discovery's first list.

use super::*;

/// A request for a host waits for discovery's first list: only then is it known whether the host was ever listed.
#[test]
fn host_request_waits_for_the_first_list() {
    let replacements = [("\"listen\"", "\"console\": \"127.0.0.1:9\", \"listen\"")];
    crate::net::tests::with_limiter(&replacements, |limiter| async move {
        let request = AdminRequest::Disable("s-1".to_owned());
        let began = tokio::time::Instant::now();
        wait_for_first_list(limiter.admin(), &request).await;
        assert!(began.elapsed() >= limiter.limits().admin.first_list_timeout);
        assert_eq!(
            execute(limiter.admin(), request.clone()).status,
            503,
            "no list was received"
        );
        let listing_limiter = limiter.clone();
        tokio::task::spawn_local(async move {
            sleep(listing_limiter.limits().requests.deadline_margin).await;
            crate::net::discovery::tests::apply_serving_host(listing_limiter.discovery(), "s-1");
        });
        wait_for_first_list(limiter.admin(), &request).await;
        assert_eq!(execute(limiter.admin(), request).status, 200);
        assert_eq!(
            execute(limiter.admin(), AdminRequest::Enable("s-2".to_owned())).status,
            404
        );
    });
}

fn status(text: &str) -> Option<u16> {
    http::parse(text.as_bytes(), 8192)
        .map(|parsed| parsed.map_or_else(|error| error.status(), |_| 200))
}

#[test]
fn http_request_is_parsed_once_complete_or_refused() {
    let put =
        "PUT /servers/disable HTTP/1.1\r\nHost: x\r\ncontent-length: 14\r\n\r\n{\"host\":\"s-1\"}";
    assert_eq!(status(put), Some(200));
    (0..put.len()).for_each(|end| assert_eq!(status(&put[..end]), None, "cut at {end}"));
    assert_eq!(status("GET /ready HTTP/1.1\r\n\r\n"), Some(200));
    for (text, expected) in [
        ("GET /ready\r\n\r\n".to_owned(), 400),
        ("\u{1}\u{2}\r\n\r\n".to_owned(), 400),
        (put.replace("14", "many"), 400),
        (put.replace("14", "9000"), 413),
        (
            put.replace("content-length: 14", "Transfer-Encoding: chunked"),
            400,
        ),
        (format!("GET /{} ", "x".repeat(9000)), 413),
        (put.replace("{\"", "{'"), 400),
    ] {
        assert_eq!(status(&text), Some(expected), "{text}");
    }
}
