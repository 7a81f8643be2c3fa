//! The options of a check.

use crate::explore::Budget;
use std::path::PathBuf;

/// A setting that takes several values.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingRange {
    /// The setting's name, as in formulas.
    pub name: String,
    /// Its values.
    pub values: Vec<f64>,
}

/// The options of a check.
#[derive(Clone, Debug)]
pub struct Options {
    /// Files of expectations, and folders of them.
    pub paths: Vec<PathBuf>,
    /// Other settings than the files name.
    pub settings: Option<PathBuf>,
    /// Settings with whose verdicts those of the others are compared.
    pub compare_with: Option<PathBuf>,
    /// Settings that take several values. Every combination is a deployment of its own.
    pub ranges: Vec<SettingRange>,
    /// Only expectations whose name contains this.
    pub name_filter: Option<String>,
    /// Only expectations for the settings of this deployment: their file's name without its extension.
    pub deployment: Option<String>,
    /// How much each expectation is explored.
    pub budget: Budget,
    /// Whether failures are attributed to lines of configuration.
    pub attribute_sources: bool,
    /// Whether expectations that hold are varied to find vacuous ones.
    pub check_vacuity: bool,
    /// How many expectations are explored concurrently; 0 for one a core.
    pub jobs: usize,
    /// Runs this path of choices alone.
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
