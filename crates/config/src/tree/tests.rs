//! Tests of parsing and editing trees.

use super::*;

#[test]
fn nodes_have_their_lines_in_yaml_and_json() {
    let yaml = parse(&"a.yaml".into(), "one:\n  - x: 5\n    y: 2s\ntwo: true\n").expect("valid");
    assert_eq!(
        yaml.at("one.0.y")
            .map(|node| (node.place.line, node.text())),
        Some((3, Some("2s".into())))
    );
    let json = parse(&"a.json".into(), "{\"one\": [\n 1,\n 2.5], \"two\": null}").expect("valid");
    assert_eq!(json.at("one.1").map(|node| node.place.line), Some(3));
    assert_eq!(
        json.to_json(),
        serde_json::json!({"one": [1, 2.5], "two": null})
    );
}

#[test]
fn invalid_yaml_is_a_fault_with_its_line() {
    let faults = parse(&"a.yaml".into(), "one: 1\ntwo: [1\nthree: 2\n").expect_err("unclosed");
    assert!(faults.to_string().starts_with("a.yaml:"), "{faults}");
    assert!(faults.0[0].place.line >= 2, "{faults}");
    assert!(parse(&"a".into(), &"[".repeat(100)).is_err());
    assert!(parse(&"a".into(), "a: 1\n---\nb: 2\n").is_err());
}

#[test]
fn keys_can_be_changed_added_and_removed() {
    let mut tree = parse(&"a".into(), "m: {x: 1}\nl: [1, 2]\n").expect("valid");
    assert!(tree.set("m.x", Content::Number(2.0)) && tree.set("m.y", Content::Number(3.0)));
    assert!(tree.set("l.1", Content::Flag(true)) && !tree.set("l.7", Content::Null));
    assert!(tree.remove("m.x").is_some());
    assert_eq!(
        tree.to_json(),
        serde_json::json!({"m": {"y": 3}, "l": [1, true]})
    );
}
