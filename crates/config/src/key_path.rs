//! Key paths: names and indices separated by dots.

/// Returns the path of `key` below `parent`. The path of the top level is empty.
pub(crate) fn join(parent: &str, key: &str) -> String {
    if parent.is_empty() {
        key.to_owned()
    } else {
        format!("{parent}.{key}")
    }
}

/// Splits a path into its parent, which is empty for a key at the top level, and the key's own name.
pub(crate) fn split_parent(path: &str) -> (&str, &str) {
    path.rsplit_once('.').unwrap_or(("", path))
}
