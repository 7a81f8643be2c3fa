//! Detection of misspelled keys. The platform's settings have more keys than are read here, so an unknown key is a
//! fault only if it resembles a known key that is missing.

use crate::fault::{nearest, Faults};
use crate::key_path::{join, split_parent};
use crate::platform::{SettingKey, KEYS};
use crate::tree::{Node, Place};
use std::sync::Arc;

/// Jaro-Winkler similarity (0 to 1) above which an unknown key counts as a misspelling of a missing one.
const MIN_SIMILARITY: f64 = 0.93;

/// Adds a fault if the unknown key at `path` is probably a misspelling of a missing key.
pub(super) fn check(file: &Arc<str>, path: &str, place: Place, tree: &Node, faults: &mut Faults) {
    let (parent, name) = split_parent(path);
    let pattern = parent_pattern(parent);
    let siblings = KEYS.iter().filter_map(|key| name_below(key, &pattern));
    let Some(nearest) = nearest(name, siblings) else {
        return;
    };
    let nearest_path = join(parent, nearest);
    let is_missing = tree.at(&nearest_path).is_none();
    if is_missing && strsim::jaro_winkler(name, nearest) > MIN_SIMILARITY {
        let problem = format!("unknown key; did you mean {nearest}?");
        faults.add(file, place, path, problem);
    }
}

/// Returns the last part of a key's pattern, if the key is directly below `parent_pattern`.
fn name_below(key: &SettingKey, parent_pattern: &str) -> Option<&'static str> {
    let (parent, name) = split_parent(key.pattern);
    (parent == parent_pattern).then_some(name)
}

/// Returns the path with its indices replaced by `N`.
fn parent_pattern(parent: &str) -> String {
    let parts: Vec<_> = parent
        .split('.')
        .map(|part| match part.parse::<u32>() {
            Ok(_) => "N",
            Err(_) => part,
        })
        .collect();
    parts.join(".")
}
