//! The options of a check.

use crate::explore::Budget;
use std::path::PathBuf;

/// A setting and the values that it takes in turn.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingRange {
    /// The setting's name, as written in formulas.
    pub name: String,
    /// The values, each of which makes a deployment of its own.
    pub values: Vec<f64>,
}

/// The options of a check.
#[derive(Clone, Debug)]
pub struct Options {
    /// Expectation files, and folders that contain them.
    pub paths: Vec<PathBuf>,
    /// Settings file used in place of the one that each expectation file names; `None` to use that one.
    pub settings: Option<PathBuf>,
    /// Settings file to compare verdicts with; `None` for no comparison.
    pub compare_with: Option<PathBuf>,
    /// Settings that take several values. Every combination of values is checked as a deployment of its own.
    pub ranges: Vec<SettingRange>,
    /// Substring of the names of the expectations to check; `None` for all.
    pub name_filter: Option<String>,
    /// Deployment whose expectations are checked: the name of its settings file without the extension; `None` for all.
    pub deployment: Option<String>,
    /// Limits of the exploration of each expectation.
    pub budget: Budget,
    /// Whether failures are attributed to lines of configuration.
    pub attribute_sources: bool,
    /// Whether expectations that hold are explored under variations to find vacuous ones.
    pub check_vacuity: bool,
    /// Number of expectations explored concurrently; 0 for one per core.
    pub jobs: usize,
    /// Path of choices to run in place of an exploration; `None` to explore.
    pub replay: Option<Vec<usize>>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            paths: vec![PathBuf::from("deploy/expectations")],
            settings: None,
            compare_with: None,
            ranges: Vec::new(),
            name_filter: None,
            deployment: None,
            budget: Budget::default(),
            attribute_sources: true,
            check_vacuity: true,
            jobs: 0,
            replay: None,
        }
    }
}
