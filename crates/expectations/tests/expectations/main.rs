//! Checks of expectations, from their text to verdicts and reports.

mod folder;
mod former_names;

use folder::{Folder, SETTINGS};
use quartzcleat_expectations::check::FailureReport;
use quartzcleat_expectations::{check, report, CheckReport, Options, SettingRange, Verdict};
use std::path::Path;

fn verdicts(report: &CheckReport) -> Vec<Verdict> {
    report.results.iter().map(|result| result.verdict).collect()
}

fn range(name: &str, values: &[f64]) -> SettingRange {
    SettingRange {
        name: name.to_owned(),
        values: values.to_vec(),
    }
}

/// An expectation that allows no more attempts than the `sendCap` of [`SETTINGS`].
const CAP: &str = "
  - name: no request gets more than four attempts
    given: {attempts: [normal, rejected, connection refused]}
    when:
      - {at: 0ms, request: bed-check, from: Amazigh}
    must:
      - {attempts: 4}
";

/// Returns settings that grant more attempts than [`CAP`] allows.
fn settings_with_raised_cap() -> String {
    SETTINGS.replace("sendCap: 4", "sendCap: 6")
}

fn folder_with_raised_cap() -> Folder {
    let folder = Folder::new();
    folder.write("settings.yaml", &settings_with_raised_cap());
    folder
}

fn failure_of(checked: &CheckReport) -> FailureReport {
    checked.results[0]
        .failure
        .clone()
        .expect("the failure is reported")
}

#[test]
fn failure_has_a_description_a_path_and_a_timeline() {
    let checked = folder_with_raised_cap().check(CAP, |_| {});
    assert_eq!(
        (verdicts(&checked), checked.exit_code()),
        (vec![Verdict::Failed], 1),
        "{}",
        report::human(&checked, true)
    );
    let failure = failure_of(&checked);
    assert!(
        failure.description.contains("attempt 5 of 4")
            || failure.description.contains("5, at most 4"),
        "{}",
        failure.description
    );
    assert!(
        failure.path.iter().filter(|choice| **choice != 0).count() >= 4,
        "{:?}",
        failure.path
    );
    assert!(
        failure
            .timeline
            .iter()
            .any(|line| line.contains("(attempt 5)")),
        "{:#?}",
        failure.timeline
    );
}

#[test]
fn failure_is_attributed_to_the_responsible_line() {
    let checked = folder_with_raised_cap().check(CAP, |_| {});
    let line = settings_with_raised_cap()
        .lines()
        .position(|line| line.contains("sendCap"))
        .expect("the settings contain sendCap") as u32
        + 1;
    let attribution = failure_of(&checked).attribution;
    let lines: Vec<_> = attribution
        .line_sets
        .iter()
        .flatten()
        .map(|found| (found.line, found.key.as_str()))
        .collect();
    assert!(lines.contains(&(line, "limits.sendCap")), "{lines:?}");
}

#[test]
fn path_of_a_failure_replays_it_and_a_shorter_one_does_not() {
    let folder = folder_with_raised_cap();
    let path = failure_of(&folder.check(CAP, |_| {})).path;
    let again = folder.check(CAP, |options| options.replay = Some(path.clone()));
    assert_eq!(verdicts(&again), [Verdict::Failed]);
    let shorter = path[..path.len() - 1].to_vec();
    let again = folder.check(CAP, |options| options.replay = Some(shorter));
    assert_eq!(verdicts(&again), [Verdict::Held]);
}

#[test]
fn verdict_is_attributed_to_the_smallest_set_of_changed_lines() {
    let folder = Folder::new();
    let old = folder.write("old.yaml", SETTINGS);
    // Only the first of these three changes breaks the expectation.
    let new = SETTINGS
        .replace("sendCap: 4", "sendCap: 7")
        .replace("refill: 19", "refill: 21")
        .replace("connectTimeoutNs: 250ms", "connectTimeoutNs: 200ms");
    folder.write("settings.yaml", &new);
    let checked = folder.check(CAP, |options| options.compare_with = Some(old));
    let difference = checked.results[0]
        .difference
        .clone()
        .expect("the verdicts differ");
    assert_eq!(difference.compared, Verdict::Held);
    let keys: Vec<_> = difference
        .attribution
        .line_sets
        .iter()
        .flatten()
        .map(|line| (line.key.as_str(), line.alternative.as_str()))
        .collect();
    assert_eq!(keys, [("limits.sendCap", "4")]);
}

#[test]
fn unexercised_expectation_does_not_hold() {
    let folder = Folder::new();
    let checked = folder.check(
        "
  - name: no drain, so no run exercises it
    when:
      - {at: 0ms, request: bed-hold, from: Azib}
    must:
      - {never: reaches a draining node}
  - name: an upper bound above any possible sum
    when:
      - {at: 0ms, request: bed-hold, from: Azib}
      - {at: 0ms, request: bed-hold, from: Azib}
    must:
      - {units: 2000}
  - name: a bed-check is answered within an hour
    when:
      - {at: 0ms, request: bed-check, from: Azib}
    must:
      - {answered: 1h}
",
        |_| {},
    );
    assert_eq!(
        verdicts(&checked),
        [Verdict::Untested, Verdict::Untested, Verdict::Held]
    );
}

#[test]
fn vacuous_expectation_does_not_hold() {
    let checked = Folder::new().check(
        "
  - name: a bed-check never fails
    when:
      - {at: 0ms, request: bed-check, from: Azib}
    must:
      - {never: fails}
",
        |_| {},
    );
    assert_eq!(
        (verdicts(&checked), checked.exit_code()),
        (vec![Verdict::Vacuous], 1)
    );
}

#[test]
fn violated_invariant_leaves_a_requirement_vacuous() {
    let folder = Folder::new();
    // A variation that raises the cap on attempts violates an invariant, not the requirement.
    let checked = folder.check(
        "
  - name: a bed-check whose connections are refused never fails
    given: {attempts: connection refused, nodes: [n1, n2]}
    when:
      - {at: 0ms, request: bed-check, from: Azib}
    must:
      - {never: fails}
",
        |_| {},
    );
    assert_eq!(verdicts(&checked), [Verdict::Vacuous]);
}

#[test]
fn invalid_input_is_reported_with_its_line_and_the_others_are_checked() {
    let folder = Folder::new();
    let bad = "
  - name: an unknown partner
    when:
      - {at: 0ms, request: bed-hold, from: Azip}
    must:
      - {always: is served}
  - name: invalid times, an unknown class and no condition
    given: {discovery: -3s}
    when:
      - {at: soon, request: bed-hould, from: Azib}
    must:
      - {class: bed-hold}
  - name: contradictory bounds
    when:
      - {at: 0ms, request: bed-hold, from: Azib}
    must:
      - {served: {at least: 3, at most: 2}}
";
    let checked = folder.check(&format!("{bad}{CAP}"), |_| {});
    let expected = [
        Verdict::Invalid,
        Verdict::Invalid,
        Verdict::Invalid,
        Verdict::Held,
    ];
    assert_eq!(
        (verdicts(&checked), checked.exit_code()),
        (expected.to_vec(), 2)
    );
    let notes: Vec<_> = checked
        .results
        .iter()
        .flat_map(|result| result.notes.clone())
        .collect();
    let all = notes.join("\n");
    for part in [
        "e.yaml:7: when.0.from: unknown partner \"Azip\"; did you mean Azib?",
        "e.yaml:11: given.discovery: -3s is not a valid duration",
        "e.yaml:13: when.0.at: soon: unknown part \"soon\"",
        "e.yaml:13: when.0.request: unknown class \"bed-hould\"; did you mean bed-hold?",
        "e.yaml:15: must.0: the requirement has no condition",
        "e.yaml:20: must.0.served.at least: greater than at most",
    ] {
        assert!(all.contains(part), "{part}\nnot in\n{all}");
    }
}

/// An expectation whose upper bound is a formula of the plan's burst.
const BURST: &str = "
  - name: a guide's burst stays near the limit of its window
    when:
      - {at: 0ms, request: bed-hold, from: Tamsoult, count: 80, every: 5ms}
    must:
      - {units: plans.guide.burst * 1.5 + 6}
";

#[test]
fn formulas_follow_the_settings_of_a_range() {
    let checked = Folder::new().check(BURST, |options| {
        options
            .ranges
            .push(range("plans.guide.burst", &[6.0, 9.0, 12.0]));
    });
    assert_eq!(verdicts(&checked), [Verdict::Held; 3]);
    assert!(checked.results[2]
        .deployment
        .ends_with("plans.guide.burst=12"));
}

#[test]
fn absolute_bound_fails_at_the_upper_end_of_a_range() {
    let fixed = BURST.replace("plans.guide.burst * 1.5 + 6", "15");
    let checked = Folder::new().check(&fixed, |options| {
        options
            .ranges
            .push(range("plans.guide.burst", &[6.0, 24.0]));
    });
    assert_eq!(
        verdicts(&checked),
        [Verdict::Held, Verdict::Failed],
        "an absolute bound fails at the upper end of the range"
    );
}

#[test]
fn range_over_an_unknown_setting_is_reported() {
    let checked = Folder::new().check(BURST, |options| {
        options.ranges.push(range("plans.gide.burst", &[1.0]));
    });
    assert_eq!(checked.exit_code(), 2);
}

#[test]
fn reports_agree_in_every_format() {
    let folder = Folder::new();
    folder.write(
        "settings.yaml",
        &SETTINGS.replace("sendCap: 4", "sendCap: 6"),
    );
    let checked = folder.check(CAP, |options| options.attribute_sources = false);
    let json: serde_json::Value =
        serde_json::from_str(&report::json(&checked)).expect("the report is valid JSON");
    assert_eq!(json["results"][0]["verdict"], "failed");
    let junit = report::junit(&checked);
    assert!(
        junit.contains("tests=\"1\" failures=\"1\"")
            && junit.contains("<failure message=\"FAILED: "),
        "{junit}"
    );
    assert!(report::human(&checked, false).contains("1 failed"));
}

/// Two runs of the same check give the same counts, whatever the number of concurrent jobs.
#[test]
fn check_is_deterministic() {
    let folder = Folder::new();
    let reports: Vec<_> = (1..=2)
        .map(|jobs| folder.check(CAP, |options| options.jobs = jobs))
        .collect();
    let counts = |report: &CheckReport| {
        let counts = &report.results[0].explored;
        (
            counts.runs,
            counts.states,
            counts.events,
            counts.random_walks,
            counts.exercised,
        )
    };
    assert_eq!(counts(&reports[0]), counts(&reports[1]));
    assert!(
        reports[0].results[0].explored.runs > 20 && reports[0].results[0].explored.is_exhaustive
    );
}

/// Every shipped expectation holds for the settings that its file names, in less than 60 s per deployment.
#[test]
fn expectations_of_both_deployments_hold() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/expectations");
    let budget = quartzcleat_expectations::Budget {
        max_runs: 300,
        max_events: 100_000,
        ..Default::default()
    };
    for (deployment, min_results) in [("imlil-main", 60), ("reykjavik-auth", 25)] {
        let (paths, deployment) = (vec![path.clone()], Some(deployment.to_owned()));
        let checked = check(&Options {
            paths,
            deployment,
            budget,
            ..Options::default()
        });
        assert!(
            checked.results.len() >= min_results,
            "{} expectations",
            checked.results.len()
        );
        assert_eq!(checked.exit_code(), 0, "{}", report::human(&checked, false));
        assert!(checked.seconds < 60.0, "{} s", checked.seconds);
    }
}

#[test]
fn unknown_deployment_is_reported_with_the_known_ones() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/expectations");
    let deployment = Some("imlil".to_owned());
    let checked = check(&Options {
        paths: vec![path],
        deployment,
        ..Options::default()
    });
    assert_eq!(
        checked.exit_code(),
        2,
        "an unknown deployment is an error, not an empty check"
    );
    assert!(report::human(&checked, false).contains("known: imlil-main, reykjavik-auth"));
}
