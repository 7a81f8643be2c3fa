//! Files of expectations, read as far as is possible without the settings of a deployment: names, positions, and the
//! YAML trees that [`mod@crate::compile`] interprets.

use quartzcleat_config::reader::{list, text};
use quartzcleat_config::tree::{self, Content, Node};
use quartzcleat_config::{Faults, Reader};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// One expectation as it is written in its file.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// The name of the file that contains it.
    pub file: Arc<str>,
    /// The line at which it begins, counted from 1.
    pub line: u32,
    /// The name: a sentence that is unique in the file.
    pub name: String,
    /// The section `given`: facts added to the installation, settings, and choices for the search; null if missing.
    pub given: Node,
    /// The list of steps.
    pub when: Node,
    /// The list of requirements.
    pub must: Node,
}

/// A YAML file and the tree that was parsed from it.
#[derive(Clone, Debug)]
pub struct ParsedFile {
    /// The file's name.
    pub file: Arc<str>,
    /// The root node of the file.
    pub tree: Node,
}

/// One file of expectations.
#[derive(Clone, Debug)]
pub struct Suite {
    /// The file's name.
    pub file: Arc<str>,
    /// The path of the settings of the deployment that the file is written for.
    pub settings: PathBuf,
    /// The installation that all expectations of the file share.
    pub installation: ParsedFile,
    /// The valid expectations of the file.
    pub expectations: Vec<Expectation>,
}

/// Reads a file of expectations and the installation that it names. Returns the valid expectations even if others have
/// faults, and `None` if nothing in the file is usable.
pub fn read(path: &Path, faults: &mut Faults) -> Option<Suite> {
    read_with(path, &|path| std::fs::read_to_string(path), faults)
}

/// Reads a file of expectations as [`read`] does, with `read_file` in place of the file system.
pub fn read_with(
    path: &Path,
    read_file: &dyn Fn(&Path) -> io::Result<String>,
    faults: &mut Faults,
) -> Option<Suite> {
    let ParsedFile { file, tree } = load(path, read_file, faults)?;
    let mut top = Reader::new(&file, "", &tree, faults);
    let sibling = |name: &str| path.parent().unwrap_or(Path::new(".")).join(name);
    let settings = top
        .need("settings", faults, text)
        .map(|name| sibling(&name));
    let installation = top
        .need("installation", faults, text)
        .map(|name| sibling(&name));
    let nodes = top.node("expectations").map(list).unwrap_or_default();
    if nodes.is_empty() {
        top.fault(
            "expectations",
            "missing or empty; write a list of expectations",
            faults,
        );
    }
    top.end(faults);
    let installation = load(&installation?, read_file, faults)?;
    let expectations = read_expectations(&file, nodes, faults);
    Some(Suite {
        file,
        settings: settings?,
        installation,
        expectations,
    })
}

/// Reads a list of expectations and returns the valid ones.
fn read_expectations(file: &Arc<str>, nodes: &[Node], faults: &mut Faults) -> Vec<Expectation> {
    let mut expectations: Vec<Expectation> = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let path = format!("expectations.{index}");
        let mut found = Faults::default();
        let expectation = read_expectation(file, &path, node, &mut found);
        let same_name = |other: &&Expectation| other.name == expectation.name;
        if let Some(other) = expectations.iter().find(same_name) {
            let problem = format!("duplicate name; first used on line {}", other.line);
            found.add(file, node.place, format!("{path}.name"), problem);
        }
        if found.is_empty() {
            expectations.push(expectation);
        }
        faults.0.extend(found.0);
    }
    expectations
}

fn read_expectation(file: &Arc<str>, path: &str, node: &Node, faults: &mut Faults) -> Expectation {
    let empty = Node {
        place: node.place,
        content: Content::Null,
    };
    let mut map = Reader::new(file, path, node, faults);
    let name = map.need("name", faults, text);
    let given = map.node("given").unwrap_or(&empty).clone();
    let when = map.node("when").unwrap_or(&empty).clone();
    let must = map.node("must").unwrap_or(&empty).clone();
    if list(&when).is_empty() {
        map.fault("when", "missing or empty; write a list of steps", faults);
    }
    if list(&must).is_empty() {
        map.fault(
            "must",
            "missing or empty; write a list of requirements",
            faults,
        );
    }
    map.node("why");
    map.end(faults);
    Expectation {
        file: file.clone(),
        line: node.place.line,
        name: name.unwrap_or_default(),
        given,
        when,
        must,
    }
}

/// Reads and parses a YAML file. Returns `None`, and adds the faults, if either fails.
fn load(
    path: &Path,
    read_file: &dyn Fn(&Path) -> io::Result<String>,
    faults: &mut Faults,
) -> Option<ParsedFile> {
    let file: Arc<str> = path.display().to_string().into();
    let text = match read_file(path) {
        Ok(text) => text,
        Err(error) => {
            let problem = format!("cannot read: {error}");
            faults.add(&file, tree::Place::default(), "", problem);
            return None;
        }
    };
    match tree::parse(&file, &text) {
        Ok(tree) => Some(ParsedFile { file, tree }),
        Err(found) => {
            faults.0.extend(found.0);
            None
        }
    }
}

/// Returns the files of expectations at `paths`. A folder stands for all files of expectations in it and in the folders
/// below; installation files are left out.
#[must_use]
pub fn find(paths: &[PathBuf]) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = sorted_entries(path);
            found.extend(entries.iter().filter(|path| is_suite(path)).cloned());
            // A subfolder holds the expectations of another deployment.
            let folders: Vec<PathBuf> = entries.into_iter().filter(|path| path.is_dir()).collect();
            found.extend(find(&folders));
        } else {
            found.push(path.clone());
        }
    }
    found
}

/// Returns the sorted entries of a folder; an empty list if it cannot be read.
fn sorted_entries(folder: &Path) -> Vec<PathBuf> {
    let mut entries: Vec<PathBuf> = std::fs::read_dir(folder)
        .into_iter()
        .flatten()
        .flatten()
        .map(|entry| entry.path())
        .collect();
    entries.sort();
    entries
}

fn is_suite(path: &Path) -> bool {
    let is_yaml = path
        .extension()
        .is_some_and(|extension| extension == "yaml" || extension == "yml");
    let is_installation = path
        .file_stem()
        .is_some_and(|stem| stem.to_string_lossy().starts_with("installation"));
    is_yaml && !is_installation
}
