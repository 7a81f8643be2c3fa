//! Seeded damage to a day's settings, one key at a time: what the expectations make of it.

use clap::Args;
use quartzcleat_config::tree::Content;
use quartzcleat_config::Deployment;
use quartzcleat_expectations::check::read_deployment;
use quartzcleat_expectations::{check, Options, Verdict};
use std::fmt::Write as _;
use std::path::PathBuf;

/// Seeded damage to a day's settings: which expectation catches it, and whether the line is named.
#[derive(Debug, Args)]
pub struct Damage {
    /// The expectations.
    #[arg(long, default_value = "deploy/expectations")]
    expectations: PathBuf,
    /// The day that is damaged.
    #[arg(long, default_value = "deploy/imlil-main.yaml")]
    settings: PathBuf,
}

enum To {
    Number(f64),
    Flag(bool),
    Word(&'static str),
}

/// The damage: a key, what it says then, and what an operator would mean by it.
const DAMAGE: &[(&str, To, &str)] = &[
    (
        "categories.0.effect",
        To::Word("fragile"),
        "a bed-check may not be repeated",
    ),
    (
        "categories.0.onTimeNs",
        To::Number(200e6),
        "a tenth of the aim",
    ),
    (
        "categories.0.onTimeNs",
        To::Number(7e9),
        "an aim of nearly the whole time",
    ),
    (
        "categories.0.hardLimitNs",
        To::Number(2.1e9),
        "clients wait no longer than the aim",
    ),
    (
        "categories.1.effect",
        To::Word("retryable"),
        "a bed-hold is taken for safe to repeat",
    ),
    (
        "categories.1.effect",
        To::Word("fragile"),
        "a bed-hold may not be repeated",
    ),
    (
        "categories.1.group",
        To::Word("cell"),
        "only a cell drops repeats",
    ),
    (
        "categories.1.group",
        To::Word("zone"),
        "only a room drops repeats",
    ),
    (
        "categories.1.dedupWindowNs",
        To::Number(1e6),
        "repeats drop for 1 ms",
    ),
    (
        "categories.1.dedupWindowNs",
        To::Number(0.0),
        "repeats never drop",
    ),
    (
        "categories.1.dedupWindowNs",
        To::Number(60e9),
        "repeats drop for a minute",
    ),
    (
        "categories.1.onTimeNs",
        To::Number(100e6),
        "a tenth of the aim",
    ),
    (
        "categories.1.onTimeNs",
        To::Number(3.9e9),
        "an aim of nearly the whole time",
    ),
    (
        "categories.1.hardLimitNs",
        To::Number(500e6),
        "less time than the aim",
    ),
    (
        "contracts.0.refill",
        To::Number(8.0),
        "five times the guides' rate",
    ),
    (
        "contracts.0.refill",
        To::Number(0.2),
        "an eighth of the guides' rate",
    ),
    (
        "contracts.0.refill",
        To::Number(0.0),
        "guides without a quota",
    ),
    (
        "contracts.0.peakUnits",
        To::Number(40.0),
        "five times the guides' burst",
    ),
    (
        "contracts.0.peakUnits",
        To::Number(2.0),
        "a burst below one request",
    ),
    (
        "contracts.1.refill",
        To::Number(23.0),
        "five times the agencies' rate",
    ),
    (
        "contracts.1.refill",
        To::Number(0.5),
        "a ninth of the agencies' rate",
    ),
    (
        "contracts.1.refill",
        To::Number(0.0),
        "agencies without a quota",
    ),
    (
        "contracts.1.peakUnits",
        To::Number(110.0),
        "five times the agencies' burst",
    ),
    (
        "contracts.1.peakUnits",
        To::Number(6.0),
        "a quarter of the agencies' burst",
    ),
    (
        "contracts.2.refill",
        To::Number(100.0),
        "five times the operators' rate",
    ),
    (
        "contracts.2.refill",
        To::Number(1.9),
        "a tenth of the operators' rate",
    ),
    (
        "contracts.2.refill",
        To::Number(0.0),
        "operators without a quota",
    ),
    (
        "contracts.2.peakUnits",
        To::Number(180.0),
        "five times the operators' burst",
    ),
    (
        "contracts.2.peakUnits",
        To::Number(6.0),
        "a sixth of the operators' burst",
    ),
    (
        "contracts.2.concurrency",
        To::Number(1.0),
        "one attempt at once",
    ),
    (
        "contracts.2.concurrency",
        To::Number(0.0),
        "no cap on attempts at once",
    ),
    ("familyInfo.counter", To::Flag(false), "no counter"),
    (
        "familyInfo.counterTimeoutNs",
        To::Number(1e6),
        "1 ms for a call",
    ),
    (
        "familyInfo.counterTimeoutNs",
        To::Number(2e9),
        "2 s for a call",
    ),
    (
        "familyInfo.unitsTop",
        To::Number(1.0),
        "the largest request counts 1",
    ),
    (
        "familyInfo.unitsTop",
        To::Number(60.0),
        "the largest request counts 60",
    ),
    (
        "limits.retryAfter",
        To::Flag(false),
        "nobody is told when to come back",
    ),
    (
        "limits.maxRetryAfterNs",
        To::Number(60e9),
        "to come back after a minute",
    ),
    (
        "limits.maxRetryAfterNs",
        To::Number(0.0),
        "no time to come back",
    ),
    ("limits.sendCap", To::Number(1.0), "one attempt"),
    ("limits.sendCap", To::Number(0.0), "no attempt"),
    ("limits.sendCap", To::Number(6.0), "six attempts"),
    (
        "safety.coldFrom",
        To::Number(1.0),
        "a new node is taken for warm",
    ),
    (
        "safety.coldFrom",
        To::Number(15.0),
        "a part of 15 instead of 0.15",
    ),
    ("safety.warmAfterNs", To::Number(0.0), "warm at once"),
    (
        "safety.warmAfterNs",
        To::Number(180e9),
        "cold for three minutes",
    ),
    (
        "safety.overloadFactor",
        To::Number(1.0),
        "no margin: nothing to a cold node",
    ),
    (
        "safety.overloadFactor",
        To::Number(60.0),
        "sixty times too much would not tip",
    ),
];

impl Damage {
    /// Damages and checks.
    pub fn run(self) -> Result<String, String> {
        let sound = read_deployment(&self.settings).map_err(|faults| faults.to_string())?;
        let path =
            std::env::temp_dir().join(format!("quartzcleat-damage-{}.yaml", std::process::id()));
        let mut out = String::from("| damage | key, line | caught by | named by search | named beside the old file |\n| --- | --- | --- | --- | --- |\n");
        let (mut caught, mut alone, mut beside) = (0, 0, 0);
        for (key, to, why) in DAMAGE {
            let text = damaged(&sound, key, to)?;
            std::fs::write(&path, text).map_err(|e| e.to_string())?;
            let (key, line) = (
                (*key).to_owned(),
                read_deployment(&path).map_or(0, |day| day.line(key)),
            );
            let with = |against: Option<PathBuf>| {
                check(&Options {
                    paths: vec![self.expectations.clone()],
                    settings: Some(path.clone()),
                    compare_with: against,
                    check_vacuity: false,
                    ..Options::default()
                })
            };
            let outcome = with(None);
            if outcome
                .faults
                .iter()
                .any(|fault| fault.contains(key.as_str()))
            {
                (caught, alone, beside) = (caught + 1, alone + 1, beside + 1);
                let _ = writeln!(
                    out,
                    "| {why} | `{key}` | refused as a contradiction | yes | yes |"
                );
                continue;
            }
            let by: Vec<_> = outcome
                .results
                .iter()
                .filter(|r| r.verdict != Verdict::Held)
                .collect();
            let names = |outcome: &quartzcleat_expectations::CheckReport| {
                let of_failure = outcome
                    .results
                    .iter()
                    .filter_map(|r| r.failure.as_ref())
                    .map(|f| &f.attribution);
                let of_change = outcome
                    .results
                    .iter()
                    .filter_map(|r| r.difference.as_ref())
                    .map(|d| &d.attribution);
                let noted = |r: &quartzcleat_expectations::ExpectationResult| {
                    r.notes.iter().any(|note| note.contains(key.as_str()))
                };
                if outcome.results.iter().any(noted) {
                    return true;
                }
                let untested = outcome
                    .results
                    .iter()
                    .filter_map(|r| r.attribution.as_ref());
                of_failure
                    .chain(of_change)
                    .chain(untested)
                    .flat_map(|attribution| &attribution.line_sets)
                    .flatten()
                    .any(|l| l.key == key && l.line == line)
            };
            let (by_search, by_old) = (
                names(&outcome),
                !by.is_empty() && names(&with(Some(self.settings.clone()))),
            );
            caught += usize::from(!by.is_empty());
            alone += usize::from(by_search);
            beside += usize::from(by_old);
            let first = by.first().map_or_else(
                || "**nothing**".to_owned(),
                |result| {
                    let more = if by.len() > 1 {
                        format!(" and {} more", by.len() - 1)
                    } else {
                        String::new()
                    };
                    format!("{}{more}", result.name)
                },
            );
            let yes = |named: bool| if named { "yes" } else { "no" };
            let _ = writeln!(
                out,
                "| {why} | `{key}`, {line} | {first} | {} | {} |",
                yes(by_search),
                yes(by_old)
            );
        }
        let _ = std::fs::remove_file(&path);
        let _ = writeln!(
            out,
            "\n{} single changes: {caught} caught; the line named in {alone} by search alone and in {beside} beside the old file",
            DAMAGE.len()
        );
        Ok(out)
    }
}

/// The day's text with one key damaged, in the form of JSON, which is read like YAML: a line for each key.
fn damaged(day: &Deployment, key: &str, to: &To) -> Result<String, String> {
    let content = match to {
        To::Number(value) => Content::Number(*value),
        To::Flag(flag) => Content::Flag(*flag),
        To::Word(word) => Content::Text((*word).to_owned()),
    };
    let mut tree = day.tree.clone();
    if !tree.set(key, content) {
        return Err(format!("{key}: not in {}", day.file));
    }
    serde_json::to_string_pretty(&tree.to_json()).map_err(|e| e.to_string())
}
