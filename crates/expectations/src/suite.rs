//! Files of expectations, read as far as they can be without a deployment's settings: names, places and the parts
//! that [`mod@crate::compile`] interprets.

use quartzcleat_config::reader::{list, text};
use quartzcleat_config::tree::{self, Content, Node};
use quartzcleat_config::{Faults, Reader};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// One expectation as written.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// The name of its file.
    pub file: Arc<str>,
    /// Its line.
    pub line: u32,
    /// Its name, a sentence.
    pub name: String,
    /// The facts that the expectation adds to the installation.
    pub given: Node,
    /// The steps.
    pub when: Node,
    /// The requirements.
    pub must: Node,
}

/// A file and the tree that was parsed from it.
#[derive(Clone, Debug)]
pub struct ParsedFile {
    /// The file's name.
    pub file: Arc<str>,
    /// Its content.
    pub tree: Node,
}

/// One file of expectations.
#[derive(Clone, Debug)]
pub struct Suite {
    /// The file's name.
    pub file: Arc<str>,
    /// The file with the settings of the deployment that it is meant for.
    pub settings: PathBuf,
    /// The installation, which all expectations share.
    pub installation: ParsedFile,
    /// The expectations.
    pub expectations: Vec<Expectation>,
}

/// Reads a file of expectations and the installation that it names. Valid expectations are kept beside the faults of
/// others; `None` where nothing of the file can be used.
pub fn read(path: &Path, faults: &mut Faults) -> Option<Suite> {
    read_with(path, &|path| std::fs::read_to_string(path), faults)
}

/// As [`read`], with files that come from elsewhere than the file system.
pub fn read_with(
    path: &Path,
    read_file: &dyn Fn(&Path) -> io::Result<String>,
    faults: &mut Faults,
) -> Option<Suite> {
    let ParsedFile { file, tree } = load(path, read_file, faults)?;
    let mut top = Reader::new(&file, "", &tree, faults);
    let beside = |name: &str| path.parent().unwrap_or(Path::new(".")).join(name);
    let settings = top.need("settings", faults, text).map(|name| beside(&name));
    let installation = top
        .need("installation", faults, text)
        .map(|name| beside(&name));
    let nodes = top.node("expectations").map(list).unwrap_or_default();
    if nodes.is_empty() {
        top.fault("expectations", "none; write a list of them", faults);
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

/// Reads the valid expectations of a list.
fn read_expectations(file: &Arc<str>, nodes: &[Node], faults: &mut Faults) -> Vec<Expectation> {
    let mut expectations: Vec<Expectation> = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let path = format!("expectations.{index}");
        let mut found = Faults::default();
        let expectation = read_expectation(file, &path, node, &mut found);
        let same_name = |other: &&Expectation| other.name == expectation.name;
        if let Some(other) = expectations.iter().find(same_name) {
            let problem = format!("as on line {}", other.line);
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
        map.fault("when", "nothing happens; write a list of steps", faults);
    }
    if list(&must).is_empty() {
        map.fault("must", "nothing must hold; write a list", faults);
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

/// Reads a YAML file.
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

/// The files of expectations that paths name: files, and folders of them. The file of an installation is none.
#[must_use]
pub fn find(paths: &[PathBuf]) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = entries_of(path);
            found.extend(entries.iter().filter(|path| is_suite(path)).cloned());
            // A folder within belongs to another deployment.
            let folders: Vec<PathBuf> = entries.into_iter().filter(|path| path.is_dir()).collect();
            found.extend(find(&folders));
        } else {
            found.push(path.clone());
        }
    }
    found
}

/// The sorted entries of a folder; none where it cannot be read.
fn entries_of(folder: &Path) -> Vec<PathBuf> {
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
