//! The platform's settings of a deployment with their source lines: classes, plans, durations and limits. The file is
//! JSON, or YAML in which durations have units.

mod consistency;
mod names;
#[cfg(test)]
mod tests;
mod unknown_keys;

use crate::fault::Faults;
use crate::platform::{self, Kind};
use crate::quantity;
use crate::reader;
use crate::tree::{self, Content, Leaf, Node};
use quartzcleat_decision::api::Settings;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The validated settings of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The file name given by the caller, for error messages.
    pub file: Arc<str>,
    /// The settings as a tree with source locations. In a limiter's complete configuration, the part below `settings`.
    pub tree: Node,
    /// The settings of the decision engine. `me` and `zone` differ between the limiters of a deployment.
    pub settings: Settings,
    /// The names of the zones, indexed by zone ID.
    pub zone_names: Vec<String>,
}

/// A change to one key of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The path of the key, such as `limits.sendCap`.
    pub path: String,
    /// The new value, or `None` to remove the key.
    pub value: Option<Content>,
}

impl Change {
    /// Creates a change that sets a key to `value`.
    pub fn set(path: impl Into<String>, value: Content) -> Self {
        Change {
            path: path.into(),
            value: Some(value),
        }
    }

    /// Creates a change that removes a key.
    pub fn remove(path: impl Into<String>) -> Self {
        Change {
            path: path.into(),
            value: None,
        }
    }
}

impl Deployment {
    /// Parses and validates the text of a file. The settings are below the key `settings` if the file has one,
    /// otherwise at the top level.
    ///
    /// # Errors
    /// Returns all faults of the file.
    pub fn read(file: &str, text: &str) -> Result<Deployment, Faults> {
        let file: Arc<str> = file.into();
        let tree = tree::parse(&file, text)?;
        let tree = tree.get("settings").cloned().unwrap_or(tree);
        Deployment::from_tree(file, tree)
    }

    /// Decodes and validates the settings of a parsed tree.
    ///
    /// # Errors
    /// Returns all faults of the tree.
    pub fn from_tree(file: Arc<str>, tree: Node) -> Result<Deployment, Faults> {
        let mut faults = Faults::default();
        if !matches!(tree.content, Content::Map(_)) {
            faults.add(&file, tree.place, "", "the settings are not a map");
            return Err(faults);
        }
        let normalized = with_durations_in_nanos(&file, &tree, &mut faults);
        let settings = decode(&file, &tree, &normalized, &mut faults)?;
        let zone_names = zone_names(&tree);
        let deployment = Deployment {
            file,
            tree,
            settings,
            zone_names,
        };
        if faults.is_empty() {
            deployment.check_consistency(&mut faults);
        }
        faults.into_result(deployment)
    }

    /// Returns a copy of the deployment with `changes` applied in order.
    ///
    /// # Errors
    /// Returns all faults of the changed settings.
    pub fn with(&self, changes: &[Change]) -> Result<Deployment, Faults> {
        let mut tree = self.tree.clone();
        for Change { path, value } in changes {
            // A path that does not exist leaves the tree unchanged.
            match value {
                Some(value) => {
                    tree.set(path, value.clone());
                }
                None => {
                    tree.remove(path);
                }
            }
        }
        Deployment::from_tree(self.file.clone(), tree)
    }

    /// Returns the line of a key, or of its nearest ancestor in the file.
    #[must_use]
    pub fn line(&self, path: &str) -> u32 {
        let mut path = path;
        loop {
            if let Some(node) = self.tree.at(path) {
                return node.place.line;
            }
            match path.rsplit_once('.') {
                Some((parent, _)) => path = parent,
                None => return self.tree.place.line,
            }
        }
    }

    /// Returns the leaves whose keys are in the table of known keys, in file order.
    #[must_use]
    pub fn keys(&self) -> Vec<Leaf<'_>> {
        let leaves = self.tree.leaves();
        leaves
            .into_iter()
            .filter(|leaf| platform::key_of(&leaf.path).is_some())
            .collect()
    }
}

/// Returns a copy of the tree with all durations as numbers of nanoseconds. Adds a fault for each invalid duration and
/// each probable misspelling of a key.
fn with_durations_in_nanos(file: &Arc<str>, tree: &Node, faults: &mut Faults) -> Node {
    let mut normalized = tree.clone();
    for Leaf { path, node } in tree.leaves() {
        let Some(key) = platform::key_of(&path) else {
            unknown_keys::check(file, &path, node.place, tree, faults);
            continue;
        };
        if key.kind != Kind::Duration || !matches!(node.content, Content::Text(_)) {
            continue;
        }
        match quantity::duration(node) {
            // `set` succeeds: the path is a leaf of the same tree.
            Ok(nanos) => {
                normalized.set(&path, Content::Number(nanos as f64));
            }
            Err(problem) => faults.add(file, node.place, path, problem),
        }
    }
    normalized
}

/// Decodes the normalized tree. Faults are located by their keys in the original tree.
fn decode(
    file: &Arc<str>,
    tree: &Node,
    normalized: &Node,
    faults: &mut Faults,
) -> Result<Settings, Faults> {
    let pairs = platform::flatten(&normalized.to_json()).map_err(|problem| {
        let mut faults = Faults::default();
        faults.add(file, tree.place, "", problem);
        faults
    })?;
    let pairs: BTreeMap<&str, &str> = pairs
        .iter()
        .map(|(key, value)| (key.as_str(), value.as_str()))
        .collect();
    let settings = platform::decode(pairs).unwrap_or_else(|pair_faults| {
        for fault in pair_faults {
            let place = tree.at(&fault.path).map_or(tree.place, |node| node.place);
            let is_known = faults.0.iter().any(|known| known.key == fault.path);
            if !is_known {
                faults.add(file, place, fault.path, fault.problem);
            }
        }
        Settings::default()
    });
    Ok(settings)
}

fn zone_names(tree: &Node) -> Vec<String> {
    let zones = tree.get("zones").map(reader::list).unwrap_or_default();
    zones.iter().filter_map(Node::text).collect()
}
