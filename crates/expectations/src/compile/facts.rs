//! The facts of an installation: the actual behaviour of hosts and the rules that hold whatever the settings say.

use super::aliases;
use super::installation::{set_if_some, Installation};
use super::reading::{index_of_name, members};
use crate::error::ValueError;
use quartzcleat_config::reader::{one_of_renamed, text};
use quartzcleat_config::tree::{Entry, Node};
use quartzcleat_config::{quantity, Faults, Reader};
use quartzcleat_decision::api::{Class, DedupScope, Effect, Nanos, Settings};
use std::sync::Arc;

/// How hosts treat repeated requests of a class.
#[derive(Clone, Copy)]
struct Repeats {
    effect: Effect,
    dedup_scope: DedupScope,
}

const REPEATS: [(&str, Repeats); 5] = [
    ("idempotent", repeats(Effect::Idempotent, DedupScope::All)),
    ("never", repeats(Effect::Unsafe, DedupScope::Cell)),
    (
        "deduplicated by all",
        repeats(Effect::IdempotentWithKey, DedupScope::All),
    ),
    (
        "deduplicated by the zone",
        repeats(Effect::IdempotentWithKey, DedupScope::Zone),
    ),
    (
        "deduplicated by the cell",
        repeats(Effect::IdempotentWithKey, DedupScope::Cell),
    ),
];

const fn repeats(effect: Effect, dedup_scope: DedupScope) -> Repeats {
    Repeats {
        effect,
        dedup_scope,
    }
}

impl Installation {
    /// Reads facts and applies them to the ground truth, which otherwise equals the deployment's settings.
    pub(super) fn read_facts(&mut self, node: Option<&Node>, file: &Arc<str>, faults: &mut Faults) {
        let Some(node) = node else { return };
        let truth = &mut self.ground_truth;
        let mut map = Reader::new(file, "facts", node, faults).with_aliases(aliases::FACT_KEYS);
        set_if_some(
            &mut truth.grace.drain,
            map.take("drain_grace", faults, quantity::duration),
        );
        let max_attempts = map.take("max_attempts", faults, |node| {
            quantity::count(node, 1..=100)
        });
        set_if_some(
            &mut truth.attempts.max_per_request,
            max_attempts.map(|count| count as u32),
        );
        if let Some(node) = map.node("slow_start") {
            read_slow_start(truth, node, file, faults);
        }
        if let Some(node) = map.node("classes") {
            self.read_class_facts(node, file, faults);
        }
        map.end(faults);
    }

    fn read_class_facts(&mut self, node: &Node, file: &Arc<str>, faults: &mut Faults) {
        let names = &self.processes.classes;
        for Entry {
            key: name,
            place,
            value: node,
        } in members(node, file, "facts.classes", faults)
        {
            let path = format!("facts.classes.{name}");
            match index_of_name(name, names, "class") {
                Ok(index) => {
                    let class = &mut self.ground_truth.classes[index];
                    let mut map = Reader::new(file, &path, node, faults)
                        .with_aliases(aliases::CLASS_FACT_KEYS);
                    read_class(&mut map, class, &mut self.work[index], faults);
                    map.end(faults);
                }
                Err(problem) => faults.add(file, *place, path, problem),
            }
        }
    }
}

fn read_slow_start(truth: &mut Settings, node: &Node, file: &Arc<str>, faults: &mut Faults) {
    let mut map =
        Reader::new(file, "facts.slow_start", node, faults).with_aliases(aliases::SLOW_START_KEYS);
    set_if_some(
        &mut truth.slow_start.initial_capacity,
        map.take("initial_capacity", faults, quantity::share),
    );
    set_if_some(
        &mut truth.slow_start.duration,
        map.take("duration", faults, quantity::duration),
    );
    set_if_some(
        &mut truth.slow_start.overload_duration,
        map.take("overload_duration", faults, quantity::duration),
    );
    set_if_some(
        &mut truth.slow_start.overload_factor,
        map.take("overload_factor", faults, quantity::number),
    );
    map.end(faults);
}

fn read_class(map: &mut Reader<'_>, class: &mut Class, work: &mut Nanos, faults: &mut Faults) {
    if let Some(repeats) = map.take("repeats", faults, read_repeats) {
        class.effect = repeats.effect;
        class.dedup_scope = repeats.dedup_scope;
    }
    set_if_some(
        &mut class.dedup_window,
        map.take("dedup_window", faults, quantity::duration),
    );
    set_if_some(work, map.take("work", faults, quantity::duration));
}

fn read_repeats(node: &Node) -> Result<Repeats, ValueError> {
    Ok(one_of_renamed(&text(node)?, &REPEATS, aliases::REPEATS)?)
}
