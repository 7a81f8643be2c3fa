//! The page for on-call engineers: it lists only what the program has.

use crate::{log_events, pages};
use std::collections::BTreeSet;

const PAGE: &str = "on-call.md";
/// The tables from a symptom to its cause.
const SYMPTOMS: &str = "## From the symptom";
/// The column of those tables that names events and metrics.
const EVENT_COLUMN: usize = 1;
/// The headings of the tables of all events begin so.
const EVENT_TABLES: &str = "## All events: ";
/// Names of the page that are neither events nor metrics: paths of the admin interface.
const ADMIN_PATHS: [&str; 1] = ["/ready"];

/// The events in the first columns of the tables of all events.
pub(crate) fn listed_events() -> BTreeSet<String> {
    let page = pages::read(PAGE);
    let mut events = BTreeSet::new();
    for heading in page.lines().filter(|line| line.starts_with(EVENT_TABLES)) {
        for cells in pages::table_rows(pages::section(&page, heading)) {
            let spans = pages::code_spans(cells[0]).into_iter();
            events.extend(spans.map(str::to_owned));
        }
    }
    events
}

/// Names that the page may use where it names events and metrics.
struct KnownNames {
    events: BTreeSet<String>,
    /// Metrics keys, names of outcomes, and fields of events.
    keys: BTreeSet<String>,
}

impl KnownNames {
    fn of_sources() -> Self {
        let events = log_events::of_sources();
        let fields = events.iter().flat_map(|event| event.fields.clone());
        KnownNames {
            keys: fields.chain(log_events::outcome_names()).collect(),
            events: events.into_iter().map(|event| event.message).collect(),
        }
    }

    /// Whether a name is an event, alone or with a field (`shutdown started other_serves=...`), or a key.
    fn has(&self, name: &str) -> bool {
        let event = match name.split_once('=') {
            Some((event_and_field, _)) => match event_and_field.rsplit_once(' ') {
                Some((event, field)) if self.keys.contains(field) => event,
                _ => return false,
            },
            None => name,
        };
        self.events.contains(event) || self.keys.contains(name)
    }
}

#[test]
fn every_event_in_the_tables_is_logged() {
    let known = KnownNames::of_sources();
    let listed = listed_events();
    let unknown: Vec<_> = listed.difference(&known.events).collect();
    assert!(unknown.is_empty(), "no source logs {unknown:?}");
}

#[test]
fn every_field_in_the_tables_is_logged() {
    let events = log_events::of_sources();
    let page = pages::read(PAGE);
    for heading in page.lines().filter(|line| line.starts_with(EVENT_TABLES)) {
        let rows = pages::table_rows(pages::section(&page, heading));
        let Some(column) = rows[0].iter().position(|title| *title == "fields") else {
            continue;
        };
        for cells in &rows[1..] {
            let messages = pages::code_spans(cells[0]);
            let fields: BTreeSet<String> = events
                .iter()
                .filter(|event| messages.contains(&event.message.as_str()))
                .flat_map(|event| event.fields.clone())
                .collect();
            for listed in pages::code_spans(cells[column]) {
                assert!(fields.contains(listed), "{messages:?} have no {listed}");
            }
        }
    }
}

#[test]
fn every_event_and_metric_behind_a_symptom_exists() {
    let known = KnownNames::of_sources();
    let page = pages::read(PAGE);
    let rows = pages::table_rows(pages::section(&page, SYMPTOMS));
    let unknown: Vec<_> = rows
        .iter()
        .flat_map(|cells| pages::code_spans(cells[EVENT_COLUMN]))
        .filter(|name| !ADMIN_PATHS.contains(name) && !known.has(name))
        .collect();
    assert!(unknown.is_empty(), "no source has {unknown:?}");
}
