//! The lines of configuration behind a verdict, found by search: which keys, changed one by one and in groups, turn
//! it. Nothing here knows what a key means.

use crate::compile::compile;
use crate::explore::{explore, Budget};
use crate::file::{Expectation, Suite};
use quartzcleat_config::deployment::Change;
use quartzcleat_config::platform::{key_of, Kind, SettingKey};
use quartzcleat_config::quantity;
use quartzcleat_config::tree::{Content, Leaf, Node};
use quartzcleat_config::Deployment;
use serde::Serialize;

/// One line that a verdict hangs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// The file.
    pub file: String,
    /// The line.
    pub line: u32,
    /// The key.
    pub key: String,
    /// What it says.
    pub says: String,
    /// What it would say for the other verdict.
    pub would: String,
}

/// How a verdict came about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Blame {
    /// Sets of lines: each set, changed as told, turns the verdict.
    pub sets: Vec<Vec<Line>>,
    /// How many other settings were tried.
    pub tried: u64,
}

/// Whether an expectation holds, and was put to the test, on a day; `None` where the day cannot be used.
pub fn holds(
    suite: &Suite,
    expectation: &Expectation,
    day: &Deployment,
    budget: &Budget,
) -> Option<bool> {
    let compiled = compile(suite, expectation, day).ok()?;
    let explored = explore(&compiled, budget);
    let tested = explored.judged.iter().all(|(tested, _)| *tested > 0);
    Some(explored.failure.is_none() && tested)
}

fn small(budget: &Budget) -> Budget {
    Budget {
        plays: budget.plays.min(200),
        events: budget.events.min(100_000),
        ..*budget
    }
}

/// What a key could say instead: its default, then its neighbours.
fn others(day: &Deployment, path: &str, node: &Node) -> Vec<Content> {
    let Some(SettingKey { kind, default, .. }) = key_of(path) else {
        return Vec::new();
    };
    let number = |value: f64| Content::Number(value);
    let mut others = Vec::new();
    match kind {
        Kind::Name => {}
        Kind::Flag => {
            let now = node.content == Content::Flag(true);
            others.push(Content::Flag(!now));
        }
        Kind::Keyword(words) => {
            let now = node.text().unwrap_or_default();
            others.extend(
                words
                    .iter()
                    .filter(|word| **word != now)
                    .map(|word| Content::Text((*word).to_owned())),
            );
        }
        Kind::Time | Kind::Number => {
            let now = match (&node.content, kind) {
                (Content::Number(value), _) => *value,
                (_, Kind::Time) => quantity::time(node).map_or(0.0, |nanos| nanos as f64),
                _ => 0.0,
            };
            others.extend(
                default
                    .parse()
                    .ok()
                    .filter(|default: &f64| *default != now)
                    .map(number),
            );
            // What stands there in the other members of its list.
            if let [list, number, key] = path.split('.').collect::<Vec<_>>().as_slice() {
                let members = (0..16).filter(|other| other.to_string() != *number);
                let values =
                    members.filter_map(|other| day.tree.at(&format!("{list}.{other}.{key}")));
                others.extend(values.map(|node| node.content.clone()));
            }
            if now == 0.0 {
                let unit = if *kind == Kind::Time { 1e9 } else { 1.0 };
                others.extend([unit, 10.0 * unit, 100.0 * unit].map(number));
            }
            let whole = *kind == Kind::Time || now.fract() == 0.0 && now >= 8.0;
            for factor in [0.5, 2.0, 0.125, 8.0, 1.0 / 64.0, 64.0] {
                let value = now * factor;
                others.push(number(if whole { value.round() } else { value }));
                if !whole && value.fract() != 0.0 {
                    others.push(number(value.ceil()));
                }
            }
        }
    }
    others
}

fn show(path: &str, content: &Content) -> String {
    match (content, key_of(path).map(|key| key.kind)) {
        (Content::Number(nanos), Some(Kind::Time)) if *nanos >= 0.0 => {
            quantity::show_time(*nanos as u64)
        }
        (Content::Number(value), _) => format!("{value}"),
        (Content::Flag(flag), _) => flag.to_string(),
        (Content::Text(text), _) => text.clone(),
        _ => "nothing".to_owned(),
    }
}

fn line(day: &Deployment, path: &str, would: &str) -> Line {
    let says = day
        .tree
        .at(path)
        .map_or_else(|| "nothing".to_owned(), |node| show(path, &node.content));
    let (file, key) = (day.file.to_string(), path.to_owned());
    Line {
        file,
        line: day.line(path),
        key,
        says,
        would: would.to_owned(),
    }
}

/// The lines behind a failure, with no other file to compare with: each key goes to its default and to its
/// neighbours, alone and then with the rest of its section.
pub fn behind(
    suite: &Suite,
    expectation: &Expectation,
    day: &Deployment,
    budget: &Budget,
) -> Blame {
    let (mut blame, budget) = (Blame::default(), small(budget));
    let mut turns = |changes: &[Change]| {
        blame.tried += 1;
        day.with(changes)
            .ok()
            .and_then(|other| holds(suite, expectation, &other, &budget))
            == Some(true)
    };
    let keys = day.keys();
    let mut sets = Vec::new();
    for Leaf { path, node } in &keys {
        let turned = others(day, path, node)
            .into_iter()
            .find(|other| turns(&[Change::set(path, other.clone())]));
        if let Some(other) = turned {
            sets.push(vec![line(day, path, &show(path, &other))]);
        }
    }
    if sets.is_empty() {
        let mut sections: Vec<&str> = keys
            .iter()
            .filter_map(|key| Some(key.path.rsplit_once('.')?.0))
            .collect();
        sections.dedup();
        for section in sections {
            let members: Vec<_> = keys
                .iter()
                .filter(|key| {
                    key.path
                        .rsplit_once('.')
                        .is_some_and(|(parent, _)| parent == section)
                })
                .collect();
            for place in 0..4 {
                let changes: Vec<Change> = members
                    .iter()
                    .filter_map(|Leaf { path, node }| {
                        let value = others(day, path, node).get(place)?.clone();
                        Some(Change::set(path, value))
                    })
                    .collect();
                if changes.len() > 1 && turns(&changes) {
                    let least = least(changes, &mut |changes| turns(changes));
                    let would = |change: &Change| {
                        change
                            .value
                            .as_ref()
                            .map_or("nothing".into(), |value| show(&change.path, value))
                    };
                    sets.push(
                        least
                            .iter()
                            .map(|change| line(day, &change.path, &would(change)))
                            .collect(),
                    );
                    break;
                }
            }
        }
    }
    blame.sets = sets;
    blame
}

/// The keys that differ between two days, as changes that make the old one the new one.
pub fn changes(old: &Deployment, new: &Deployment) -> Vec<Change> {
    let (before, after) = (old.tree.leaves(), new.tree.leaves());
    let mut changes: Vec<Change> = after
        .iter()
        .filter(|Leaf { path, node }| {
            old.tree
                .at(path)
                .is_none_or(|held| held.content != node.content)
        })
        .map(|Leaf { path, node }| Change::set(path, node.content.clone()))
        .collect();
    let gone = before
        .iter()
        .filter(|leaf| new.tree.at(&leaf.path).is_none());
    changes.extend(gone.map(|leaf| Change::remove(&leaf.path)));
    changes
}

/// The smallest set of changes from an old day that brings the verdict of the new one.
pub fn between(
    suite: &Suite,
    expectation: &Expectation,
    old: &Deployment,
    new: &Deployment,
    held: bool,
    budget: &Budget,
) -> Blame {
    let (mut blame, budget) = (Blame::default(), small(budget));
    let mut turns = |changes: &[Change]| {
        blame.tried += 1;
        old.with(changes)
            .ok()
            .and_then(|other| holds(suite, expectation, &other, &budget))
            == Some(held)
    };
    let all = changes(old, new);
    if all.is_empty() || !turns(&all) {
        return blame;
    }
    let least = least(all, &mut |changes| turns(changes));
    let told = |change: &Change| {
        let before = old.tree.at(&change.path).map_or_else(
            || "nothing".to_owned(),
            |node| show(&change.path, &node.content),
        );
        line(new, &change.path, &before)
    };
    blame.sets = vec![least.iter().map(told).collect()];
    blame
}

/// Delta debugging: a set of changes that still does it and no one of which can be left out.
fn least(mut changes: Vec<Change>, does: &mut dyn FnMut(&[Change]) -> bool) -> Vec<Change> {
    let mut parts = 2;
    while changes.len() >= 2 {
        let size = changes.len().div_ceil(parts);
        let chunks: Vec<Vec<Change>> = changes.chunks(size).map(<[Change]>::to_vec).collect();
        if let Some(chunk) = chunks
            .iter()
            .find(|chunk| chunk.len() < changes.len() && does(chunk))
        {
            (changes, parts) = (chunk.clone(), 2);
            continue;
        }
        let without = |number: usize| -> Vec<Change> {
            let rest = chunks
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != number);
            rest.flat_map(|(_, chunk)| chunk.clone()).collect()
        };
        if let Some(rest) = (0..chunks.len())
            .map(without)
            .find(|rest| !rest.is_empty() && does(rest))
        {
            (changes, parts) = (rest, (parts - 1).max(2));
            continue;
        }
        if parts >= changes.len() {
            break;
        }
        parts = (parts * 2).min(changes.len());
    }
    changes
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(name: &str) -> Change {
        Change::remove(name)
    }

    #[test]
    fn delta_debugging_finds_the_two_that_do_it_together() {
        let all: Vec<Change> = (0..17).map(|n| change(&format!("k{n}"))).collect();
        let mut tries = 0;
        let found = least(all, &mut |changes| {
            tries += 1;
            ["k3", "k12"]
                .iter()
                .all(|name| changes.iter().any(|change| change.path == *name))
        });
        assert_eq!(found, [change("k3"), change("k12")]);
        assert!(tries < 60, "{tries} tries");
    }
}
