//! What must hold: whom a demand is about, and its figures in the terms of the day.

use crate::compile::Ground;
use crate::installation::{place_of, process};
use crate::must::{Bounds, Demand, Event, Filter, Must, Sum};
use quartzcleat_config::reader::{list, one_of, text};
use quartzcleat_config::tree::{Content, Node};
use quartzcleat_config::{quantity, Faults, Reader};
use quartzcleat_decision::api::{HostState, Nanos};
use std::sync::Arc;

impl Ground<'_> {
    pub(crate) fn must(
        &mut self,
        file: &Arc<str>,
        index: usize,
        node: &Node,
        faults: &mut Faults,
    ) -> Option<Must> {
        let path = format!("must.{index}");
        let mut map = Reader::new(file, &path, node, faults);
        let mut filter = Filter::default();
        let classes = self.processes.classes.clone();
        filter.class = map.take("class", faults, |node| {
            place_of(&text(node)?, &classes, "class")
        });
        let partners = self.processes.partners.clone();
        filter.partners = map.take("from", faults, |node| {
            list(node)
                .iter()
                .map(|node| place_of(&text(node)?, &partners, "partner"))
                .collect()
        });
        let limiters = self.processes.limiters.clone();
        filter.through = map.take("through", faults, |node| {
            process(&limiters, &text(node)?, "limiter")
        });
        let marks = self.marks.clone();
        filter.mark = map.take("mark", faults, |node| {
            let name = text(node)?;
            marks
                .get(&name)
                .copied()
                .ok_or_else(|| format!("no request is marked {name:?}"))
        });
        filter.after = map
            .take("after", faults, |node| self.time(node))
            .unwrap_or(0);
        filter.until = map.take("until", faults, |node| self.time(node));
        filter.retries = map.word("tries", &[("first", false), ("further", true)], faults);
        let kinds = [
            "never",
            "always",
            "attempts",
            "runs",
            "open",
            "units",
            "sent",
            "served",
            "refused",
            "failed",
            "crossings",
            "share",
            "answered",
            "told",
        ];
        let found: Vec<&str> = kinds
            .into_iter()
            .filter(|kind| node.get(kind).is_some())
            .collect();
        let [kind] = found.as_slice() else {
            let problem = if found.is_empty() {
                format!("demands nothing; one of {}", kinds.join(", "))
            } else {
                format!("{} at once; write an entry for each", found.join(" and "))
            };
            faults.add(file, node.place, path, problem);
            return None;
        };
        let grace = map
            .take("within", faults, |node| self.time(node))
            .unwrap_or(0);
        let demand = match *kind {
            "never" => map
                .take("never", faults, |node| self.event(&text(node)?, grace))
                .map(Demand::Never),
            "always" => map
                .take("always", faults, |node| {
                    let event = self.event(&text(node)?, grace)?;
                    match event {
                        Event::ReachesLeaving(..) | Event::SameNodeTwice => {
                            Err("says nothing of every request; use never".to_owned())
                        }
                        event => Ok(event),
                    }
                })
                .map(Demand::Always),
            "answered" => map
                .take("answered", faults, |node| self.time(node))
                .map(Demand::Within),
            "told" => {
                let bounds = map
                    .node("told")
                    .map(|node| self.bounds(file, &path, "told", node, true, faults));
                bounds.map(|(bounds, _)| Demand::Told(bounds))
            }
            kind => {
                let node = map.node(kind_name(kind));
                let sum = match kind {
                    "attempts" => Sum::Attempts,
                    "runs" => Sum::Runs,
                    "open" => Sum::Open,
                    "units" => Sum::Units,
                    "sent" => Sum::Sent,
                    "served" => Sum::Served,
                    "refused" => Sum::Refused,
                    "failed" => Sum::Failed,
                    "crossings" => Sum::Crossings,
                    _ => Sum::Share(0),
                };
                node.and_then(|node| {
                    let (bounds, of) = self.bounds(file, &path, kind, node, false, faults);
                    match (sum, of) {
                        (Sum::Share(_), Some(host)) => {
                            Some(Demand::Figure(Sum::Share(host), bounds))
                        }
                        (Sum::Share(_), None) => {
                            faults.add(
                                file,
                                node.place,
                                format!("{path}.share.of"),
                                "missing; name a node",
                            );
                            None
                        }
                        _ => Some(Demand::Figure(sum, bounds)),
                    }
                })
            }
        };
        map.end(faults);
        Some(Must {
            filter,
            demand: demand?,
            line: node.place.line,
        })
    }

    fn event(&self, words: &str, grace: Nanos) -> Result<Event, String> {
        if let Some(name) = words.strip_prefix("reaches node ") {
            return process(&self.processes.hosts, name, "node").map(Event::Reaches);
        }
        one_of(
            words,
            &[
                ("reaches a draining node", 0),
                ("reaches a lost node", 1),
                ("reaches a cold node", 2),
                ("leaves its room", 3),
                ("meets a node twice", 4),
                ("is refused", 5),
                ("is refused untold", 6),
                ("is served", 7),
                ("fails", 8),
            ],
        )
        .map(|number| match number {
            0 => Event::ReachesLeaving(HostState::Draining, grace),
            1 => Event::ReachesLeaving(HostState::Gone, grace),
            2 => Event::ReachesCold,
            3 => Event::LeavesRoom,
            4 => Event::SameNodeTwice,
            5 => Event::Refused,
            6 => Event::RefusedUntold,
            7 => Event::Served,
            _ => Event::Failed,
        })
    }

    /// Bounds from `{at least: ..., at most: ...}` or from one figure, which is the most.
    fn bounds(
        &mut self,
        file: &Arc<str>,
        path: &str,
        kind: &str,
        node: &Node,
        time: bool,
        faults: &mut Faults,
    ) -> (Bounds, Option<usize>) {
        let key = format!("{path}.{kind}");
        let mut part = false;
        let mut value = |ground: &mut Self, node: &Node| -> Result<f64, String> {
            if time {
                return ground.time(node).map(|nanos| nanos as f64);
            }
            if node.text().is_some_and(|text| text.ends_with('%')) {
                part = true;
                return quantity::share(node);
            }
            ground.number(node)
        };
        if !matches!(node.content, Content::Map(_)) {
            let most = match value(self, node) {
                Ok(most) => Some(most),
                Err(problem) => {
                    faults.add(file, node.place, key, problem);
                    None
                }
            };
            return (
                Bounds {
                    least: None,
                    most,
                    part,
                },
                None,
            );
        }
        let mut map = Reader::new(file, &key, node, faults);
        let least = map.take("at least", faults, |node| value(self, node));
        let most = map.take("at most", faults, |node| value(self, node));
        let of = map.take("of", faults, |node| {
            process(&self.processes.hosts, &text(node)?, "node")
        });
        if least.is_none() && most.is_none() {
            map.fault("at most", "missing, and at least too", faults);
        }
        if least.zip(most).is_some_and(|(least, most)| least > most) {
            map.fault(
                "at least",
                "more than at most; nothing lies between",
                faults,
            );
        }
        map.end(faults);
        (Bounds { least, most, part }, of)
    }
}

fn kind_name(kind: &str) -> &'static str {
    [
        "attempts",
        "runs",
        "open",
        "units",
        "sent",
        "served",
        "refused",
        "failed",
        "crossings",
        "share",
    ]
    .into_iter()
    .find(|name| *name == kind)
    .unwrap_or("share")
}
