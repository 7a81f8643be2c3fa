//! Paths of keys: names and indices, separated by dots.

/// The path of a key below `parent`, which is empty for the top of a file.
pub(crate) fn join(parent: &str, key: &str) -> String {
    if parent.is_empty() {
        key.to_owned()
    } else {
        format!("{parent}.{key}")
    }
}

/// The path above a key, which is empty for the top of a file, and the key's own name.
pub(crate) fn split_parent(path: &str) -> (&str, &str) {
    path.rsplit_once('.').unwrap_or(("", path))
}
