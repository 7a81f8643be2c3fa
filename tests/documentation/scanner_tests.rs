//! The scanner, on fixed snippets.

use crate::scanner::{count_calls, log_events, names_behind_arrows, UnknownMessage};

const SNIPPET: &str = r##"
// tracing::info!("in a comment");
/* tracing::info!("in another") */
fn f<'a>(quote: char) -> &'a str {
    let text = "tracing::info!(\"in a string\")";
    let raw = r#"tracing::info!("in a raw string")"#;
    if quote == '"' || quote == '\'' || quote == '\u{41}' {
        return tracing::warn!(%folder, ?error, "written in one line");
    }
    tracing::info!(
        target: TARGET,
        at_ms = now(a, [b, c]) / 10,
        limiter = counted.limiter,
        id = format_args!("{:016x}", id.0),
        "written in several lines",
    );
    println!("not logged");
    debug!("without a path");
    match x { A => "first", B => "second", C => g() }
}
"##;

#[test]
fn events_are_found_with_their_fields() {
    let events = log_events(SNIPPET).expect("every message is a literal");
    let found: Vec<_> = events
        .iter()
        .map(|event| {
            let fields: Vec<_> = event.fields.iter().map(String::as_str).collect();
            (event.message.as_str(), fields)
        })
        .collect();
    let expected = [
        ("written in one line", vec!["error", "folder"]),
        ("written in several lines", vec!["at_ms", "id", "limiter"]),
        ("without a path", vec![]),
    ];
    assert_eq!(found, expected);
}

#[test]
fn message_that_is_no_literal_is_reported() {
    for source in ["tracing::error!(message);", "tracing::error!(\"{a}\", a);"] {
        let unknown = UnknownMessage {
            macro_name: "error".to_owned(),
        };
        assert_eq!(log_events(source), Err(unknown), "{source}");
    }
}

#[test]
fn names_are_found_behind_arrows() {
    let names = names_behind_arrows(SNIPPET);
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    assert_eq!(names, ["first", "second"]);
}

#[test]
fn calls_are_counted_outside_comments_and_strings() {
    let source = "Reader::new(a); // Reader::new(b)\nlet c = \"Reader::new(d)\"; Reader::new(e)";
    assert_eq!(count_calls(source, "Reader", "new"), 2);
}
