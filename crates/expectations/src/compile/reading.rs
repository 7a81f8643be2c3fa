//! Reading values of the files, as far as several parts of an expectation share it.

use super::Compiler;
use crate::error::ValueError;
use quartzcleat_config::reader::{list, one_of_renamed, text, Alias, Reader};
use quartzcleat_config::tree::{Content, Entry, Node};
use quartzcleat_config::{formula, Faults};
use quartzcleat_decision::api::{ClassIndex, LimiterIndex, Nanos};
use quartzcleat_invariants::{HostIndex, PartnerIndex, Process};
use std::sync::Arc;

/// The members of a map whose keys are names.
pub(super) fn members<'a>(
    node: &'a Node,
    file: &Arc<str>,
    key: &str,
    faults: &mut Faults,
) -> &'a [Entry] {
    match &node.content {
        Content::Map(members) => members,
        Content::Null => &[],
        _ => {
            faults.add(file, node.place, key, "not a map of names");
            &[]
        }
    }
}

/// The index of a name.
pub(super) fn index_of(
    node: &Node,
    names: &[String],
    kind: &'static str,
) -> Result<usize, ValueError> {
    index_of_name(&text(node)?, names, kind)
}

/// The index of a name that was read before.
pub(super) fn index_of_name(
    name: &str,
    names: &[String],
    kind: &'static str,
) -> Result<usize, ValueError> {
    names
        .iter()
        .position(|known| known == name)
        .ok_or_else(|| ValueError::unknown_name(kind, name, names))
}

/// The index of a process by its name.
pub(super) fn index_of_process(
    node: &Node,
    processes: &[Process],
    kind: &'static str,
) -> Result<usize, ValueError> {
    index_of(node, &process_names(processes), kind)
}

/// The names of processes.
pub(super) fn process_names(processes: &[Process]) -> Vec<String> {
    processes
        .iter()
        .map(|process| process.name.clone())
        .collect()
}

/// One keyword or a list of them.
pub(super) fn keywords<T: Copy>(
    node: &Node,
    known: &[(&str, T)],
    aliases: &[Alias],
) -> Result<Vec<T>, ValueError> {
    let values: Vec<T> = list(node)
        .iter()
        .map(|node| Ok(one_of_renamed(&text(node)?, known, aliases)?))
        .collect::<Result<_, ValueError>>()?;
    if values.is_empty() {
        return Err(ValueError::NoKeyword);
    }
    Ok(values)
}

/// The keys of which a map must have exactly one, which states the kind of the map.
pub(super) struct Kinds {
    pub(super) keys: &'static [&'static str],
    /// The problem with a map that has none of them.
    pub(super) lacking: &'static str,
    /// How to write a map that has several of them.
    pub(super) remedy: &'static str,
}

/// A map does not have exactly one of the keys that state its kind.
#[derive(Debug, thiserror::Error)]
pub(super) enum KindError {
    /// It has none.
    #[error("{lacking}; one of {}", keys.join(", "))]
    None {
        lacking: &'static str,
        keys: &'static [&'static str],
    },
    /// It has several.
    #[error("{} at once; {remedy}", found.join(" and "))]
    Several {
        found: Vec<&'static str>,
        remedy: &'static str,
    },
}

impl Kinds {
    /// The one key of a map that states its kind.
    pub(super) fn of(&self, map: &Reader<'_>) -> Result<&'static str, KindError> {
        let keys = self.keys.iter().copied();
        let found: Vec<&'static str> = keys.filter(|key| map.has(key)).collect();
        match found.as_slice() {
            [kind] => Ok(kind),
            [] => Err(KindError::None {
                lacking: self.lacking,
                keys: self.keys,
            }),
            _ => Err(KindError::Several {
                found,
                remedy: self.remedy,
            }),
        }
    }
}

impl Compiler<'_> {
    /// A time, which may be a formula over the settings.
    pub(super) fn time(&mut self, node: &Node) -> Result<Nanos, ValueError> {
        let formula = formula::duration(node, &|name| self.deployment.resolve(name))?;
        self.setting_keys.extend(formula.keys);
        Ok(formula.value)
    }

    /// One time or a list of them.
    pub(super) fn times(&mut self, node: &Node) -> Result<Vec<Nanos>, ValueError> {
        let times: Vec<Nanos> = list(node)
            .iter()
            .map(|node| self.time(node))
            .collect::<Result<_, _>>()?;
        if times.is_empty() {
            return Err(ValueError::NoTime);
        }
        Ok(times)
    }

    /// A number, which may be a formula over the settings.
    pub(super) fn number(&mut self, node: &Node) -> Result<f64, ValueError> {
        let formula = formula::number(node, &|name| self.deployment.resolve(name))?;
        self.setting_keys.extend(formula.keys);
        Ok(formula.value)
    }

    /// One number or a list of them.
    pub(super) fn numbers(&mut self, node: &Node) -> Result<Vec<f64>, ValueError> {
        list(node).iter().map(|node| self.number(node)).collect()
    }

    /// A class by its name.
    pub(super) fn class(&self, node: &Node) -> Result<ClassIndex, ValueError> {
        index_of(node, &self.processes.classes, "class").map(ClassIndex::from_usize)
    }

    /// One partner or a list of them, by name.
    pub(super) fn partners<C: FromIterator<PartnerIndex>>(
        &self,
        node: &Node,
    ) -> Result<C, ValueError> {
        list(node)
            .iter()
            .map(|node| index_of(node, &self.processes.partners, "partner").map(PartnerIndex))
            .collect()
    }

    /// A limiter by its name.
    pub(super) fn limiter(&self, node: &Node) -> Result<LimiterIndex, ValueError> {
        index_of_process(node, &self.processes.limiters, "limiter").map(LimiterIndex::from_usize)
    }

    /// One limiter or a list of them, by name.
    pub(super) fn limiters(&self, node: &Node) -> Result<Vec<LimiterIndex>, ValueError> {
        list(node).iter().map(|node| self.limiter(node)).collect()
    }

    /// A host by its name.
    pub(super) fn host(&self, node: &Node) -> Result<HostIndex, ValueError> {
        index_of_process(node, &self.processes.hosts, "node").map(HostIndex)
    }
}
