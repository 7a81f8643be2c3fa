//! Seeded damage to a day's settings, one key at a time: which expectation catches it, and whether the search for a
//! verdict's cause names the line.

mod table;

use crate::error::BenchError;
use clap::Args;
use quartzcleat_config::tree::Content;
use quartzcleat_config::Deployment;
use quartzcleat_expectations::check::read_deployment;
use quartzcleat_expectations::{check, CheckReport, ExpectationResult, Options, Verdict};
use std::path::{Path, PathBuf};
use table::{DamagedValue, SettingDamage, DAMAGES};

const TABLE_HEAD: &str = "| damage | key, line | caught by | named by search | named beside the old file |\n| --- | --- | --- | --- | --- |\n";

/// Seeded damage to a day's settings: which expectation catches it, and whether the line is named.
#[derive(Debug, Args)]
pub(crate) struct Damage {
    /// The expectations.
    #[arg(long, default_value = "deploy/expectations")]
    expectations: PathBuf,
    /// The day that is damaged.
    #[arg(long, default_value = "deploy/imlil-main.yaml")]
    settings: PathBuf,
}

/// The outcome of one damage.
struct DamageResult {
    /// The damaged line; zero where the damaged file cannot be read.
    line: u32,
    detection: Detection,
}

/// How a damage is caught.
enum Detection {
    /// The settings are refused, with the key in the message.
    RefusedSettings,
    /// By the expectations that do not hold.
    Expectations {
        /// Their names.
        failed: Vec<String>,
        /// Whether the line is named without the sound file.
        named_by_search: bool,
        /// Whether it is named in a comparison with the sound file.
        named_by_comparison: bool,
    },
}

impl DamageResult {
    fn is_caught(&self) -> bool {
        match &self.detection {
            Detection::RefusedSettings => true,
            Detection::Expectations { failed, .. } => !failed.is_empty(),
        }
    }

    fn is_named_by_search(&self) -> bool {
        match self.detection {
            Detection::RefusedSettings => true,
            Detection::Expectations {
                named_by_search, ..
            } => named_by_search,
        }
    }

    fn is_named_by_comparison(&self) -> bool {
        match self.detection {
            Detection::RefusedSettings => true,
            Detection::Expectations {
                named_by_comparison,
                ..
            } => named_by_comparison,
        }
    }

    fn row(&self, damage: &SettingDamage) -> String {
        let SettingDamage {
            key, description, ..
        } = damage;
        match &self.detection {
            Detection::RefusedSettings => {
                format!("| {description} | `{key}` | refused as a contradiction | yes | yes |\n")
            }
            Detection::Expectations { failed, .. } => format!(
                "| {description} | `{key}`, {} | {} | {} | {} |\n",
                self.line,
                summary(failed),
                yes_or_no(self.is_named_by_search()),
                yes_or_no(self.is_named_by_comparison())
            ),
        }
    }
}

impl Damage {
    /// Tries all damages; returns a table.
    ///
    /// # Errors
    /// Fails where the day cannot be read or damaged files cannot be written.
    pub(crate) fn run(self) -> Result<String, BenchError> {
        let day = read_deployment(&self.settings)?;
        let file = format!("quartzcleat-damage-{}.yaml", std::process::id());
        let path = std::env::temp_dir().join(file);
        let mut table = TABLE_HEAD.to_owned();
        let mut results = Vec::new();
        for damage in DAMAGES {
            let text = damaged_text(&day, damage)?;
            std::fs::write(&path, text).map_err(BenchError::at(&path))?;
            let result = self.check(damage, &path);
            table += &result.row(damage);
            results.push(result);
        }
        // A file that stays behind does not concern the result.
        let _ = std::fs::remove_file(&path);
        let count = |is: fn(&DamageResult) -> bool| results.iter().filter(|row| is(row)).count();
        Ok(table
            + &format!(
                "\n{} single changes: {} caught; the line named in {} by search alone and in {} beside the old file\n",
                DAMAGES.len(),
                count(DamageResult::is_caught),
                count(DamageResult::is_named_by_search),
                count(DamageResult::is_named_by_comparison)
            ))
    }

    /// Checks the expectations with damaged settings.
    fn check(&self, damage: &SettingDamage, damaged: &Path) -> DamageResult {
        let line = read_deployment(damaged).map_or(0, |day| day.line(damage.key));
        let outcome = self.expectations_with(damaged, None);
        let refused = outcome
            .faults
            .iter()
            .any(|fault| fault.contains(damage.key));
        if refused {
            return DamageResult {
                line,
                detection: Detection::RefusedSettings,
            };
        }
        let failed: Vec<String> = outcome
            .results
            .iter()
            .filter(|result| result.verdict != Verdict::Held)
            .map(|result| result.name.clone())
            .collect();
        let named_by_search = names_line(&outcome, damage.key, line);
        let named_by_comparison = !failed.is_empty() && {
            let compared = self.expectations_with(damaged, Some(self.settings.clone()));
            names_line(&compared, damage.key, line)
        };
        DamageResult {
            line,
            detection: Detection::Expectations {
                failed,
                named_by_search,
                named_by_comparison,
            },
        }
    }

    fn expectations_with(&self, settings: &Path, against: Option<PathBuf>) -> CheckReport {
        check(&Options {
            paths: vec![self.expectations.clone()],
            settings: Some(settings.to_owned()),
            compare_with: against,
            check_vacuity: false,
            ..Options::default()
        })
    }
}

/// Whether an outcome names the key in a note or its line as the source of a verdict.
fn names_line(outcome: &CheckReport, key: &str, line: u32) -> bool {
    let results = &outcome.results;
    let noted = |result: &ExpectationResult| result.notes.iter().any(|note| note.contains(key));
    if results.iter().any(noted) {
        return true;
    }
    let of_failures = results
        .iter()
        .filter_map(|result| result.failure.as_ref())
        .map(|failure| &failure.attribution);
    let of_changes = results
        .iter()
        .filter_map(|result| result.difference.as_ref())
        .map(|difference| &difference.attribution);
    let of_untested = results
        .iter()
        .filter_map(|result| result.attribution.as_ref());
    of_failures
        .chain(of_changes)
        .chain(of_untested)
        .flat_map(|sources| &sources.line_sets)
        .flatten()
        .any(|source| source.key == key && source.line == line)
}

/// The first of the failed expectations and the number of the others.
fn summary(failed: &[String]) -> String {
    match failed {
        [] => "**nothing**".to_owned(),
        [name] => name.clone(),
        [name, others @ ..] => format!("{name} and {} more", others.len()),
    }
}

fn yes_or_no(answer: bool) -> &'static str {
    if answer {
        "yes"
    } else {
        "no"
    }
}

/// The day's text with one key damaged, as JSON, which is read like YAML: a line for each key.
fn damaged_text(day: &Deployment, damage: &SettingDamage) -> Result<String, BenchError> {
    let content = match damage.value {
        DamagedValue::Number(value) => Content::Number(value),
        DamagedValue::Flag(flag) => Content::Flag(flag),
        DamagedValue::Keyword(keyword) => Content::Text(keyword.to_owned()),
    };
    let mut tree = day.tree.clone();
    if !tree.set(damage.key, content) {
        return Err(BenchError::UnknownKey {
            key: damage.key.to_owned(),
            file: day.file.to_string(),
        });
    }
    Ok(serde_json::to_string_pretty(&tree.to_json())?)
}
