//! The sources of the workspace, with and without those of tests.

use std::path::{Path, PathBuf};

/// The text of every source file of the program and its crates, with its path.
pub(crate) fn all() -> Vec<(PathBuf, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut folders = vec![root.join("src")];
    for entry in entries(&root.join("crates")) {
        folders.push(entry.join("src"));
    }
    folders.iter().flat_map(|folder| below(folder)).collect()
}

/// The text of every source file below a folder of the repository, or of one file.
pub(crate) fn below_root(path: &str) -> Vec<(PathBuf, String)> {
    below(&Path::new(env!("CARGO_MANIFEST_DIR")).join(path))
}

/// The text of every file that holds tests or code: the sources, the tests beside them and the folders of tests.
pub(crate) fn with_tests() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut text = String::new();
    for folder in ["src", "crates", "tests"] {
        append_sources(&root.join(folder), &mut text);
    }
    text
}

fn append_sources(path: &Path, text: &mut String) {
    if path.is_dir() {
        let entries = std::fs::read_dir(path).expect("a folder is read");
        for entry in entries {
            append_sources(&entry.expect("an entry is read").path(), text);
        }
    } else if path.extension().is_some_and(|extension| extension == "rs") {
        text.push_str(&std::fs::read_to_string(path).expect("a source is read"));
    }
}

fn below(path: &Path) -> Vec<(PathBuf, String)> {
    if path.is_dir() {
        return entries(path)
            .iter()
            .flat_map(|entry| below(entry))
            .collect();
    }
    let is_source = path.extension().is_some_and(|extension| extension == "rs");
    let is_test = path.file_stem().is_some_and(|stem| stem == "tests");
    if !is_source || is_test {
        return Vec::new();
    }
    let text = std::fs::read_to_string(path).expect("a source is read");
    vec![(path.to_owned(), text)]
}

/// The entries of a folder, sorted; a folder of tests is left out.
fn entries(folder: &Path) -> Vec<PathBuf> {
    let mut entries: Vec<PathBuf> = std::fs::read_dir(folder)
        .unwrap_or_else(|error| panic!("{}: {error}", folder.display()))
        .map(|entry| entry.expect("an entry is read").path())
        .filter(|path| !path.ends_with("tests"))
        .collect();
    entries.sort();
    entries
}
