//! Tests of former names of keys and keywords.

use super::{one_of_renamed, Alias, Reader};
use crate::fault::Faults;
use crate::quantity;
use crate::tree;
use std::sync::Arc;

const ALIASES: &[Alias] = &[Alias::new("voters", "acceptors")];

/// Reads a file whose only key is `acceptors`.
fn read_acceptors(text: &str) -> Result<u64, Faults> {
    let file: Arc<str> = "f.yaml".into();
    let tree = tree::parse(&file, text)?;
    let mut faults = Faults::default();
    let mut reader = Reader::new(&file, "", &tree, &mut faults).with_aliases(ALIASES);
    let count = reader.need("acceptors", &mut faults, |node| {
        quantity::count(node, 1..=9)
    });
    reader.end(&mut faults);
    faults.into_result(count.unwrap_or_default())
}

#[test]
fn former_name_of_a_key_is_accepted() {
    for text in ["acceptors: 3\n", "voters: 3\n"] {
        assert_eq!(read_acceptors(text), Ok(3), "{text}");
    }
}

#[test]
fn faults_name_the_key_as_the_file_spells_it_and_suggest_the_present_name() {
    let cases = [
        ("voters: 0\n", "f.yaml:1: voters: 0 is not a whole number"),
        ("acceptors: 0\n", "f.yaml:1: acceptors: 0 is not"),
        (
            "votes: 3\n",
            "f.yaml:1: votes: unknown key; did you mean acceptors?",
        ),
        ("{}\n", "f.yaml:1: acceptors: missing"),
        (
            "acceptors: 3\nvoters: 5\n",
            "f.yaml:2: voters: former name of acceptors, which is also given",
        ),
    ];
    for (text, expected) in cases {
        let faults = read_acceptors(text)
            .expect_err("the file is invalid")
            .to_string();
        assert!(faults.contains(expected), "{expected}\nnot in\n{faults}");
    }
}

#[test]
fn former_name_of_a_keyword_is_accepted_and_not_suggested() {
    let keywords = [("rejected", 1), ("lost", 2)];
    let aliases = [Alias::new("busy", "rejected")];
    let look_up = |keyword| one_of_renamed(keyword, &keywords, &aliases);
    assert_eq!(look_up("busy"), Ok(1));
    assert_eq!(look_up("rejected"), Ok(1));
    let error = look_up("silent").expect_err("it is not known").to_string();
    assert!(error.contains("one of rejected, lost"), "{error}");
}
