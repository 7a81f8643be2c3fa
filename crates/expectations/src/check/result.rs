//! The results of a check. Their serialized form is that of the JSON report.

use crate::attribution::SourceAttribution;
use crate::explore::Exploration;
use serde::{Serialize, Serializer};

/// The verdict on one expectation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It holds in all runs, and was exercised.
    Held,
    /// It does not hold.
    Failed,
    /// No run exercised one of its requirements.
    Untested,
    /// One of its requirements holds under every variation of the expectation.
    #[serde(rename = "says-nothing")]
    Vacuous,
    /// It cannot be used.
    #[serde(rename = "faulty")]
    Invalid,
}

impl Verdict {
    /// Whether the expectation holds, be it vacuously.
    #[must_use]
    pub fn holds(self) -> bool {
        matches!(self, Verdict::Held | Verdict::Vacuous)
    }
}

/// A failure, for reports.
#[derive(Clone, Debug, Serialize)]
pub struct FailureReport {
    /// What happened.
    #[serde(rename = "how")]
    pub description: String,
    /// The line of the requirement, or of the expectation where an invariant is violated.
    pub line: u32,
    /// The path of choices that replays it.
    pub path: Vec<usize>,
    /// How many choices the run had that was first found to fail.
    pub choices: usize,
    /// The timeline of the run.
    #[serde(rename = "story")]
    pub timeline: Vec<String>,
    /// The lines of configuration behind it.
    #[serde(rename = "behind")]
    pub attribution: SourceAttribution,
}

/// A verdict that differs from the one under the settings compared with.
#[derive(Clone, Debug)]
pub struct VerdictDifference {
    /// The verdict under the settings compared with.
    pub compared: Verdict,
    /// The changed lines that bring the other verdict.
    pub attribution: SourceAttribution,
}

impl Serialize for VerdictDifference {
    /// As a pair, the form of the JSON report.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.compared, &self.attribution).serialize(serializer)
    }
}

/// The result for one expectation and one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct ExpectationResult {
    /// The file.
    pub file: String,
    /// The line.
    pub line: u32,
    /// The expectation's name.
    pub name: String,
    /// The deployment's settings, with the values of ranges.
    #[serde(rename = "day")]
    pub deployment: String,
    /// The verdict.
    pub verdict: Verdict,
    /// Faults, or requirements that were not exercised or are vacuous.
    pub notes: Vec<String>,
    /// The failure, where it fails.
    pub failure: Option<FailureReport>,
    /// The lines of configuration behind it, where no run exercised it.
    #[serde(rename = "behind")]
    pub attribution: Option<SourceAttribution>,
    /// The difference to the verdict under the settings compared with, where there is one.
    #[serde(rename = "differs")]
    pub difference: Option<VerdictDifference>,
    /// How much was explored.
    pub explored: ExplorationCounts,
    /// Seconds that it took.
    pub seconds: f64,
}

/// How much was explored.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExplorationCounts {
    /// Runs.
    #[serde(rename = "plays")]
    pub runs: u64,
    /// Events.
    pub events: u64,
    /// Distinct states at choices.
    pub states: u64,
    /// Runs that were stopped because their state had been visited.
    #[serde(rename = "met")]
    pub stopped_runs: u64,
    /// Random walks.
    #[serde(rename = "walks")]
    pub random_walks: u64,
    /// The number of choices to which all ways were tried.
    pub depth: usize,
    /// Whether all ways were tried to the end.
    #[serde(rename = "complete")]
    pub is_exhaustive: bool,
    /// How often the requirement that was exercised least was exercised.
    #[serde(rename = "tested")]
    pub exercised: u64,
}

impl From<&Exploration> for ExplorationCounts {
    fn from(exploration: &Exploration) -> Self {
        let exercised = exploration
            .coverage
            .iter()
            .map(|requirement| requirement.exercised);
        ExplorationCounts {
            runs: exploration.runs,
            events: exploration.events,
            states: exploration.states,
            stopped_runs: exploration.stopped_runs,
            random_walks: exploration.random_walks,
            depth: exploration.depth,
            is_exhaustive: exploration.is_exhaustive,
            exercised: exercised.min().unwrap_or(0),
        }
    }
}

/// The results of a check.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CheckReport {
    /// The result of each expectation, in the order of the files.
    pub results: Vec<ExpectationResult>,
    /// Faults of the files, one line each.
    pub faults: Vec<String>,
    /// Seconds that all took.
    pub seconds: f64,
}

impl CheckReport {
    /// The exit code: 0 where all hold, 1 where one does not, 2 where something cannot be used.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        let has = |verdicts: &[Verdict]| {
            self.results
                .iter()
                .any(|result| verdicts.contains(&result.verdict))
        };
        if has(&[Verdict::Failed, Verdict::Untested, Verdict::Vacuous]) {
            return 1;
        }
        let is_unusable =
            !self.faults.is_empty() || self.results.is_empty() || has(&[Verdict::Invalid]);
        if is_unusable {
            2
        } else {
            0
        }
    }
}
