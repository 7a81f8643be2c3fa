//! Readers of values that several sections of an expectation share.

use super::Compiler;
use crate::error::ValueError;
use quartzcleat_config::reader::{list, one_of_renamed, text, Alias, Reader};
use quartzcleat_config::tree::{Content, Entry, Node};
use quartzcleat_config::{formula, Faults};
use quartzcleat_decision::api::{ClassIndex, LimiterIndex, Nanos};
use quartzcleat_invariants::{HostIndex, PartnerIndex, Process};
use std::sync::Arc;

/// Returns the members of a map whose keys are names; none, with a fault, if the node is neither a map nor null.
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
            faults.add(file, node.place, key, "not a map with names as keys");
            &[]
        }
    }
}

/// Reads a name and returns its index in `names`.
pub(super) fn index_of(
    node: &Node,
    names: &[String],
    kind: &'static str,
) -> Result<usize, ValueError> {
    index_of_name(&text(node)?, names, kind)
}

/// Returns the index of a name in `names`. `kind` is the term for it in the error.
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

/// Reads the name of a process and returns its index.
pub(super) fn index_of_process(
    node: &Node,
    processes: &[Process],
    kind: &'static str,
) -> Result<usize, ValueError> {
    index_of(node, &process_names(processes), kind)
}

/// Returns the names of processes, by index.
pub(super) fn process_names(processes: &[Process]) -> Vec<String> {
    processes
        .iter()
        .map(|process| process.name.clone())
        .collect()
}

/// Reads one keyword or a list that is not empty.
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
        return Err(ValueError::EmptyKeywords);
    }
    Ok(values)
}

/// Mutually exclusive keys, of which a map must have exactly one.
pub(super) struct ExclusiveKeys {
    pub(super) keys: &'static [&'static str],
    /// The problem of a map that has none of the keys.
    pub(super) missing: &'static str,
    /// The remedy for a map that has several of the keys.
    pub(super) remedy: &'static str,
}

/// A map that does not have exactly one of several mutually exclusive keys.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExclusiveKeysError {
    /// The map has none of the keys.
    #[error("{missing}; specify one of {}", keys.join(", "))]
    None {
        missing: &'static str,
        keys: &'static [&'static str],
    },
    /// The map has several of the keys.
    #[error("{} exclude each other; {remedy}", found.join(" and "))]
    Several {
        found: Vec<&'static str>,
        remedy: &'static str,
    },
}

impl ExclusiveKeys {
    /// Returns the one key that the map has.
    pub(super) fn find_in(&self, map: &Reader<'_>) -> Result<&'static str, ExclusiveKeysError> {
        let keys = self.keys.iter().copied();
        let found: Vec<&'static str> = keys.filter(|key| map.has(key)).collect();
        match found.as_slice() {
            [kind] => Ok(kind),
            [] => Err(ExclusiveKeysError::None {
                missing: self.missing,
                keys: self.keys,
            }),
            _ => Err(ExclusiveKeysError::Several {
                found,
                remedy: self.remedy,
            }),
        }
    }
}

impl Compiler<'_> {
    /// Reads a time, which may be a formula over the settings.
    pub(super) fn time(&mut self, node: &Node) -> Result<Nanos, ValueError> {
        let formula = formula::duration(node, &|name| self.deployment.resolve(name))?;
        self.setting_keys.extend(formula.keys);
        Ok(formula.value)
    }

    /// Reads one time or a list that is not empty.
    pub(super) fn times(&mut self, node: &Node) -> Result<Vec<Nanos>, ValueError> {
        let times: Vec<Nanos> = list(node)
            .iter()
            .map(|node| self.time(node))
            .collect::<Result<_, _>>()?;
        if times.is_empty() {
            return Err(ValueError::EmptyTimes);
        }
        Ok(times)
    }

    /// Reads a number, which may be a formula over the settings.
    pub(super) fn number(&mut self, node: &Node) -> Result<f64, ValueError> {
        let formula = formula::number(node, &|name| self.deployment.resolve(name))?;
        self.setting_keys.extend(formula.keys);
        Ok(formula.value)
    }

    /// Reads one number or a list of them, which may be empty.
    pub(super) fn numbers(&mut self, node: &Node) -> Result<Vec<f64>, ValueError> {
        list(node).iter().map(|node| self.number(node)).collect()
    }

    /// Reads the name of a class.
    pub(super) fn class(&self, node: &Node) -> Result<ClassIndex, ValueError> {
        index_of(node, &self.processes.classes, "class").map(ClassIndex::from_usize)
    }

    /// Reads the name of a partner or a list of names, which may be empty.
    pub(super) fn partners<C: FromIterator<PartnerIndex>>(
        &self,
        node: &Node,
    ) -> Result<C, ValueError> {
        list(node)
            .iter()
            .map(|node| index_of(node, &self.processes.partners, "partner").map(PartnerIndex))
            .collect()
    }

    /// Reads the name of a limiter.
    pub(super) fn limiter(&self, node: &Node) -> Result<LimiterIndex, ValueError> {
        index_of_process(node, &self.processes.limiters, "limiter").map(LimiterIndex::from_usize)
    }

    /// Reads the name of a limiter or a list of names, which may be empty.
    pub(super) fn limiters(&self, node: &Node) -> Result<Vec<LimiterIndex>, ValueError> {
        list(node).iter().map(|node| self.limiter(node)).collect()
    }

    /// Reads the name of a host.
    pub(super) fn host(&self, node: &Node) -> Result<HostIndex, ValueError> {
        index_of_process(node, &self.processes.hosts, "node").map(HostIndex)
    }
}
