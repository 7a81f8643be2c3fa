//! Log events and metrics keys of the program, and the pages that must list them.

use crate::{pages, scanner, sources};
use std::collections::BTreeSet;

/// The event that carries the metrics.
const METRICS_EVENT: &str = "metrics";

/// The log events of all sources.
pub(crate) fn of_sources() -> Vec<scanner::LogEvent> {
    let mut events = Vec::new();
    for (path, source) in sources::all() {
        match scanner::log_events(&source) {
            Ok(found) => events.extend(found),
            Err(unknown) => panic!("{}: {unknown:?}", path.display()),
        }
    }
    events
}

/// The keys of the metrics.
pub(crate) fn metrics_keys() -> BTreeSet<String> {
    let events = of_sources();
    let mut metrics = events
        .into_iter()
        .filter(|event| event.message == METRICS_EVENT);
    let metrics_event = metrics.next().expect("the metrics are logged");
    assert_eq!(metrics.next(), None, "one place logs the metrics");
    metrics_event.fields
}

/// The names of attempts' outcomes, which are keys within the metrics' key `outcomes`.
pub(crate) fn outcome_names() -> BTreeSet<String> {
    sources::below_root("src/net/metrics.rs")
        .iter()
        .flat_map(|(_, source)| scanner::names_behind_arrows(source))
        .collect()
}

#[test]
fn every_log_event_is_in_a_table_of_the_on_call_page() {
    let listed = crate::on_call::listed_events();
    let missing: BTreeSet<String> = of_sources()
        .into_iter()
        .map(|event| event.message)
        .filter(|message| !listed.contains(message))
        .collect();
    assert!(missing.is_empty(), "docs/on-call.md lacks {missing:?}");
}

#[test]
fn every_metrics_key_is_in_the_table_of_the_fleet_page() {
    let page = pages::read("fleet.md");
    let rows = pages::table_rows(pages::section(&page, "## Metrics"));
    let listed: BTreeSet<&str> = rows
        .iter()
        .flat_map(|cells| pages::code_spans(cells[0]))
        .collect();
    let missing: Vec<String> = metrics_keys()
        .into_iter()
        .filter(|key| !listed.contains(key.as_str()))
        .collect();
    assert!(missing.is_empty(), "docs/fleet.md lacks {missing:?}");
}

#[test]
fn every_outcome_is_in_the_row_of_the_fleet_page() {
    let page = pages::read("fleet.md");
    let rows = pages::table_rows(pages::section(&page, "## Metrics"));
    let row = rows
        .iter()
        .find(|cells| cells[0] == "`outcomes`")
        .expect("the outcomes have a row");
    let listed: BTreeSet<String> = pages::code_spans(row[1])
        .into_iter()
        .map(str::to_owned)
        .collect();
    assert_eq!(listed, outcome_names());
}
