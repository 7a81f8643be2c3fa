//! The tests that docs/crossings.md names exist.

use crate::{pages, sources};
use std::collections::BTreeSet;

/// A test name has at least this many parts between underscores; functions of the code, which the page names too, have fewer.
const MIN_TEST_NAME_PARTS: usize = 4;
/// The page names more tests than this: an empty result would mean that its form has changed.
const MIN_NAMED_TESTS: usize = 30;

/// The identifiers in a cell that have the form of a test name.
fn test_names(cell: &str) -> impl Iterator<Item = &str> {
    cell.split(|character: char| !character.is_ascii_alphanumeric() && character != '_')
        .filter(|identifier| identifier.split('_').count() >= MIN_TEST_NAME_PARTS)
}

#[test]
fn test_names_are_distinguished_from_functions_of_the_code() {
    let cell = "unit: answered_request_is_not_sent; by reading: `biased` in run_unrecorded";
    let names: Vec<_> = test_names(cell).collect();
    assert_eq!(names, ["answered_request_is_not_sent"]);
}

#[test]
fn each_test_that_crossings_md_names_exists() {
    let page = pages::read("crossings.md");
    let rows = pages::table_rows(&page);
    let named: BTreeSet<_> = rows
        .iter()
        .filter_map(|row| row.last())
        .flat_map(|cell| test_names(cell))
        .collect();
    assert!(named.len() >= MIN_NAMED_TESTS, "{} tests", named.len());
    let sources = sources::with_tests();
    for name in named {
        assert!(
            sources.contains(&format!("fn {name}(")),
            "docs/crossings.md names {name}"
        );
    }
}
