//! A day's settings with their lines: what the platform's configuration tells of classes, plans, times and rules,
//! as JSON or, for people, as YAML with units.

use crate::fault::{nearest, Faults};
use crate::figure::Named;
use crate::platform::{self, Kind};
use crate::quantity;
use crate::tree::{self, Content, Node, Place};
use quartzcleat_decision::api::{Effect, Settings};
use std::sync::Arc;

/// A day's settings, read and checked.
#[derive(Clone, Debug)]
pub struct Day {
    /// The file's name, as it was given.
    pub file: Arc<str>,
    /// The settings as a tree with places, below `settings` where the file is a limiter's whole configuration.
    pub tree: Node,
    /// What the decision module is told; `me` and `zone` are each limiter's own.
    pub settings: Settings,
    /// The names of the rooms, in the order of their numbers.
    pub rooms: Vec<String>,
}

/// One key changed: its path and its new content, or nothing where it is taken out.
pub type Change = (String, Option<Content>);

impl Day {
    /// Reads a day.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn read(file: &str, text: &str) -> Result<Day, Faults> {
        let file: Arc<str> = file.into();
        let tree = tree::parse(&file, text)?;
        let tree = tree.get("settings").cloned().unwrap_or(tree);
        Day::of(file, tree)
    }

    /// A day from its tree.
    ///
    /// # Errors
    /// All faults of the tree.
    pub fn of(file: Arc<str>, tree: Node) -> Result<Day, Faults> {
        let mut faults = Faults::default();
        if !matches!(tree.content, Content::Map(_)) {
            faults.add(&file, tree.place, "", "not a map of settings");
            return Err(faults);
        }
        let mut plain = tree.clone();
        for (path, node) in tree.leaves() {
            let Some((_, kind, _)) = platform::key_of(&path) else {
                suspect(&file, &path, node.place, &tree, &mut faults);
                continue;
            };
            if let (Kind::Time, Content::Text(_)) = (kind, &node.content) {
                match quantity::time(node) {
                    Ok(nanos) => drop(plain.set(&path, Content::Number(nanos as f64))),
                    Err(problem) => faults.add(&file, node.place, path, problem),
                }
            }
        }
        let pairs = platform::flatten(&plain.to_json()).map_err(|problem| {
            let mut faults = Faults::default();
            faults.add(&file, tree.place, "", problem);
            faults
        })?;
        let borrowed = pairs
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_str()))
            .collect();
        let settings = platform::decode(borrowed).unwrap_or_else(|found| {
            for fault in found {
                let place = tree.at(&fault.path).map_or(tree.place, |node| node.place);
                if !faults.0.iter().any(|known| known.key == fault.path) {
                    faults.add(&file, place, fault.path, fault.problem);
                }
            }
            Settings::default()
        });
        let names = tree
            .get("zones")
            .map(crate::reader::list)
            .unwrap_or_default();
        let rooms = names.iter().filter_map(Node::text).collect();
        let day = Day {
            file,
            tree,
            settings,
            rooms,
        };
        if faults.none() {
            day.contradictions(&mut faults);
        }
        faults.or(day)
    }

    /// The same day with some keys changed.
    ///
    /// # Errors
    /// All faults of what comes of it.
    pub fn with(&self, changes: &[Change]) -> Result<Day, Faults> {
        let mut tree = self.tree.clone();
        for (path, content) in changes {
            match content {
                Some(content) => drop(tree.set(path, content.clone())),
                None => drop(tree.remove(path)),
            }
        }
        Day::of(self.file.clone(), tree)
    }

    /// The line of a key, or of what is nearest above it.
    pub fn line(&self, path: &str) -> u32 {
        let mut path = path;
        loop {
            if let Some(node) = self.tree.at(path) {
                return node.place.line;
            }
            match path.rsplit_once('.') {
                Some((above, _)) => path = above,
                None => return self.tree.place.line,
            }
        }
    }

    /// The keys that say something: paths that are read, with their nodes.
    pub fn keys(&self) -> Vec<(String, &Node)> {
        let leaves = self.tree.leaves();
        leaves
            .into_iter()
            .filter(|(path, _)| platform::key_of(path).is_some())
            .collect()
    }

    /// What a name stands for: `plans.guide.burst`, `classes.bed-hold.aim`, `limits.attempts`, `safety.drain`.
    ///
    /// # Errors
    /// Which part of the name is not known.
    pub fn look(&self, name: &str) -> Result<Named, String> {
        let parts: Vec<&str> = name.split('.').collect();
        let unknown = |word: &str, known: &[&str]| {
            let hint = nearest(word, known.iter().copied());
            Err(match hint {
                Some(near) => format!("{name}: {word:?} is not known; did you mean {near}?"),
                None => format!("{name}: {word:?} is not known; one of {}", known.join(", ")),
            })
        };
        let named = |value: f64, time: bool, key: String| Ok(Named { value, time, key });
        match parts.as_slice() {
            ["plans", plan, figure] => {
                let names: Vec<_> = self
                    .settings
                    .plans
                    .iter()
                    .map(|plan| plan.name.as_str())
                    .collect();
                let Some(index) = names.iter().position(|name| name == plan) else {
                    return unknown(plan, &names);
                };
                let plan = &self.settings.plans[index];
                let key = |key: &str| format!("contracts.{index}.{key}");
                match *figure {
                    "rate" => named(plan.rate, false, key("refill")),
                    "burst" => named(plan.burst, false, key("peakUnits")),
                    "open" => named(f64::from(plan.open), false, key("concurrency")),
                    "worth" => named(plan.weight_factor, false, key("worthFactor")),
                    "overrun" => named(plan.over_quota_cost, false, key("overrunCost")),
                    "extra" => named(plan.over_quota_weight, false, key("extraWorth")),
                    other => unknown(
                        other,
                        &["rate", "burst", "open", "worth", "overrun", "extra"],
                    ),
                }
            }
            ["classes", class, figure] => {
                let names: Vec<_> = self
                    .settings
                    .classes
                    .iter()
                    .map(|class| class.name.as_str())
                    .collect();
                let Some(index) = names.iter().position(|name| name == class) else {
                    return unknown(class, &names);
                };
                let class = &self.settings.classes[index];
                let key = |key: &str| format!("categories.{index}.{key}");
                match *figure {
                    "aim" => named(class.latency_objective as f64, true, key("onTimeNs")),
                    "deadline" => named(class.deadline as f64, true, key("hardLimitNs")),
                    "window" => named(class.dedup_window as f64, true, key("dedupWindowNs")),
                    "worth" => named(class.priority_weight, false, key("importance")),
                    "late" => named(class.late_weight, false, key("lateWorth")),
                    other => unknown(other, &["aim", "deadline", "window", "worth", "late"]),
                }
            }
            ["limits", figure] => match *figure {
                "attempts" => named(
                    f64::from(self.settings.max_attempts),
                    false,
                    "limits.sendCap".into(),
                ),
                "open" => named(
                    f64::from(self.settings.max_open),
                    false,
                    "limits.openCap".into(),
                ),
                "come-back" => named(
                    self.settings.longest_retry_after as f64,
                    true,
                    "limits.maxRetryAfterNs".into(),
                ),
                "connect" => named(
                    self.settings.connect_timeout as f64,
                    true,
                    "limits.connectTimeoutNs".into(),
                ),
                other => unknown(other, &["attempts", "open", "come-back", "connect"]),
            },
            ["safety", figure] => match *figure {
                "drain" => named(
                    self.settings.drain_grace as f64,
                    true,
                    "safety.drainGraceNs".into(),
                ),
                "warm" => named(
                    self.settings.slow_start_duration as f64,
                    true,
                    "safety.warmAfterNs".into(),
                ),
                "tip" => named(
                    self.settings.overload_duration as f64,
                    true,
                    "safety.tipAfterNs".into(),
                ),
                "cold" => named(
                    self.settings.slow_start_floor,
                    false,
                    "safety.coldFrom".into(),
                ),
                "overload" => named(
                    self.settings.overload_factor,
                    false,
                    "safety.overloadFactor".into(),
                ),
                other => unknown(other, &["drain", "warm", "tip", "cold", "overload"]),
            },
            ["counter", "timeout"] => {
                let timeout = self.settings.counter_timeout as f64;
                named(timeout, true, "familyInfo.counterTimeoutNs".into())
            }
            ["units", "top"] => named(
                self.settings.largest_request,
                false,
                "familyInfo.unitsTop".into(),
            ),
            ["limiters"] => named(
                f64::from(self.settings.limiter_count),
                false,
                "balancers".into(),
            ),
            [first, ..] => unknown(
                first,
                &[
                    "plans", "classes", "limits", "safety", "counter", "units", "limiters",
                ],
            ),
            [] => Err("no name".to_owned()),
        }
    }

    /// What cannot hold together.
    fn contradictions(&self, faults: &mut Faults) {
        let mut fault = |key: String, problem: String| {
            let place = Place {
                line: self.line(&key),
                column: 1,
            };
            faults.add(&self.file, place, key, problem);
        };
        let set = &self.settings;
        for (i, class) in set.classes.iter().enumerate() {
            let key = |key: &str| format!("categories.{i}.{key}");
            if class.name.is_empty() {
                fault(key("name"), "missing; requests name their class".into());
            }
            if class.deadline == 0 || class.latency_objective > class.deadline {
                let (latency_objective, deadline) = (
                    quantity::show_time(class.latency_objective),
                    quantity::show_time(class.deadline),
                );
                fault(
                    key("hardLimitNs"),
                    format!("{deadline} is not after the aim, {latency_objective}"),
                );
            }
            if class.effect == Effect::Keyed && class.dedup_window == 0 {
                fault(
                    key("dedupWindowNs"),
                    "missing; a keyed class needs the time in which repeats drop".into(),
                );
            }
        }
        for (i, plan) in set.plans.iter().enumerate() {
            let key = |key: &str| format!("contracts.{i}.{key}");
            if plan.name.is_empty() {
                fault(key("name"), "missing; requests name their plan".into());
            }
            if plan.rate < 0.0 || plan.burst < 0.0 {
                fault(key("refill"), "a quota is not below 0".into());
            }
            if plan.rate > 0.0 && plan.burst < set.largest_request {
                let (burst, top) = (plan.burst, set.largest_request);
                fault(
                    key("peakUnits"),
                    format!("{burst} is less than one request may count, {top}"),
                );
                let problem = format!("{top} is more than the burst of {}, {burst}", plan.name);
                fault("familyInfo.unitsTop".into(), problem);
            }
        }
        if set.max_attempts == 0 {
            fault(
                "limits.sendCap".into(),
                "0; at least one attempt is needed".into(),
            );
        }
        if set.counter && set.counter_timeout == 0 {
            fault(
                "familyInfo.counterTimeoutNs".into(),
                "missing, where there is a counter".into(),
            );
        }
        if set.retry_after && set.longest_retry_after == 0 {
            fault(
                "limits.maxRetryAfterNs".into(),
                "missing, where clients are told when to come back".into(),
            );
        }
        if !(0.0..=1.0).contains(&set.slow_start_floor) {
            fault(
                "safety.coldFrom".into(),
                format!("{} is not a part from 0 to 1", set.slow_start_floor),
            );
        }
        if set.limiter_count > 0 && set.me >= set.limiter_count {
            fault(
                "me".into(),
                format!(
                    "{} is not below the number of limiters, {}",
                    set.me, set.limiter_count
                ),
            );
        }
    }
}

/// A key that is not read is a fault only where it looks like one that is read and missing: the platform's
/// settings hold more than this program reads.
fn suspect(file: &Arc<str>, path: &str, place: Place, tree: &Node, faults: &mut Faults) {
    let (above, name) = path.rsplit_once('.').unwrap_or(("", path));
    let under = |(known, ..): &&'static (&'static str, Kind, &'static str)| {
        let (known_above, _) = known.rsplit_once('.').unwrap_or(("", known));
        let here: Vec<_> = above
            .split('.')
            .map(|p| if p.parse::<u32>().is_ok() { "N" } else { p })
            .collect();
        known_above == here.join(".")
    };
    let names = platform::KEYS
        .iter()
        .filter(under)
        .map(|(known, ..)| known.rsplit_once('.').map_or(*known, |(_, name)| name));
    let Some(near) = nearest(name, names) else {
        return;
    };
    let there = if above.is_empty() {
        near.to_owned()
    } else {
        format!("{above}.{near}")
    };
    if strsim::jaro_winkler(name, near) > 0.93 && tree.at(&there).is_none() {
        faults.add(
            file,
            place,
            path,
            format!("unknown key; did you mean {near}?"),
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAY: &str = "\
balancers: 3
quantumNs: 4ms
zones: [room-a, room-b]
categories:
  - {name: bed-hold, effect: dedup, group: all, dedupWindowNs: 4s, onTimeNs: 1s, hardLimitNs: 4000000000}
contracts:
  - {name: guide, refill: 1.6, peakUnits: 8}
familyInfo: {counter: true, counterTimeoutNs: 30ms, unitsTop: 6}
limits: {sendCap: 4, retryAfter: true, maxRetryAfterNs: 1s}
safety: {drainGraceNs: 1s, coldFrom: 0.15, warmAfterNs: 18s, overloadFactor: 3}
";

    #[test]
    fn a_day_is_read_with_units_and_names() {
        let day = Day::read("day.yaml", DAY).expect("sound");
        assert_eq!(
            (day.settings.tick, day.settings.classes[0].deadline),
            (4_000_000, 4_000_000_000)
        );
        assert_eq!(
            day.look("plans.guide.burst").map(|named| named.value),
            Ok(8.0)
        );
        assert_eq!(day.line("contracts.0.peakUnits"), 7);
        assert!(day
            .look("plans.gide.burst")
            .expect_err("a typing error")
            .contains("guide"));
        assert!(day.look("classes.bed-hold.aims").is_err() && day.look("nothing").is_err());
        let whole = format!("{{\"name\": \"n\", \"settings\": {}}}", day.tree.to_json());
        assert_eq!(
            Day::read("config.json", &whole)
                .expect("sound")
                .settings
                .plans,
            day.settings.plans
        );
    }

    #[test]
    fn all_faults_come_at_once_with_their_lines() {
        let text = DAY
            .replace("4ms", "soon")
            .replace("refill: 1.6", "refil: 1.6")
            .replace("retryAfter: true", "retryAfter: si");
        let faults = Day::read("day.yaml", &text).expect_err("three faults");
        let lines: Vec<_> = faults
            .0
            .iter()
            .map(|fault| (fault.place.line, fault.key.as_str()))
            .collect();
        assert_eq!(
            lines,
            [
                (2, "quantumNs"),
                (7, "contracts.0.refil"),
                (9, "limits.retryAfter")
            ],
            "{faults}"
        );
    }

    #[test]
    fn contradictions_are_faults() {
        for (from, to, key) in [
            ("onTimeNs: 1s", "onTimeNs: 9s", "categories.0.hardLimitNs"),
            ("dedupWindowNs: 4s, ", "", "categories.0.dedupWindowNs"),
            ("peakUnits: 8", "peakUnits: 5", "contracts.0.peakUnits"),
            ("sendCap: 4", "sendCap: 0", "limits.sendCap"),
            ("coldFrom: 0.15", "coldFrom: 15", "safety.coldFrom"),
        ] {
            let faults = Day::read("day.yaml", &DAY.replace(from, to)).expect_err(key);
            assert_eq!(faults.0[0].key, key, "{faults}");
        }
    }

    #[test]
    fn a_key_put_back_changes_only_itself() {
        let day = Day::read("day.yaml", DAY).expect("sound");
        let changed = day
            .with(&[("limits.sendCap".into(), Some(Content::Number(7.0)))])
            .expect("sound");
        assert_eq!(
            (changed.settings.max_attempts, changed.settings.plans.len()),
            (7, 1)
        );
        assert!(day.with(&[("limits.sendCap".into(), None)]).is_err());
    }
}
