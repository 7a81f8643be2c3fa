//! Files of expectations, read as far as they can be without a day's settings: names, places and the parts that
//! [`mod@crate::compile`] makes sense of.

use quartzcleat_config::reader::{list, text};
use quartzcleat_config::tree::{self, Content, Node};
use quartzcleat_config::{Faults, Reader};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// One expectation as written.
#[derive(Clone, Debug)]
pub struct Expectation {
    /// The file it stands in.
    pub file: Arc<str>,
    /// Its line.
    pub line: u32,
    /// Its name, a sentence.
    pub name: String,
    /// What is given, beside what the installation gives.
    pub given: Node,
    /// What happens.
    pub when: Node,
    /// What must hold.
    pub must: Node,
}

/// One file of expectations.
#[derive(Clone, Debug)]
pub struct Suite {
    /// The file's name.
    pub file: Arc<str>,
    /// The day's settings that it is meant for.
    pub settings: PathBuf,
    /// What is given to all of them, and the file that says so.
    pub installation: (Arc<str>, Node),
    /// The expectations.
    pub expectations: Vec<Expectation>,
}

/// Reads a file of expectations, and the installation that it names. Expectations without a fault are kept beside
/// the faults of the others.
///
/// # Errors
/// Where nothing of the file can be used.
pub fn read(path: &Path, faults: &mut Faults) -> Option<Suite> {
    read_with(path, &|path| std::fs::read_to_string(path), faults)
}

/// As [`read`], with files that come from elsewhere than the file system.
///
/// # Errors
/// Where nothing of the file can be used.
pub fn read_with(
    path: &Path,
    from: &dyn Fn(&Path) -> io::Result<String>,
    faults: &mut Faults,
) -> Option<Suite> {
    let (file, tree) = load(path, from, faults)?;
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
    let installation = load(&installation?, from, faults)?;
    let mut expectations: Vec<Expectation> = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let empty = Node {
            place: node.place,
            content: Content::Null,
        };
        let mut found = Faults::default();
        let mut one = Reader::new(&file, &format!("expectations.{index}"), node, &mut found);
        let name = one.need("name", &mut found, text);
        let given = one.node("given").cloned().unwrap_or_else(|| empty.clone());
        let when = one.node("when").cloned().unwrap_or_else(|| empty.clone());
        let must = one.node("must").cloned().unwrap_or(empty);
        if list(&when).is_empty() {
            one.fault("when", "nothing happens; write a list of steps", &mut found);
        }
        if list(&must).is_empty() {
            one.fault("must", "nothing must hold; write a list", &mut found);
        }
        one.node("why");
        one.end(&mut found);
        let name = name.unwrap_or_default();
        if let Some(other) = expectations.iter().find(|other| other.name == name) {
            let line = other.line;
            found.add(
                &file,
                node.place,
                format!("expectations.{index}.name"),
                format!("as on line {line}"),
            );
        }
        if found.is_empty() {
            expectations.push(Expectation {
                file: file.clone(),
                line: node.place.line,
                name,
                given,
                when,
                must,
            });
        }
        faults.0.extend(found.0);
    }
    Some(Suite {
        file,
        settings: settings?,
        installation,
        expectations,
    })
}

/// Reads a YAML file.
fn load(
    path: &Path,
    from: &dyn Fn(&Path) -> io::Result<String>,
    faults: &mut Faults,
) -> Option<(Arc<str>, Node)> {
    let file: Arc<str> = path.display().to_string().into();
    let text = match from(path) {
        Ok(text) => text,
        Err(e) => {
            faults.add(
                &file,
                tree::Place::default(),
                "",
                format!("cannot read: {e}"),
            );
            return None;
        }
    };
    match tree::parse(&file, &text) {
        Ok(tree) => Some((file, tree)),
        Err(found) => {
            faults.0.extend(found.0);
            None
        }
    }
}

/// The files of expectations that paths name: files, and folders of them. An installation's file is none.
pub fn find(paths: &[PathBuf]) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for path in paths {
        if path.is_dir() {
            // A folder within is another deployment's.
            let folders = std::fs::read_dir(path)
                .into_iter()
                .flatten()
                .flatten()
                .map(|entry| entry.path());
            let mut folders: Vec<_> = folders.filter(|path| path.is_dir()).collect();
            folders.sort();
            let entries = std::fs::read_dir(path)
                .into_iter()
                .flatten()
                .flatten()
                .map(|entry| entry.path());
            let mut files: Vec<_> = entries
                .filter(|file| {
                    file.extension()
                        .is_some_and(|end| end == "yaml" || end == "yml")
                })
                .filter(|file| {
                    !file
                        .file_stem()
                        .is_some_and(|stem| stem.to_string_lossy().starts_with("installation"))
                })
                .collect();
            files.sort();
            found.extend(files);
            found.extend(find(&folders));
        } else {
            found.push(path.clone());
        }
    }
    found
}
