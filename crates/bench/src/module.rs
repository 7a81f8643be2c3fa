//! Seeded damage to the decision module: a copy of the workspace is patched, built, and its expectations run.

use clap::Args;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Seeded damage to the decision module, built from patched copies: which expectation catches it.
#[derive(Debug, Args)]
pub struct Module {
    /// The workspace.
    #[arg(long, default_value = ".")]
    root: PathBuf,
    /// Where copies are built.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Only damage whose description holds this.
    #[arg(long, default_value = "")]
    only: String,
}

/// The damage: a file of the module, what stands there, what stands there then, and what is wrong with it.
const DAMAGE: &[(&str, &str, &str, &str)] = &[
    (
        "host_selection.rs",
        "self.entry.state == HostState::Ready",
        "self.entry.state != HostState::Gone",
        "drains are not kept",
    ),
    (
        "host_selection.rs",
        "self.entry.state == HostState::Ready",
        "self.entry.state != HostState::Draining",
        "lost nodes are not noticed",
    ),
    ("host_selection.rs", "h.entry.cell == cell", "h.entry.cell == cell || true", "keyed repeats leave their cell"),
    ("host_selection.rs", "h.entry.zone == zone,", "h.entry.zone == zone || true,", "keyed repeats leave their room"),
    (
        "host_selection.rs",
        "let crossing = if h.entry.zone == self.set.zone { 0.0 } else { unseen };",
        "let crossing = 0.0 * unseen;",
        "rooms count for nothing",
    ),
    (
        "host_selection.rs",
        "let margin = 1.0 - 1.0 / self.set.overload_factor.max(1.0);",
        "let margin = 40.0;",
        "cold nodes are drawn too often",
    ),
    (
        "host_selection.rs",
        "self.set.slow_start_floor\n            + (1.0 - self.set.slow_start_floor) * age as f64",
        "1.0 - 0.001 * age as f64",
        "cold nodes are taken for warm",
    ),
    ("lifecycle.rs", "&& job.attempts < self.set.max_attempts.max(1)", "", "attempts without a cap"),
    (
        "lifecycle.rs",
        "(Some(_), Effect::Unsafe) => 0,",
        "(Some(_), Effect::Unsafe) => Nanos::MAX,",
        "what must not run twice goes again",
    ),
    (
        "lifecycle.rs",
        "at.saturating_add(class.dedup_window)",
        "at.saturating_add(100 * class.dedup_window)",
        "keys outlive their window",
    ),
    (
        "lifecycle.rs",
        "self.begins_within(job) > 0\n",
        "(self.begins_within(job) > 0 || job.ran.is_some())\n",
        "what may have run is tried again",
    ),
    (
        "lifecycle.rs",
        "class.effect == Effect::Keyed && class.group == Group::All",
        "class.effect == Effect::Keyed",
        "refused as harmless though it may have run",
    ),
    (
        "lifecycle.rs",
        "unwrap_or(self.set.longest_retry_after)",
        "unwrap_or(10 * self.set.longest_retry_after)",
        "told to come back too late",
    ),
    (
        "lifecycle.rs",
        "Action::Reject { id, retry_after } } else {",
        "Action::Reject { id, retry_after: 0 * retry_after } } else {",
        "refused untold",
    ),
    (
        "lifecycle.rs",
        "if job.ran.is_none() {\n            self.quotas.adjust(&job.claim, -job.claim.units, false, out);\n        }",
        "self.quotas.adjust(&job.claim, -job.claim.units, false, out);",
        "units come back though they were sent on",
    ),
    (
        "lifecycle.rs",
        "(job.want.avoid, job.want.draw, job.stage) = (Some(sent.host), draw, Stage::Held);",
        "(job.want.avoid, job.want.draw, job.stage) = (None, draw, Stage::Out);",
        "a further attempt is lost sight of",
    ),
    (
        "lifecycle.rs",
        "(\"deadline\", Some(id), Some(stage)) if stage != Stage::Streaming => self.finish(id, out),",
        "(\"deadline\", Some(_), Some(stage)) if stage != Stage::Streaming => {}",
        "deadlines pass",
    ),
    (
        "quota.rs",
        "(plan.rate * length).max(WINDOW_BURSTS * burst)",
        "(3.0 * plan.rate * length).max(WINDOW_BURSTS * burst)",
        "three times the limit",
    ),
    ("quota.rs", "let amount = weight * units + q.owed;", "let amount = q.owed;", "adds leave out the request"),
    ("quota.rs", "(total + q.lost, true)", "(call.amount, true)", "others' adds are not seen"),
    ("quota.rs", "q.lost += (q.known - q.lost - before).max(0.0);", "", "a counter that forgot is believed"),
    (
        "quota.rs",
        "previous * (1.0 - (of.at % of.length) as f64 / of.length as f64) + current",
        "current",
        "the window before counts for nothing",
    ),
    (
        "quota.rs",
        "(q.known + call.amount, q.own + call.amount)",
        "(q.known - call.amount, q.own + call.amount)",
        "adds that may be lost come back",
    ),
    (
        "quota.rs",
        "let share = q.share(spread, seen);",
        "let share = 1.0;",
        "each limiter takes the whole quota for its own",
    ),
    (
        "quota.rs",
        "if q.previous_read || !q.over(",
        "if true || !q.over(",
        "the window before is never read",
    ),
    (
        "lifecycle.rs",
        "if over { self.quotas.next_window(&job.claim) } else",
        "if over { 0 } else",
        "over its quota and untold",
    ),
];

impl Module {
    /// Patches, builds and checks.
    pub fn run(self) -> Result<String, String> {
        let folder = self
            .folder
            .unwrap_or_else(|| std::env::temp_dir().join("quartzcleat-module"));
        let source = self.root.join("crates/decision/src");
        let mut out = String::from("| damage | file | caught by |\n| --- | --- | --- |\n");
        let (mut made, mut caught) = (0, 0);
        copy(&self.root, &folder)?;
        let target = folder.join("crates/decision/src");
        for (file, from, to, why) in DAMAGE.iter().filter(|(.., why)| why.contains(&self.only)) {
            let text =
                std::fs::read_to_string(source.join(file)).map_err(|e| format!("{file}: {e}"))?;
            if text.matches(from).count() == 0 {
                return Err(format!("{file}: {from:?} stands there no more"));
            }
            std::fs::write(target.join(file), text.replacen(from, to, 1))
                .map_err(|e| e.to_string())?;
            let by = check(&folder)?;
            std::fs::write(target.join(file), &text).map_err(|e| e.to_string())?;
            (made, caught) = (made + 1, caught + usize::from(!by.is_empty()));
            let first = by.first().map_or_else(
                || "**nothing**".to_owned(),
                |name| {
                    if by.len() > 1 {
                        format!("{name} and {} more", by.len() - 1)
                    } else {
                        name.clone()
                    }
                },
            );
            let _ = writeln!(out, "| {why} | {file} | {first} |");
        }
        let _ = writeln!(
            out,
            "\n{made} single changes to the module: {caught} caught"
        );
        Ok(out)
    }
}

/// Copies what builds the workspace.
fn copy(root: &Path, folder: &Path) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| e.to_string())?;
    for part in [
        "Cargo.toml",
        "Cargo.lock",
        "README.md",
        "src",
        "crates",
        "deploy",
        "tests",
        "examples",
    ] {
        let copied = Command::new("cp")
            .arg("-rp")
            .arg(root.join(part))
            .arg(folder)
            .status();
        if !copied.is_ok_and(|status| status.success()) {
            return Err(format!("cannot copy {part}"));
        }
    }
    Ok(())
}

/// The expectations that do not hold with the module as it is in a copy.
fn check(folder: &Path) -> Result<Vec<String>, String> {
    let built = Command::new("cargo")
        .args(["build", "--quiet", "--offline", "--bin", "quartzcleat"])
        .current_dir(folder)
        .env("CARGO_PROFILE_DEV_OPT_LEVEL", "1")
        .output()
        .map_err(|e| e.to_string())?;
    if !built.status.success() {
        return Err(format!(
            "does not build: {}",
            String::from_utf8_lossy(&built.stderr)
        ));
    }
    let ran = Command::new(folder.join("target/debug/quartzcleat"))
        .args(["expect", "--no-blame", "--no-vary", "--format", "json"])
        .current_dir(folder)
        .output()
        .map_err(|e| e.to_string())?;
    let told: serde_json::Value = serde_json::from_slice(&ran.stdout).map_err(|e| e.to_string())?;
    let results = told["results"].as_array().ok_or("no results")?;
    let failed = results.iter().filter(|result| result["verdict"] != "held");
    Ok(failed
        .filter_map(|result| result["name"].as_str().map(str::to_owned))
        .collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a table that tells of damage which can no longer be done.
    #[test]
    fn all_that_is_to_be_damaged_stands_in_the_module() {
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../decision/src");
        for (file, from, ..) in DAMAGE {
            let text = std::fs::read_to_string(source.join(file)).expect("a file of the module");
            assert!(text.contains(from), "{file}: {from:?} stands there no more");
        }
    }
}
