//! Keys of the project's own YAML files: the product configuration, expectations with their installation, and trials.
//!
//! A reader that meets an unknown key names the keys that it knows. Each file here therefore has an unknown key in each
//! of its maps; a count of the readers in the sources makes a new map fail until it has one too.

use crate::{pages, scanner, sources};
use quartzcleat_config::{Deployment, Faults, ProductConfig};
use quartzcleat_expectations::{compile, suite};
use quartzcleat_fault_injection::Scenario;
use std::collections::BTreeSet;
use std::io;
use std::path::Path;

/// A key that resembles no known one.
const UNKNOWN_KEY: &str = "????";
const KNOWN_KEYS: &str = "unknown key; expected one of: ";
/// The problem of a map that lacks the key which states its kind ends with all such keys behind this.
const KINDS: &str = "; specify one of ";

const PRODUCT: &str = "
????: 1
log: {????: 1}
lease:
  ????: 1
  clock: {????: 1}
  crash: {????: 1}
  tasks:
    - {????: 1}
    - {name: use, export: {????: 1}}
";

const TRIAL: &str = "
????: 1
faults:
  - {????: 1}
";

/// A file of expectations whose own maps have an unknown key.
const SUITE: &str = "
????: 1
settings: settings.yaml
installation: installation.yaml
expectations:
  - ????: 1
";

const INSTALLATION: &str = "
????: 1
limiters: {limiter-a: ustaoset-hut}
nodes: {n1: {????: 1}, n2: {}}
partners: {Azib: {????: 1}}
network: {????: 1}
facts:
  ????: 1
  slow_start: {????: 1}
  classes: {bed-check: {????: 1}}
";

/// An expectation with an unknown key in each map, and with a step and a requirement of each kind.
const EXPECTATION: &str = "
settings: settings.yaml
installation: installation.yaml
expectations:
  - name: every map
    given:
      ????: 1
      counter: {????: 1}
      retry: {????: 1}
    when:
      - {}
      - {????: 1, request: bed-check, from: Azib, mark: m}
      - {????: 1, retry: m, class: bed-check, from: Azib}
      - {????: 1, drain: n1}
      - {????: 1, crash: n1}
      - {????: 1, isolate: n1}
      - {????: 1, start: n1}
      - {????: 1, replace: n1, by: n2}
      - {????: 1, slow: n1, to: 0.5}
      - {????: 1, counter: silent}
      - {????: 1, discovery: silent}
      - {????: 1, stop: limiter-a}
      - {????: 1, restart: limiter-a}
    must:
      - {}
      - {????: 1, never: fails}
      - {????: 1, always: fails}
      - {????: 1, attempts: 1}
      - {????: 1, executions: 1}
      - {????: 1, concurrent_attempts: 1}
      - {????: 1, units: 1}
      - {????: 1, forwarded: 1}
      - {????: 1, served: 1}
      - {????: 1, rejected: 1}
      - {????: 1, failed: 1}
      - {????: 1, cross_zone_attempts: 1}
      - {????: 1, share: {????: 1, of: n1, at most: 10%}}
      - {????: 1, answered: 1s}
      - {????: 1, retry_after: 1s}
";

/// The keys of one map.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MapKeys {
    /// The path of the map in its file.
    path: String,
    keys: Vec<String>,
}

/// The keys of the maps in whose place a file has an unknown key.
fn known_keys(faults: &Faults) -> Vec<MapKeys> {
    let unknown_key = |fault: &quartzcleat_config::Fault| {
        let keys = fault.problem.strip_prefix(KNOWN_KEYS)?;
        let path = fault.key.strip_suffix(UNKNOWN_KEY)?;
        Some(MapKeys {
            path: path.trim_end_matches('.').to_owned(),
            keys: keys.split(", ").map(str::to_owned).collect(),
        })
    };
    faults.0.iter().filter_map(unknown_key).collect()
}

/// The keys that state the kind of a map, from the faults of maps without one.
fn kinds(faults: &Faults) -> BTreeSet<String> {
    let problems = faults.0.iter().map(|fault| fault.problem.as_str());
    let lists = problems.filter_map(|problem| Some(problem.split_once(KINDS)?.1));
    lists
        .flat_map(|list| list.split(", ").map(str::to_owned))
        .collect()
}

fn unknown_keys_in(file: &str) -> usize {
    file.matches(UNKNOWN_KEY).count()
}

fn readers_in(paths: &[&str]) -> usize {
    paths
        .iter()
        .flat_map(|path| sources::below_root(path))
        .map(|(_, source)| scanner::count_calls(&source, "Reader", "new"))
        .sum()
}

/// The part of the pages that names the keys of some maps.
struct Description {
    /// The paths of the maps begin so.
    path: &'static str,
    page: &'static str,
    headings: &'static [&'static str],
}

impl Description {
    const fn new(
        path: &'static str,
        page: &'static str,
        headings: &'static [&'static str],
    ) -> Self {
        Description {
            path,
            page,
            headings,
        }
    }

    fn named_keys(&self) -> BTreeSet<String> {
        let page = pages::read(self.page);
        let sections = self.headings.iter();
        sections
            .flat_map(|heading| pages::named_keys(pages::section(&page, heading)))
            .collect()
    }
}

const PRODUCT_DESCRIPTIONS: &[Description] = &[
    Description::new("lease", "leases.md", &["# Leases"]),
    Description::new("", "operations.md", &["## The product configuration"]),
];
const TRIAL_DESCRIPTIONS: &[Description] =
    &[Description::new("", "trials.md", &["## A scenario file"])];
const EXPECTATION_DESCRIPTIONS: &[Description] = &[
    Description::new("when", "expectations.md", &["## when"]),
    Description::new("must", "expectations.md", &["## must"]),
    Description::new("given", "expectations.md", &["## given"]),
    // The maps of an installation; an expectation's `given` has some of them, too.
    Description::new("", "expectations.md", &["## A file", "## given"]),
];

/// Every key must be named in the first description of its map, alone or with the path of its map (`log.filter`).
fn assert_named(maps: &[MapKeys], descriptions: &[Description]) {
    let mut missing = BTreeSet::new();
    for map in maps {
        let description = descriptions
            .iter()
            .find(|description| map.path.starts_with(description.path))
            .expect("the last description is that of every path");
        let named = description.named_keys();
        for key in &map.keys {
            let path = format!("{}.{key}", map.path);
            if !named.contains(key) && !named.contains(&path) {
                missing.insert(format!("{}: {path}", description.page));
            }
        }
    }
    assert!(missing.is_empty(), "not in the pages: {missing:?}");
}

fn read_suite(text: &str, faults: &mut Faults) -> Option<suite::Suite> {
    let read_file = |path: &Path| -> io::Result<String> {
        let is_installation = path.ends_with("installation.yaml");
        Ok(if is_installation { INSTALLATION } else { text }.to_owned())
    };
    suite::read_with(Path::new("suite.yaml"), &read_file, faults)
}

/// The faults of [`EXPECTATION`], compiled for a deployment of this repository.
fn expectation_faults() -> Faults {
    let settings = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/imlil-main.yaml");
    let settings = std::fs::read_to_string(settings).expect("the settings are read");
    let deployment = Deployment::read("settings.yaml", &settings).expect("they are valid");
    let mut faults = Faults::default();
    let suite = read_suite(EXPECTATION, &mut faults).expect("the file can be used");
    assert!(faults.is_empty(), "{faults}");
    compile(&suite, &suite.expectations[0], &deployment).expect_err("it has unknown keys")
}

#[test]
fn every_key_of_the_product_configuration_is_documented() {
    let faults = ProductConfig::read("product.yaml", PRODUCT).expect_err("it has unknown keys");
    let maps = known_keys(&faults);
    assert_eq!(maps.len(), unknown_keys_in(PRODUCT), "{faults}");
    assert_named(&maps, PRODUCT_DESCRIPTIONS);
}

#[test]
fn every_key_of_trials_is_documented() {
    let faults = Scenario::read("trial.yaml", TRIAL).expect_err("it has unknown keys");
    let maps = known_keys(&faults);
    assert_eq!(maps.len(), unknown_keys_in(TRIAL), "{faults}");
    assert_named(&maps, TRIAL_DESCRIPTIONS);
}

#[test]
fn every_key_of_files_of_expectations_is_documented() {
    let mut faults = Faults::default();
    read_suite(SUITE, &mut faults);
    let maps = known_keys(&faults);
    assert_eq!(maps.len(), unknown_keys_in(SUITE), "{faults}");
    assert_named(&maps, EXPECTATION_DESCRIPTIONS);
}

#[test]
fn every_key_of_an_expectation_is_documented() {
    let faults = expectation_faults();
    let maps = known_keys(&faults);
    let expected = unknown_keys_in(INSTALLATION) + unknown_keys_in(EXPECTATION);
    assert_eq!(maps.len(), expected, "{faults}");
    assert_named(&maps, EXPECTATION_DESCRIPTIONS);
}

#[test]
fn every_kind_of_step_and_requirement_is_read_here() {
    let faults = expectation_faults();
    let read: BTreeSet<String> = known_keys(&faults)
        .into_iter()
        .flat_map(|map| map.keys)
        .collect();
    let kinds = kinds(&faults);
    assert!(
        kinds.contains("restart") && kinds.contains("never"),
        "{kinds:?}"
    );
    let missing: Vec<_> = kinds.difference(&read).collect();
    assert!(
        missing.is_empty(),
        "no step or requirement with {missing:?}"
    );
}

/// A map that none of the files above has would go unnoticed. Whoever adds a reader adds its map there.
#[test]
fn every_map_is_read_here() {
    // The maps of hosts, the network and the facts have one reader for the installation and for expectations, and so
    // have all kinds of steps and of requirements.
    let product_readers = readers_in(&["crates/config/src/product.rs", "crates/config/src/lease"]);
    assert_eq!(product_readers, unknown_keys_in(PRODUCT));
    let trial_readers = readers_in(&["crates/fault-injection/src/scenario"]);
    assert_eq!(trial_readers, unknown_keys_in(TRIAL));
    let step_kinds = EXPECTATION.matches("- {????").count();
    let step_and_requirement = 2;
    let expectation_maps =
        unknown_keys_in(SUITE) + unknown_keys_in(INSTALLATION) + unknown_keys_in(EXPECTATION)
            - step_kinds
            + step_and_requirement;
    assert_eq!(readers_in(&["crates/expectations/src"]), expectation_maps);
}
