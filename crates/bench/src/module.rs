//! Seeded damage to the decision module: a copy of the workspace is patched, built, and its expectations run.

use clap::Args;
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

/// Path of the decision module in the workspace.
const MODULE_PATH: &str = "crates/decision/src";

/// One damage to the decision module.
struct Damage {
    /// Path of the file in the module.
    file: &'static str,
    /// Text that stands there.
    original: &'static str,
    /// Text that replaces it.
    damaged: &'static str,
    /// What is wrong with the damaged module.
    description: &'static str,
}

const DAMAGES: &[Damage] = &[
    Damage {
        file: "host_selection/selection.rs",
        original: "self.entry.state == HostState::Ready",
        damaged: "self.entry.state != HostState::Gone",
        description: "drains are not kept",
    },
    Damage {
        file: "host_selection/selection.rs",
        original: "self.entry.state == HostState::Ready",
        damaged: "self.entry.state != HostState::Draining",
        description: "lost nodes are not noticed",
    },
    Damage {
        file: "host_selection/selection.rs",
        original: "host.entry.cell == location.cell",
        damaged: "host.entry.cell == location.cell || true",
        description: "keyed repeats leave their cell",
    },
    Damage {
        file: "host_selection/selection.rs",
        original: "host.entry.zone == location.zone",
        damaged: "host.entry.zone == location.zone || true",
        description: "keyed repeats leave their room",
    },
    Damage {
        file: "host_selection/selection.rs",
        original: "let crossing = if host.entry.zone == self.settings.limiters.own_zone {\n            0.0\n        } else {\n            others\n        };",
        damaged: "let crossing = 0.0 * others;",
        description: "rooms count for nothing",
    },
    Damage {
        file: "host_selection/selection.rs",
        original: "let margin = 1.0 - 1.0 / self.settings.slow_start.overload_factor.max(1.0);",
        damaged: "let margin = 40.0;",
        description: "cold nodes are drawn too often",
    },
    Damage {
        file: "host_selection/slow_start.rs",
        original: "self.settings.slow_start.initial_capacity\n            + (1.0 - self.settings.slow_start.initial_capacity) * age as f64",
        damaged: "1.0 - 0.001 * age as f64",
        description: "cold nodes are taken for warm",
    },
    Damage {
        file: "lifecycle/dispatch.rs",
        original: "&& request.attempts < self.settings.attempts.max_per_request.max(1)",
        damaged: "",
        description: "attempts without a cap",
    },
    Damage {
        file: "lifecycle/dispatch.rs",
        original: "Effect::Unsafe => 0,",
        damaged: "Effect::Unsafe => Nanos::MAX,",
        description: "what must not run twice goes again",
    },
    Damage {
        file: "lifecycle/dispatch.rs",
        original: ".saturating_add(class.dedup_window)",
        damaged: ".saturating_add(100 * class.dedup_window)",
        description: "keys outlive their window",
    },
    Damage {
        file: "lifecycle/dispatch.rs",
        original: "self.begins_within(request) > 0\n",
        damaged: "(self.begins_within(request) > 0 || request.first_run.is_some())\n",
        description: "what may have run is tried again",
    },
    Damage {
        file: "lifecycle/completion.rs",
        original: "class.effect == Effect::IdempotentWithKey && class.dedup_scope == DedupScope::All",
        damaged: "class.effect == Effect::IdempotentWithKey",
        description: "refused as harmless though it may have run",
    },
    Damage {
        file: "lifecycle/queue.rs",
        original: "unwrap_or(self.settings.backoff.longest_retry_after)",
        damaged: "unwrap_or(10 * self.settings.backoff.longest_retry_after)",
        description: "told to come back too late",
    },
    Damage {
        file: "lifecycle/completion.rs",
        original: "Action::Reject { id, retry_after }\n        } else {",
        damaged: "Action::Reject { id, retry_after: 0 * retry_after }\n        } else {",
        description: "refused untold",
    },
    Damage {
        file: "lifecycle/completion.rs",
        original: "if request.first_run.is_none() {\n            self.quotas.adjust(",
        damaged: "{\n            self.quotas.adjust(",
        description: "units come back though they were sent on",
    },
    Damage {
        file: "lifecycle/dispatch.rs",
        original: "request.requirements.avoid = Some(failed_host);\n            request.requirements.slow_start_draw = slow_start_draw;\n            request.state = RequestState::Queued;",
        damaged: "request.requirements.avoid = None;\n            request.requirements.slow_start_draw = slow_start_draw;\n            request.state = RequestState::InFlight;",
        description: "a further attempt is lost sight of",
    },
    Damage {
        file: "lifecycle/completion.rs",
        original: ".is_some_and(|request| request.state != RequestState::Streaming)",
        damaged: ".is_some_and(|_| false)",
        description: "deadlines pass",
    },
    Damage {
        file: "quota/window.rs",
        original: "(plan.rate * seconds).max(WINDOW_LENGTH_BURSTS * burst)",
        damaged: "(3.0 * plan.rate * seconds).max(WINDOW_LENGTH_BURSTS * burst)",
        description: "three times the limit",
    },
    Damage {
        file: "quota/verdict.rs",
        original: "let amount = sampling.weight * claim.units + quota.unsent;",
        damaged: "let amount = quota.unsent;",
        description: "adds leave out the request",
    },
    Damage {
        file: "quota/counter.rs",
        original: "self.total = total + self.lost;",
        damaged: "self.total = call.amount;",
        description: "others' adds are not seen",
    },
    Damage {
        file: "quota/counter.rs",
        original: "self.lost += (self.total - self.lost - total_before).max(0.0);",
        damaged: "",
        description: "a counter that forgot is believed",
    },
    Damage {
        file: "quota/window.rs",
        original: "previous * (1.0 - self.progress()) + current",
        damaged: "current",
        description: "the window before counts for nothing",
    },
    Damage {
        file: "quota/counter.rs",
        original: "self.total += call.amount;",
        damaged: "self.total -= call.amount;",
        description: "adds that may be lost come back",
    },
    Damage {
        file: "quota/verdict.rs",
        original: "let share = quota.local_share(claim.spread, window.refill);",
        damaged: "let share = 1.0;",
        description: "each limiter takes the whole quota for its own",
    },
    Damage {
        file: "quota/verdict.rs",
        original: "if quota.is_previous_read || !quota.is_over(",
        damaged: "if true || !quota.is_over(",
        description: "the window before is never read",
    },
    Damage {
        file: "lifecycle/admission.rs",
        original: "Verdict::OverQuota => self.quotas.time_to_next_window(&request.claim),",
        damaged: "Verdict::OverQuota => 0,",
        description: "over its quota and untold",
    },
];

impl Module {
    /// Patches, builds and checks a copy for each damage. Returns a table of what caught it.
    pub fn run(self) -> Result<String, String> {
        let folder = self
            .folder
            .unwrap_or_else(|| std::env::temp_dir().join("quartzcleat-module"));
        let source = self.root.join(MODULE_PATH);
        copy(&self.root, &folder)?;
        let mut table = String::from("| damage | file | caught by |\n| --- | --- | --- |\n");
        let mut tried = 0;
        let mut caught = 0;
        for damage in DAMAGES {
            if !damage.description.contains(&self.only) {
                continue;
            }
            let failed = damage.check(&source, &folder)?;
            tried += 1;
            caught += usize::from(!failed.is_empty());
            let (description, file) = (damage.description, damage.file);
            table += &format!("| {description} | {file} | {} |\n", summary(&failed));
        }
        table += &format!("\n{tried} single changes to the module: {caught} caught\n");
        Ok(table)
    }
}

impl Damage {
    /// Damages the module in a copy and restores it. Returns the expectations that failed in between.
    fn check(&self, source: &Path, folder: &Path) -> Result<Vec<String>, String> {
        let Damage { file, original, .. } = self;
        let text =
            std::fs::read_to_string(source.join(file)).map_err(|e| format!("{file}: {e}"))?;
        if !text.contains(original) {
            return Err(format!("{file}: {original:?} stands there no more"));
        }
        let copy = folder.join(MODULE_PATH).join(file);
        let damaged = text.replacen(original, self.damaged, 1);
        std::fs::write(&copy, damaged).map_err(|e| e.to_string())?;
        let failed = failed_expectations(folder)?;
        std::fs::write(&copy, &text).map_err(|e| e.to_string())?;
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
fn failed_expectations(folder: &Path) -> Result<Vec<String>, String> {
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
    let report: serde_json::Value =
        serde_json::from_slice(&ran.stdout).map_err(|e| e.to_string())?;
    let results = report["results"].as_array().ok_or("no results")?;
    let failed = results.iter().filter(|result| result["verdict"] != "held");
    Ok(failed
        .filter_map(|result| result["name"].as_str().map(str::to_owned))
        .collect())
}

#[cfg(test)]
mod tests;
