//! Expectations from their text to their verdicts, and what is said of them.

use quartzcleat_expectations::{report, run, Options, Outcome, Verdict};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

const DAY: &str = include_str!("../../../deploy/imlil-main.yaml");
const INSTALLATION: &str = include_str!("../../../deploy/expectations/installation.yaml");

/// A folder of its own, gone with the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "quartzcleat-expect-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0).expect("a folder is made");
        folder.write("day.yaml", DAY);
        folder.write("installation.yaml", INSTALLATION);
        folder
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a file is written");
        path
    }

    fn run(&self, expectations: &str, change: impl FnOnce(&mut Options)) -> Outcome {
        let text = format!(
            "settings: day.yaml\ninstallation: installation.yaml\nexpectations:\n{expectations}"
        );
        let path = self.write("e.yaml", &text);
        let mut options = Options {
            paths: vec![path],
            jobs: 2,
            ..Options::default()
        };
        change(&mut options);
        run(&options)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn verdicts(outcome: &Outcome) -> Vec<Verdict> {
    outcome
        .results
        .iter()
        .map(|result| result.verdict)
        .collect()
}

const CAP: &str = "
  - name: no request gets more than four attempts
    given: {attempts: [normal, busy, refused]}
    when:
      - {at: 0ms, request: bed-check, from: Amazigh}
    must:
      - {attempts: 4}
";

#[test]
fn a_failure_has_a_story_a_path_that_replays_it_and_the_line_behind_it() {
    let folder = Folder::new();
    let day = DAY.replace("sendCap: 4", "sendCap: 6");
    folder.write("day.yaml", &day);
    let outcome = folder.run(CAP, |_| {});
    assert_eq!(
        (verdicts(&outcome), outcome.code()),
        (vec![Verdict::Failed], 1),
        "{}",
        report::human(&outcome, true)
    );
    let failure = outcome.results[0].failure.clone().expect("it is told");
    assert!(
        failure.how.contains("attempt 5 of 4") || failure.how.contains("5, at most 4"),
        "{}",
        failure.how
    );
    assert!(
        failure.path.iter().filter(|choice| **choice != 0).count() >= 4,
        "{:?}",
        failure.path
    );
    assert!(
        failure
            .story
            .iter()
            .any(|line| line.contains("(attempt 5)")),
        "{:#?}",
        failure.story
    );
    let line = day
        .lines()
        .position(|line| line.contains("sendCap"))
        .expect("it is there") as u32
        + 1;
    let behind: Vec<_> = failure
        .behind
        .sets
        .iter()
        .flatten()
        .map(|found| (found.line, found.key.as_str()))
        .collect();
    assert!(behind.contains(&(line, "limits.sendCap")), "{behind:?}");
    // The path alone fails in the same way, and a shorter one does not.
    let again = folder.run(CAP, |options| options.replay = Some(failure.path.clone()));
    assert_eq!(verdicts(&again), [Verdict::Failed]);
    let shorter = failure.path[..failure.path.len() - 1].to_vec();
    let again = folder.run(CAP, |options| options.replay = Some(shorter));
    assert_eq!(verdicts(&again), [Verdict::Held]);
}

#[test]
fn a_quiet_change_is_found_as_the_smallest_set_of_lines() {
    let folder = Folder::new();
    let old = folder.write("old.yaml", DAY);
    // Three changes, of which one breaks the expectation.
    let new = DAY
        .replace("sendCap: 4", "sendCap: 7")
        .replace("refill: 19", "refill: 21")
        .replace("connectTimeoutNs: 250ms", "connectTimeoutNs: 200ms");
    folder.write("day.yaml", &new);
    let outcome = folder.run(CAP, |options| options.against = Some(old));
    let (before, blame) = outcome.results[0]
        .differs
        .clone()
        .expect("the verdicts differ");
    assert_eq!(before, Verdict::Held);
    let keys: Vec<_> = blame
        .sets
        .iter()
        .flatten()
        .map(|line| (line.key.as_str(), line.would.as_str()))
        .collect();
    assert_eq!(keys, [("limits.sendCap", "4")]);
}

#[test]
fn what_is_never_tested_or_says_nothing_does_not_hold() {
    let folder = Folder::new();
    let outcome = folder.run(
        "
  - name: no drain, so nothing is tested
    when:
      - {at: 0ms, request: bed-hold, from: Azib}
    must:
      - {never: reaches a draining node}
  - name: a bound that nothing here can pass
    when:
      - {at: 0ms, request: bed-hold, from: Azib}
      - {at: 0ms, request: bed-hold, from: Azib}
    must:
      - {units: 2000}
  - name: a bed-check never fails, whatever is done
    when:
      - {at: 0ms, request: bed-check, from: Azib}
    must:
      - {answered: 1h}
",
        |_| {},
    );
    assert_eq!(
        verdicts(&outcome),
        [Verdict::Untested, Verdict::Untested, Verdict::Held]
    );
    let outcome = folder.run(
        "
  - name: a bed-check never fails, whatever is done
    when:
      - {at: 0ms, request: bed-check, from: Azib}
    must:
      - {never: fails}
",
        |_| {},
    );
    assert_eq!(
        (verdicts(&outcome), outcome.code()),
        (vec![Verdict::SaysNothing], 1)
    );
    // A rule that breaks when the cap on attempts is lifted does not make the demand say anything.
    let outcome = folder.run(
        "
  - name: a bed-check that no node takes never fails
    given: {attempts: refused, nodes: [n1, n2]}
    when:
      - {at: 0ms, request: bed-check, from: Azib}
    must:
      - {never: fails}
",
        |_| {},
    );
    assert_eq!(verdicts(&outcome), [Verdict::SaysNothing]);
}

#[test]
fn bad_input_is_named_with_its_line_and_the_others_still_run() {
    let folder = Folder::new();
    let bad = "
  - name: an unknown partner
    when:
      - {at: 0ms, request: bed-hold, from: Azip}
    must:
      - {always: is served}
  - name: times that cannot be, a class that is not, and nothing demanded
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
    let outcome = folder.run(&format!("{bad}{CAP}"), |_| {});
    let expected = [
        Verdict::Faulty,
        Verdict::Faulty,
        Verdict::Faulty,
        Verdict::Held,
    ];
    assert_eq!((verdicts(&outcome), outcome.code()), (expected.to_vec(), 2));
    let notes: Vec<_> = outcome
        .results
        .iter()
        .flat_map(|result| result.notes.clone())
        .collect();
    let all = notes.join("\n");
    for part in [
        "e.yaml:7: when.0.from: no partner \"Azip\"; did you mean Azib?",
        "e.yaml:11: given.discovery: -3s is not a time",
        "e.yaml:13: when.0.at: soon: \"soon\" is not known",
        "e.yaml:13: when.0.request: no class \"bed-hould\"; did you mean bed-hold?",
        "e.yaml:15: must.0: demands nothing",
        "e.yaml:20: must.0.served.at least: more than at most",
    ] {
        assert!(all.contains(part), "{part}\nnot in\n{all}");
    }
}

#[test]
fn figures_follow_the_day_and_ranges_cover_it() {
    let folder = Folder::new();
    let text = "
  - name: a guide's burst is cut near a window's limit
    when:
      - {at: 0ms, request: bed-hold, from: Tamsoult, count: 80, every: 5ms}
    must:
      - {units: plans.guide.burst * 1.5 + 6}
";
    let outcome = folder.run(text, |options| {
        options
            .ranges
            .push(("plans.guide.burst".into(), vec![6.0, 9.0, 12.0]));
    });
    assert_eq!(verdicts(&outcome), [Verdict::Held; 3]);
    assert!(outcome.results[2].day.ends_with("plans.guide.burst=12"));
    let fixed = text.replace("plans.guide.burst * 1.5 + 6", "15");
    let outcome = folder.run(&fixed, |options| {
        options
            .ranges
            .push(("plans.guide.burst".into(), vec![6.0, 24.0]));
    });
    assert_eq!(
        verdicts(&outcome),
        [Verdict::Held, Verdict::Failed],
        "an absolute figure breaks at the far end"
    );
    let outcome = folder.run(text, |options| {
        options.ranges.push(("plans.gide.burst".into(), vec![1.0]));
    });
    assert_eq!(outcome.code(), 2);
}

#[test]
fn reports_say_the_same_in_every_form() {
    let folder = Folder::new();
    folder.write("day.yaml", &DAY.replace("sendCap: 4", "sendCap: 6"));
    let outcome = folder.run(CAP, |options| options.blame = false);
    let json: serde_json::Value = serde_json::from_str(&report::json(&outcome)).expect("JSON");
    assert_eq!(json["results"][0]["verdict"], "failed");
    let junit = report::junit(&outcome);
    assert!(
        junit.contains("tests=\"1\" failures=\"1\"")
            && junit.contains("<failure message=\"FAILED: "),
        "{junit}"
    );
    assert!(report::human(&outcome, false).contains("1 failed"));
}

/// The same run twice gives the same verdicts, counts and stories.
#[test]
fn a_run_is_the_same_each_time() {
    let folder = Folder::new();
    let outcomes: Vec<_> = (1..=2)
        .map(|jobs| folder.run(CAP, |options| options.jobs = jobs))
        .collect();
    let told = |outcome: &Outcome| {
        let counts = &outcome.results[0].explored;
        (
            counts.plays,
            counts.states,
            counts.events,
            counts.walks,
            counts.tested,
        )
    };
    assert_eq!(told(&outcomes[0]), told(&outcomes[1]));
    assert!(outcomes[0].results[0].explored.plays > 20 && outcomes[0].results[0].explored.complete);
}

/// What stands beside the configurations holds on the days that it names, every one of it, in less than a minute.
#[test]
fn the_expectations_of_both_deployments_hold() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/expectations");
    let budget = quartzcleat_expectations::Budget {
        plays: 300,
        events: 100_000,
        ..Default::default()
    };
    for (deployment, least) in [("imlil-main", 60), ("reykjavik-auth", 25)] {
        let (paths, deployment) = (vec![path.clone()], Some(deployment.to_owned()));
        let outcome = run(&Options {
            paths,
            deployment,
            budget,
            ..Options::default()
        });
        assert!(
            outcome.results.len() >= least,
            "{} expectations",
            outcome.results.len()
        );
        assert_eq!(outcome.code(), 0, "{}", report::human(&outcome, false));
        assert!(outcome.seconds < 60.0, "{} s", outcome.seconds);
    }
    let deployment = Some("imlil".to_owned());
    let outcome = run(&Options {
        paths: vec![path],
        deployment,
        ..Options::default()
    });
    assert_eq!(
        outcome.code(),
        2,
        "an unknown deployment is named, not passed over"
    );
    assert!(report::human(&outcome, false).contains("known: imlil-main, reykjavik-auth"));
}
