//! Seeded damage to the decision crate: a copy of the workspace is patched, built, and its expectations run. A
//! damage that no expectation catches shows what the expectations do not cover.

mod damages;
#[cfg(test)]
mod tests;

use clap::Args;
use damages::{Damage, DAMAGES};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use thiserror::Error;

/// Seeded damage to the decision crate, built from patched copies: which expectation catches it.
#[derive(Debug, Args)]
pub(crate) struct Module {
    /// The workspace.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Where copies are built.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Only damages whose description contains this.
    #[arg(long, default_value = "")]
    only: String,
}

/// Path of the decision crate's sources in the workspace.
const MODULE_PATH: &str = "crates/decision/src";

/// Parts of the workspace that a build and a run of the expectations need.
const COPIED_PARTS: [&str; 8] = [
    "Cargo.toml",
    "Cargo.lock",
    "README.md",
    "src",
    "crates",
    "deploy",
    "tests",
    "examples",
];

/// Why the damages could not be tried.
#[derive(Debug, Error)]
pub(crate) enum ModuleError {
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The text that a damage replaces is not in the file.
    #[error("{file}: {original:?} does not stand there any more")]
    TextNotFound {
        /// Path of the file in the decision crate.
        file: &'static str,
        /// The text.
        original: &'static str,
    },
    /// A part of the workspace cannot be copied.
    #[error("cannot copy {part}")]
    Copy {
        /// The part.
        part: &'static str,
    },
    /// A program cannot be started.
    #[error("cannot start {program}: {source}")]
    Start {
        /// The program.
        program: &'static str,
        /// The cause.
        source: io::Error,
    },
    /// A damaged copy does not build.
    #[error("does not build: {output}")]
    Build {
        /// The compiler's messages.
        output: String,
    },
    /// The report of the expectations is not valid JSON.
    #[error("the report of the expectations: {0}")]
    Report(#[from] serde_json::Error),
    /// The report of the expectations has no results.
    #[error("the report of the expectations has no results")]
    NoResults,
}

impl ModuleError {
    fn at(path: &Path) -> impl Fn(io::Error) -> ModuleError + '_ {
        move |source| ModuleError::File {
            path: path.to_owned(),
            source,
        }
    }

    fn start(program: &'static str) -> impl Fn(io::Error) -> ModuleError {
        move |source| ModuleError::Start { program, source }
    }
}

impl Module {
    /// Patches, builds and checks a copy for each damage. Returns a table of the expectations that caught it.
    ///
    /// # Errors
    /// A copy cannot be made or built, or the text of a damage is not found.
    pub(crate) fn run(self) -> Result<String, ModuleError> {
        let folder = self
            .folder
            .unwrap_or_else(|| std::env::temp_dir().join("quartzcleat-module"));
        let source = self.root.join(MODULE_PATH);
        copy_workspace(&self.root, &folder)?;
        let mut table = String::from("| damage | file | caught by |\n| --- | --- | --- |\n");
        let mut tried = 0;
        let mut caught = 0;
        let is_selected = |damage: &&Damage| damage.description.contains(&self.only);
        for damage in DAMAGES.iter().filter(is_selected) {
            let failed = damage.check(&source, &folder)?;
            tried += 1;
            if !failed.is_empty() {
                caught += 1;
            }
            let (description, file) = (damage.description, damage.file);
            let row = format!("| {description} | {file} | {} |\n", summary(&failed));
            table += &row;
        }
        Ok(format!(
            "{table}\n{tried} single changes to the module: {caught} caught\n"
        ))
    }
}

impl Damage {
    /// Damages the crate in a copy and restores it. Returns the expectations that failed in between.
    fn check(&self, source: &Path, folder: &Path) -> Result<Vec<String>, ModuleError> {
        let path = source.join(self.file);
        let text = std::fs::read_to_string(&path).map_err(ModuleError::at(&path))?;
        if !text.contains(self.original) {
            return Err(ModuleError::TextNotFound {
                file: self.file,
                original: self.original,
            });
        }
        let copy = folder.join(MODULE_PATH).join(self.file);
        let damaged = text.replacen(self.original, self.damaged, 1);
        std::fs::write(&copy, damaged).map_err(ModuleError::at(&copy))?;
        let failed = failed_expectations(folder)?;
        std::fs::write(&copy, &text).map_err(ModuleError::at(&copy))?;
        Ok(failed)
    }
}

/// The first of the failed expectations and the number of the others.
fn summary(failed: &[String]) -> String {
    match failed {
        [] => "**nothing**".to_owned(),
        [name] => name.clone(),
        [name, others @ ..] => format!("{name} and {} more", others.len()),
    }
}

/// Copies the parts of the workspace that a build needs.
fn copy_workspace(root: &Path, folder: &Path) -> Result<(), ModuleError> {
    std::fs::create_dir_all(folder).map_err(ModuleError::at(folder))?;
    for part in COPIED_PARTS {
        let copied = Command::new("cp")
            .arg("-rp")
            .arg(root.join(part))
            .arg(folder)
            .status();
        if !copied.is_ok_and(|status| status.success()) {
            return Err(ModuleError::Copy { part });
        }
    }
    Ok(())
}

/// The expectations that do not hold with the crate as it is in a copy.
fn failed_expectations(folder: &Path) -> Result<Vec<String>, ModuleError> {
    build(folder)?;
    let ran = Command::new(folder.join("target/debug/quartzcleat"))
        .args(["expect", "--no-blame", "--no-vary", "--format", "json"])
        .current_dir(folder)
        .output()
        .map_err(ModuleError::start("quartzcleat"))?;
    let report: serde_json::Value = serde_json::from_slice(&ran.stdout)?;
    let results = report["results"].as_array().ok_or(ModuleError::NoResults)?;
    let failed = results.iter().filter(|result| result["verdict"] != "held");
    Ok(failed
        .filter_map(|result| result["name"].as_str().map(str::to_owned))
        .collect())
}

fn build(folder: &Path) -> Result<(), ModuleError> {
    let built = Command::new("cargo")
        .args(["build", "--quiet", "--offline", "--bin", "quartzcleat"])
        .current_dir(folder)
        .env("CARGO_PROFILE_DEV_OPT_LEVEL", "1")
        .output()
        .map_err(ModuleError::start("cargo"))?;
    if built.status.success() {
        return Ok(());
    }
    let output = String::from_utf8_lossy(&built.stderr).into_owned();
    Err(ModuleError::Build { output })
}
