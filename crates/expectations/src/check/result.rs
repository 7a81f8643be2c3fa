//! The results of a check, serialized as the JSON report.

use crate::attribution::SourceAttribution;
use crate::explore::Exploration;
use serde::{Serialize, Serializer};

/// The verdict on one expectation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It holds in all runs, and every requirement was exercised.
    Held,
    /// A run violates a requirement or an invariant.
    Failed,
    /// No run exercised one of its requirements.
    Untested,
    /// One of its requirements holds under every variation of the expectation.
    #[serde(rename = "says-nothing")]
    Vacuous,
    /// It does not compile for the deployment.
    #[serde(rename = "faulty")]
    Invalid,
}

impl Verdict {
    /// Returns whether the expectation holds, even if vacuously.
    #[must_use]
    pub fn holds(self) -> bool {
        matches!(self, Verdict::Held | Verdict::Vacuous)
    }
}

/// A failure as shown in reports.
#[derive(Clone, Debug, Serialize)]
pub struct FailureReport {
    /// The event or value that violates the requirement or invariant.
    #[serde(rename = "how")]
    pub description: String,
    /// The line of the requirement, or of the expectation where an invariant is violated.
    pub line: u32,
    /// The path of choices that replays the failure.
    pub path: Vec<usize>,
    /// The number of choices in the failing run before its path was shortened.
    pub choices: usize,
    /// The timeline of the run until it fails, one entry per line.
    #[serde(rename = "story")]
    pub timeline: Vec<String>,
    /// The lines of configuration that cause it; empty if none were found or searched for.
    #[serde(rename = "behind")]
    pub attribution: SourceAttribution,
}

/// A verdict that differs from the one under the compared settings.
#[derive(Clone, Debug)]
pub struct VerdictDifference {
    /// The verdict under the compared settings.
    pub compared: Verdict,
    /// The changed lines that cause the difference.
    pub attribution: SourceAttribution,
}

impl Serialize for VerdictDifference {
    /// Serializes as a pair, which is the form of the JSON report.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.compared, &self.attribution).serialize(serializer)
    }
}

/// The result for one expectation and one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct ExpectationResult {
    /// The expectation file.
    pub file: String,
    /// The line on which the expectation begins.
    pub line: u32,
    /// The expectation's name, as written in the file.
    pub name: String,
    /// The name of the deployment's settings file, followed by the values of ranges.
    #[serde(rename = "day")]
    pub deployment: String,
    /// The verdict for this deployment.
    pub verdict: Verdict,
    /// Faults of an invalid expectation, or requirements that were not exercised or are vacuous.
    pub notes: Vec<String>,
    /// The failure, or the run of a replayed path that holds; `None` if neither.
    pub failure: Option<FailureReport>,
    /// The lines of configuration because of which it was not exercised; `None` for other verdicts.
    #[serde(rename = "behind")]
    pub attribution: Option<SourceAttribution>,
    /// The difference from the verdict under the compared settings; `None` if both agree or none are compared.
    #[serde(rename = "differs")]
    pub difference: Option<VerdictDifference>,
    /// The extent of the exploration.
    pub explored: ExplorationCounts,
    /// Duration of the check of this expectation, in seconds.
    pub seconds: f64,
}

/// The extent of an exploration.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExplorationCounts {
    /// Number of runs, complete or stopped.
    #[serde(rename = "plays")]
    pub runs: u64,
    /// Number of simulated events in all runs.
    pub events: u64,
    /// Number of distinct states visited by the largest of the exhaustive searches.
    pub states: u64,
    /// Number of runs that were stopped at a state that had been visited already.
    #[serde(rename = "met")]
    pub stopped_runs: u64,
    /// Number of random walks among the runs.
    #[serde(rename = "walks")]
    pub random_walks: u64,
    /// Number of choices from the start of a run to which the search was exhaustive.
    pub depth: usize,
    /// Whether the search covered every path of choices to its end.
    #[serde(rename = "complete")]
    pub is_exhaustive: bool,
    /// Number of times that the least exercised requirement was exercised.
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
    /// Duration of the whole check, in seconds.
    pub seconds: f64,
}

impl CheckReport {
    /// Returns the exit code: 1 if an expectation failed, was not exercised or is vacuous; otherwise 2 if there are
    /// faults, invalid expectations or no results; otherwise 0.
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
