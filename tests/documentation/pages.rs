//! Reading the pages: their tables, and the terms in their code.

use std::collections::BTreeSet;
use std::path::Path;

/// Reads a page of `docs/`.
pub(crate) fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    std::fs::read_to_string(&path)
        .unwrap_or_else(|error| panic!("{} cannot be read: {error}", path.display()))
}

/// The code spans of a text, in their order.
pub(crate) fn code_spans(text: &str) -> Vec<&str> {
    text.split('`').skip(1).step_by(2).collect()
}

/// The cells of the table rows of a text, without the rows that only draw a line.
pub(crate) fn table_rows(text: &str) -> Vec<Vec<&str>> {
    text.lines()
        .filter(|line| line.starts_with('|') && !line.starts_with("| ---"))
        .map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect())
        .collect()
}

/// The part of a page from a heading to the next one of the same or a higher level.
///
/// # Panics
/// The page has no such heading.
pub(crate) fn section<'a>(page: &'a str, heading: &str) -> &'a str {
    let start = page
        .find(&format!("{heading}\n"))
        .unwrap_or_else(|| panic!("a page has no heading {heading:?}"));
    let body = &page[start + heading.len()..];
    let level = heading.bytes().take_while(|byte| *byte == b'#').count();
    let end = (1..=level)
        .filter_map(|level| body.find(&format!("\n{} ", "#".repeat(level))))
        .min();
    &body[..end.unwrap_or(body.len())]
}

/// The keys that a page names: in its code spans, and in its YAML blocks with the comments taken away.
///
/// `{mode: normal, calls: [late]}` names `mode` and `calls`; a list without maps holds values. A span may list bare keys,
/// as in `{from, through}`.
pub(crate) fn named_keys(page: &str) -> BTreeSet<String> {
    let mut keys = BTreeSet::new();
    let mut prose = String::new();
    for (index, part) in page.split("```").enumerate() {
        let is_block = index % 2 == 1;
        if !is_block {
            prose.push_str(part);
        } else if let Some(block) = part.strip_prefix("yaml") {
            block.lines().for_each(|line| add_keys(line, &mut keys));
        }
    }
    for span in code_spans(&prose) {
        add_keys(span, &mut keys);
    }
    keys
}

fn add_keys(code: &str, keys: &mut BTreeSet<String>) {
    let code = code.split(" #").next().unwrap_or_default();
    let code = without_plain_lists(code);
    for item in code.split(['{', '}', '[', ']', ',']) {
        let key = item.split(':').next().unwrap_or_default();
        let key = key.trim().trim_start_matches('-').trim_start();
        keys.insert(key.to_owned());
    }
}

/// A text without the lists in square brackets that have no map in them.
fn without_plain_lists(code: &str) -> String {
    let mut remaining = String::new();
    let mut rest = code;
    while let Some((before, list)) = rest.split_once('[') {
        remaining.push_str(before);
        rest = match list.split_once(']') {
            Some((values, after)) if !values.contains('{') => after,
            _ => list,
        };
    }
    remaining + rest
}

#[test]
fn keys_are_found_in_spans_and_blocks() {
    let page =
        "`a`, `b: {c, d: [x, y]}`\n```yaml\ne:  # f: no\n  - {g h: 2}\n```\n```sh\ni: j\n```\nk";
    let keys = named_keys(page);
    let keys: Vec<_> = keys.iter().map(String::as_str).collect();
    assert_eq!(keys, ["", "a", "b", "c", "d", "e", "g h"]);
}

#[test]
fn section_ends_at_the_next_heading_of_its_level() {
    let page = "# P\n## A\none\n### B\ntwo\n## C\nthree\n";
    assert_eq!(section(page, "## A"), "\none\n### B\ntwo");
    assert_eq!(section(page, "### B"), "\ntwo");
}
