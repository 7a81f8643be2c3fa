//! `quartzcleat check`: parses configurations as a limiter would and reports every fault.

use super::{print, serve, Format};
use crate::net::config;
use clap::Args;
use quartzcleat_expectations::check::read_deployment;
use quartzcleat_expectations::report::{junit_case, junit_suite};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code if there is nothing to check.
const EXIT_NO_FILES: u8 = 2;

/// Read configuration files and report all their faults.
///
/// A file holds either a platform's configuration (JSON with listen, discovery and settings) or only the settings of a
/// deployment (JSON or YAML). To check the product configuration, pass it as --config. No process is started and no
/// address is opened.
#[derive(Debug, Args)]
#[expect(
    clippy::doc_markdown,
    reason = "the comments are the text of --help, where backticks would be shown"
)]
pub struct Check {
    /// Configuration and deployment files; the file that BALANCER_CONFIG names if none is given.
    files: Vec<PathBuf>,
    /// Output format of the report.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// The result of checking one file.
struct CheckedFile {
    file: String,
    /// One line per fault; empty if the file is valid.
    faults: Vec<String>,
}

impl CheckedFile {
    fn is_valid(&self) -> bool {
        self.faults.is_empty()
    }
}

impl Check {
    /// Checks the files, prints the report and returns the exit code.
    ///
    /// `product` is the path of the product configuration, `None` if there is none to check.
    pub fn run(self, product: Option<&Path>) -> ExitCode {
        let mut files = self.files;
        if files.is_empty() {
            files.extend(std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
        }
        if files.is_empty() && product.is_none() {
            eprintln!("quartzcleat: no file to check; pass one or set BALANCER_CONFIG");
            return ExitCode::from(EXIT_NO_FILES);
        }
        let mut checked: Vec<CheckedFile> = product.map(check_product).into_iter().collect();
        checked.extend(files.iter().map(|path| check_configuration(path)));
        print(&report(&checked, self.format));
        let is_valid = checked.iter().all(CheckedFile::is_valid);
        ExitCode::from(u8::from(!is_valid))
    }
}

fn check_product(path: &Path) -> CheckedFile {
    let faults = match serve::read_product_config(Some(path)) {
        Ok(_) => Vec::new(),
        Err(error) => error.to_string().lines().map(str::to_owned).collect(),
    };
    CheckedFile {
        file: path.display().to_string(),
        faults,
    }
}

fn check_configuration(path: &Path) -> CheckedFile {
    let faults = match read_deployment(path) {
        Ok(_) => check_complete_configuration(path).into_iter().collect(),
        Err(faults) => faults.0.iter().map(ToString::to_string).collect(),
    };
    CheckedFile {
        file: path.display().to_string(),
        faults,
    }
}

/// Returns the fault of a limiter's complete configuration, which holds addresses, limits and the last endpoint list in
/// addition to a deployment's settings. `None` if it is valid or the file holds settings alone.
fn check_complete_configuration(path: &Path) -> Option<String> {
    // `read_deployment` has read the file before; if it has been removed since, there is nothing more to check.
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let file: Value = serde_json::from_str(&text).ok()?;
    file.get("settings")?;
    let parsed = config::parse(&text, |name| std::env::var(name).ok());
    parsed
        .err()
        .map(|error| format!("{}: {error}", path.display()))
}

fn report(checked: &[CheckedFile], format: Format) -> String {
    match format {
        Format::Human => checked.iter().map(report_human).collect(),
        Format::Json => {
            let files: Vec<_> = checked.iter().map(report_json).collect();
            format!("{}\n", Value::from(files))
        }
        Format::Junit => {
            let cases: Vec<_> = checked
                .iter()
                .map(|checked| junit_case(&checked.file, "check", &checked.faults.join("\n")))
                .collect();
            junit_suite("check", &cases)
        }
    }
}

fn report_human(checked: &CheckedFile) -> String {
    if checked.is_valid() {
        return format!("{}: valid\n", checked.file);
    }
    checked.faults.join("\n") + "\n"
}

fn report_json(checked: &CheckedFile) -> Value {
    json!({"file": checked.file, "sound": checked.is_valid(), "faults": checked.faults})
}
