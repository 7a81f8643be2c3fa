//! `quartzcleat check`: settings are read as a limiter would read them, and everything wrong with them is said.

use super::{print, serve, Format};
use crate::net::config;
use clap::Args;
use quartzcleat_expectations::check::read_deployment;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Read settings and say all that is wrong with them.
///
/// A file is a platform's configuration (JSON with listen, discovery, settings), or a day's settings alone (JSON or
/// YAML). Our own file is checked with --config. Nothing is started and nothing is listened on.
#[derive(Debug, Args)]
pub struct Check {
    /// Configurations and days; BALANCER_CONFIG's where none is named.
    files: Vec<PathBuf>,
    /// The form of the report.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

impl Check {
    /// Checks.
    pub fn run(self, product: Option<&Path>) -> ExitCode {
        let mut files = self.files.clone();
        if files.is_empty() {
            files.extend(std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
        }
        if files.is_empty() && product.is_none() {
            eprintln!("quartzcleat: no file to check; name one, or set BALANCER_CONFIG");
            return ExitCode::from(2);
        }
        let mut told: Vec<(String, Vec<String>)> = Vec::new();
        if let Some(path) = product {
            let faults = serve::product(Some(path))
                .err()
                .map(|text| text.lines().map(str::to_owned).collect());
            told.push((path.display().to_string(), faults.unwrap_or_default()));
        }
        told.extend(
            files
                .iter()
                .map(|path| (path.display().to_string(), faults(path))),
        );
        print(&report(&told, self.format));
        ExitCode::from(u8::from(told.iter().any(|(_, faults)| !faults.is_empty())))
    }
}

fn faults(path: &Path) -> Vec<String> {
    let mut faults = match read_deployment(path) {
        Ok(_) => Vec::new(),
        Err(found) => found.0.iter().map(ToString::to_string).collect(),
    };
    // A whole configuration has more than a day's settings: addresses, limits, the list as last held.
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let whole = serde_json::from_str::<serde_json::Value>(&text)
        .is_ok_and(|file| file.get("settings").is_some());
    if whole && faults.is_empty() {
        let read = config::read(&text, |name| std::env::var(name).ok());
        faults.extend(
            read.err()
                .map(|problem| format!("{}: {problem}", path.display())),
        );
    }
    faults
}

fn report(told: &[(String, Vec<String>)], format: Format) -> String {
    match format {
        Format::Human => told
            .iter()
            .map(|(file, faults)| {
                if faults.is_empty() {
                    format!("{file}: sound\n")
                } else {
                    faults.iter().map(|fault| format!("{fault}\n")).collect()
                }
            })
            .collect(),
        Format::Json => {
            let files: Vec<_> = told
                .iter()
                .map(|(file, faults)| serde_json::json!({"file": file, "sound": faults.is_empty(), "faults": faults}))
                .collect();
            format!("{}\n", serde_json::Value::from(files))
        }
        Format::Junit => {
            use quartzcleat_expectations::report::{junit_case, junit_suite};
            let cases: Vec<_> = told
                .iter()
                .map(|(file, faults)| junit_case(file, "check", &faults.join("\n")))
                .collect();
            junit_suite("check", &cases)
        }
    }
}
