//! A run: all expectations of some files, on one day or several, each explored, judged, and asked whether it says
//! anything at all.

use crate::blame::{self, Blame};
use crate::compile::{compile, Compiled};
use crate::explore::{explore, Budget, Explored, Failure};
use crate::file::{self, Expectation, Suite};
use crate::vary::{varied, Vary};
use quartzcleat_config::day::Change;
use quartzcleat_config::reader::list;
use quartzcleat_config::tree::Content;
use quartzcleat_config::{Day, Faults};
use quartzcleat_decision::api::HostState;
use quartzcleat_invariants::{timeline, Fact, Record};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, CounterCallOutcome, CounterMode, Scenario, ScenarioEvent,
};
use rayon::prelude::*;
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Instant;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Files of expectations, and folders of them.
    pub paths: Vec<PathBuf>,
    /// Another day's settings than the files name.
    pub settings: Option<PathBuf>,
    /// Settings to compare verdicts with.
    pub against: Option<PathBuf>,
    /// Figures that take several values, by name: every combination is a day of its own.
    pub ranges: Vec<(String, Vec<f64>)>,
    /// Only expectations whose name holds this.
    pub only: Option<String>,
    /// Only those meant for the settings of this deployment: their file's name without its end.
    pub deployment: Option<String>,
    /// How much each is explored.
    pub budget: Budget,
    /// Whether the lines behind a failure are looked for.
    pub blame: bool,
    /// Whether expectations that hold are asked if they say anything.
    pub vary: bool,
    /// How many are explored at once; 0 for one a core.
    pub jobs: usize,
    /// Plays this path of choices alone.
    pub replay: Option<Vec<usize>>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            paths: vec![PathBuf::from("deploy/expectations")],
            settings: None,
            against: None,
            ranges: Vec::new(),
            only: None,
            deployment: None,
            budget: Budget::default(),
            blame: true,
            vary: true,
            jobs: 0,
            replay: None,
        }
    }
}

/// The verdict on one expectation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It holds in all that was played, and was put to the test.
    Held,
    /// It does not hold.
    Failed,
    /// No play put one of its demands to the test.
    Untested,
    /// One of its demands holds whatever is changed of what it names.
    SaysNothing,
    /// It cannot be used.
    Faulty,
}

/// How a failure is told.
#[derive(Clone, Debug, Serialize)]
pub struct Told {
    /// What happened.
    pub how: String,
    /// The line of the demand, or of the expectation where a rule is broken.
    pub line: u32,
    /// The path of choices, to replay it.
    pub path: Vec<usize>,
    /// How many choices the play had that was first found to fail.
    pub choices: usize,
    /// The story.
    pub story: Vec<String>,
    /// The lines of configuration behind it.
    pub behind: Blame,
}

/// The result for one expectation on one day.
#[derive(Clone, Debug, Serialize)]
pub struct Result {
    /// The file.
    pub file: String,
    /// The line.
    pub line: u32,
    /// The expectation's name.
    pub name: String,
    /// The day's settings, with what a range made of them.
    pub day: String,
    /// The verdict.
    pub verdict: Verdict,
    /// What is to be known of it: faults, or demands that were not tested or say nothing.
    pub notes: Vec<String>,
    /// How it fails.
    pub failure: Option<Told>,
    /// The lines behind it, where nothing tested it.
    pub behind: Option<Blame>,
    /// The verdict under the settings compared with, where it differs, and the changed lines that do it.
    pub differs: Option<(Verdict, Blame)>,
    /// Plays, events and different states.
    pub explored: Counts,
    /// Seconds it took.
    pub seconds: f64,
}

/// How much was explored.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Plays.
    pub plays: u64,
    /// Events.
    pub events: u64,
    /// Different states at choices.
    pub states: u64,
    /// Plays ended where their state had been met.
    pub met: u64,
    /// Random walks.
    pub walks: u64,
    /// All ways to so many choices.
    pub depth: usize,
    /// All ways to the end.
    pub complete: bool,
    /// How often the demand that was tested least was put to the test.
    pub tested: u64,
}

/// What came of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Each expectation's result, in the order of the files.
    pub results: Vec<Result>,
    /// Faults of the files, one line each.
    pub faults: Vec<String>,
    /// Seconds it all took.
    pub seconds: f64,
}

impl Outcome {
    /// The exit code: 0 all held, 1 one does not, 2 something cannot be told.
    pub fn code(&self) -> u8 {
        let bad = |verdict: Verdict| {
            matches!(
                verdict,
                Verdict::Failed | Verdict::Untested | Verdict::SaysNothing
            )
        };
        if self.results.iter().any(|result| bad(result.verdict)) {
            1
        } else if !self.faults.is_empty()
            || self.results.iter().any(|r| r.verdict == Verdict::Faulty)
        {
            2
        } else {
            u8::from(self.results.is_empty()) * 2
        }
    }
}

/// Reads the settings of a day from a file.
///
/// # Errors
/// All its faults.
pub fn read_day(path: &Path) -> std::result::Result<Day, Faults> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Day::read(&name, &text),
        Err(e) => {
            let mut faults = Faults::default();
            faults.add(
                &name.into(),
                quartzcleat_config::tree::Place::default(),
                "",
                format!("cannot read: {e}"),
            );
            Err(faults)
        }
    }
}

/// One expectation on one day, to be checked.
#[derive(Clone, Debug)]
pub struct Work {
    /// The file's givens.
    pub suite: Arc<Suite>,
    /// The expectation.
    pub expectation: Expectation,
    /// The day.
    pub day: Day,
    /// The day's name, with what a range made of it.
    pub label: String,
}

/// What options name: each expectation on each day, beside the faults of the others.
pub fn gather(options: &Options, faults: &mut Faults) -> Vec<Work> {
    let files = file::find(&options.paths);
    if files.is_empty() {
        let named: Vec<_> = options
            .paths
            .iter()
            .map(|path| path.display().to_string())
            .collect();
        let nowhere = quartzcleat_config::tree::Place::default();
        faults.add(
            &named.join(", ").into(),
            nowhere,
            "",
            "no file of expectations",
        );
    }
    let suites = files.iter().filter_map(|path| file::read(path, faults));
    let mut suites = suites.map(Arc::new).collect::<Vec<_>>();
    if let Some(name) = &options.deployment {
        let of = |suite: &Suite| {
            suite
                .settings
                .file_stem()
                .map(|stem| stem.to_string_lossy().into_owned())
        };
        let known: BTreeSet<String> = suites.iter().filter_map(|suite| of(suite)).collect();
        suites.retain(|suite| of(suite).as_ref() == Some(name));
        if suites.is_empty() {
            let known: Vec<_> = known.into_iter().collect();
            let problem = format!(
                "no expectations of a deployment {name:?}; known: {}",
                known.join(", ")
            );
            faults.add(
                &Arc::from(""),
                quartzcleat_config::tree::Place::default(),
                "--deployment",
                problem,
            );
        }
    }
    let mut work = Vec::new();
    for suite in &suites {
        let path = options.settings.as_ref().unwrap_or(&suite.settings);
        let day = match read_day(path) {
            Ok(day) => day,
            Err(found) => {
                faults.0.extend(
                    found
                        .0
                        .into_iter()
                        .filter(|fault| !faults.0.contains(fault))
                        .collect::<Vec<_>>(),
                );
                continue;
            }
        };
        let wanted = |e: &&Expectation| {
            options
                .only
                .as_ref()
                .is_none_or(|only| e.name.contains(only.as_str()))
        };
        for expectation in suite.expectations.iter().filter(wanted) {
            match days(expectation, &day, &options.ranges) {
                Ok(days) => work.extend(days.into_iter().map(|(day, label)| Work {
                    suite: suite.clone(),
                    expectation: expectation.clone(),
                    day,
                    label,
                })),
                Err(found) => faults.0.extend(found.0),
            }
        }
    }
    work
}

/// Runs expectations.
pub fn run(options: &Options) -> Outcome {
    let (began, mut faults) = (Instant::now(), Faults::default());
    let work = gather(options, &mut faults);
    let mut against = None;
    if let Some(path) = &options.against {
        match read_day(path) {
            Ok(day) => against = Some(day),
            Err(found) => faults.0.extend(found.0),
        }
    }
    let one = |work: &Work| {
        check(
            &work.suite,
            &work.expectation,
            &work.day,
            &work.label,
            against.as_ref(),
            options,
        )
    };
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(options.jobs)
        .build();
    let results = match pool {
        Ok(pool) => pool.install(|| work.par_iter().with_max_len(1).map(one).collect()),
        Err(_) => work.iter().map(one).collect(),
    };
    let faults = faults.0.iter().map(ToString::to_string).collect();
    Outcome {
        results,
        faults,
        seconds: began.elapsed().as_secs_f64(),
    }
}

/// More days than this one expectation is not checked on.
const MOST_DAYS: usize = 64;

/// The days that ranges make of one: those of the command line and the expectation's own.
fn days(
    expectation: &Expectation,
    day: &Day,
    ranges: &[(String, Vec<f64>)],
) -> std::result::Result<Vec<(Day, String)>, Faults> {
    let mut faults = Faults::default();
    let mut ranges = ranges.to_vec();
    if let Some(Content::Map(members)) = expectation.given.get("range").map(|node| &node.content) {
        for (name, place, node) in members {
            let values: Option<Vec<f64>> = list(node)
                .iter()
                .map(|node| {
                    if let Content::Number(value) = node.content {
                        Some(value)
                    } else {
                        None
                    }
                })
                .collect();
            match values.filter(|values| !values.is_empty()) {
                Some(values) => ranges.push((name.clone(), values)),
                None => faults.add(
                    &expectation.file,
                    *place,
                    format!("given.range.{name}"),
                    "not a list of numbers",
                ),
            }
        }
    }
    let mut days = vec![(Vec::<Change>::new(), String::new())];
    for (name, values) in &ranges {
        let key = match day.look(name) {
            Ok(named) => named.key,
            Err(problem) => {
                faults.add(
                    &expectation.file,
                    expectation.given.place,
                    "given.range",
                    problem,
                );
                continue;
            }
        };
        let with = |(changes, label): &(Vec<Change>, String), value: &f64| {
            let mut changes = changes.clone();
            changes.push((key.clone(), Some(Content::Number(*value))));
            (changes, format!("{label} {name}={value}"))
        };
        days = days
            .iter()
            .flat_map(|day| {
                values
                    .iter()
                    .map(|value| with(day, value))
                    .collect::<Vec<_>>()
            })
            .collect();
        if days.len() > MOST_DAYS {
            let problem = format!("{} days; {MOST_DAYS} at most", days.len());
            faults.add(
                &expectation.file,
                expectation.given.place,
                "given.range",
                problem,
            );
            return Err(faults);
        }
    }
    let mut made = Vec::new();
    for (changes, label) in days {
        match day.with(&changes) {
            Ok(other) => made.push((other, format!("{}{label}", day.file))),
            Err(found) => faults.0.extend(found.0),
        }
    }
    faults.or(made)
}

fn check(
    suite: &Suite,
    expectation: &Expectation,
    day: &Day,
    label: &str,
    against: Option<&Day>,
    options: &Options,
) -> Result {
    let began = Instant::now();
    let mut result = Result {
        file: expectation.file.to_string(),
        line: expectation.line,
        name: expectation.name.clone(),
        day: label.to_owned(),
        verdict: Verdict::Faulty,
        notes: Vec::new(),
        failure: None,
        behind: None,
        differs: None,
        explored: Counts::default(),
        seconds: 0.0,
    };
    let compiled = match compile(suite, expectation, day) {
        Ok(compiled) => compiled,
        Err(faults) => {
            result.notes = faults.0.iter().map(ToString::to_string).collect();
            return result;
        }
    };
    if let Some(path) = &options.replay {
        let (records, failure) = crate::explore::follow(&compiled, path);
        result.verdict = if failure.is_some() {
            Verdict::Failed
        } else {
            Verdict::Held
        };
        let failure = failure.unwrap_or_else(|| Failure {
            path: path.clone(),
            choices: path.len(),
            must: None,
            at: 0,
            request: None,
            how: "nothing fails on this path".to_owned(),
            records,
        });
        result.failure = Some(told(&compiled, expectation, &failure, Blame::default()));
        return result;
    }
    let explored = explore(&compiled, &options.budget);
    result.verdict = verdict(&compiled, &explored, &mut result.notes);
    if result.verdict == Verdict::Held && options.vary {
        says_nothing(suite, expectation, day, &compiled, &explored, &mut result);
    }
    let behind = || match against {
        Some(old) if !blame::changes(old, day).is_empty() => {
            blame::between(suite, expectation, old, day, false, &options.budget)
        }
        _ => blame::behind(suite, expectation, day, &options.budget),
    };
    if result.verdict == Verdict::Untested && options.blame {
        result.behind = Some(behind());
    }
    if let Some(failure) = &explored.failure {
        let behind = if options.blame {
            behind()
        } else {
            Blame::default()
        };
        result.failure = Some(told(&compiled, expectation, failure, behind));
    }
    if let Some(old) = against {
        let before = compile(suite, expectation, old).ok().map(|compiled| {
            let explored = explore(&compiled, &options.budget);
            verdict(&compiled, &explored, &mut Vec::new())
        });
        let held = |verdict: Verdict| matches!(verdict, Verdict::Held | Verdict::SaysNothing);
        if let Some(before) = before.filter(|before| held(*before) != held(result.verdict)) {
            let turned = match &result.failure {
                Some(failure) if !failure.behind.sets.is_empty() => failure.behind.clone(),
                _ => blame::between(
                    suite,
                    expectation,
                    old,
                    day,
                    held(result.verdict),
                    &options.budget,
                ),
            };
            result.differs = Some((before, turned));
        }
    }
    result.explored = Counts {
        plays: explored.plays,
        events: explored.events,
        states: explored.states,
        met: explored.met,
        walks: explored.walks,
        depth: explored.depth,
        complete: explored.complete,
        tested: explored
            .judged
            .iter()
            .map(|(tested, _)| *tested)
            .min()
            .unwrap_or(0),
    };
    result.seconds = began.elapsed().as_secs_f64();
    result
}

fn verdict(compiled: &Compiled, explored: &Explored, notes: &mut Vec<String>) -> Verdict {
    if explored.failure.is_some() {
        return Verdict::Failed;
    }
    let untested: Vec<u32> = compiled
        .musts
        .iter()
        .zip(&explored.judged)
        .filter(|(_, (tested, _))| *tested == 0)
        .map(|(must, _)| must.line)
        .collect();
    notes.extend(
        untested
            .iter()
            .map(|line| format!("line {line}: no play put this to the test")),
    );
    if untested.is_empty() {
        Verdict::Held
    } else {
        Verdict::Untested
    }
}

/// Varies what an expectation names, and sees whether any of its demands is left untouched by all of it.
fn says_nothing(
    suite: &Suite,
    expectation: &Expectation,
    day: &Day,
    compiled: &Compiled,
    explored: &Explored,
    result: &mut Result,
) {
    let budget = Budget {
        plays: 60,
        events: 60_000,
        depth: 8,
        seed: 1,
    };
    let mut moved = vec![false; compiled.musts.len()];
    let mut see = |other: &Compiled| {
        let found = explore(other, &budget);
        for (number, moved) in moved.iter_mut().enumerate() {
            // A rule that breaks says nothing of the demand.
            let failed = found
                .failure
                .as_ref()
                .is_some_and(|f| f.must == Some(number));
            let now = found.judged.get(number).copied().unwrap_or_default();
            let figure = explored.judged[number].1;
            // A never-event's figure is how often it happened: 0 while it holds, whatever else changes.
            *moved |= failed || now.0 == 0 || (now.1 - figure).abs() > 0.02 * figure.abs();
        }
        moved.iter().all(|moved| *moved)
    };
    let mut ways: Vec<Compiled> = Vec::new();
    let steps = compiled.scenario.steps.iter().enumerate();
    let others: Vec<usize> = steps
        .filter(|(_, step)| !matches!(step.event, ScenarioEvent::Request(_)))
        .map(|(index, _)| index)
        .collect();
    ways.extend(
        others
            .iter()
            .take(6)
            .map(|index| varied(compiled, &Vary::Without(*index))),
    );
    ways.push(varied(compiled, &Vary::Requests(4.0)));
    ways.push(varied(compiled, &Vary::Requests(0.4)));
    for fate in [
        AttemptOutcome::ResetAfterExecution,
        AttemptOutcome::Normal,
        AttemptOutcome::RequestLost,
    ] {
        if compiled.scenario.attempt_outcomes != [fate] {
            let mut other = compiled.clone();
            other.scenario.attempt_outcomes = vec![fate];
            ways.push(other);
        }
    }
    ways.extend(upheavals(compiled));
    let scaled = |key: &str, factor: f64| {
        let node = day.tree.at(key)?;
        let now = if let Content::Number(value) = node.content {
            value
        } else {
            quantity_of(node)
        };
        let value = if now.fract() == 0.0 {
            (now * factor).round()
        } else {
            now * factor
        };
        Some((key.to_owned(), Some(Content::Number(value))))
    };
    let mut changes: Vec<Vec<Change>> = Vec::new();
    for key in &compiled.names {
        changes.extend(
            [0.5, 2.0]
                .iter()
                .filter_map(|factor| Some(vec![scaled(key, *factor)?])),
        );
    }
    let plan = |step: &quartzcleat_simulation::scenario::Step| match &step.event {
        ScenarioEvent::Request(ask) => Some(ask.plan),
        _ => None,
    };
    let plans: std::collections::BTreeSet<u32> =
        compiled.scenario.steps.iter().filter_map(plan).collect();
    for plan in plans {
        for factor in [0.25, 16.0] {
            let figures = ["refill", "peakUnits"]
                .map(|figure| scaled(&format!("contracts.{plan}.{figure}"), factor));
            changes.push(figures.into_iter().flatten().collect());
        }
    }
    let made = changes
        .iter()
        .filter_map(|changes| compile(suite, expectation, &day.with(changes).ok()?).ok());
    ways.extend(made);
    if ways.iter().any(&mut see) {
        return;
    }
    result.verdict = Verdict::SaysNothing;
    for (must, _) in compiled
        .musts
        .iter()
        .zip(&moved)
        .filter(|(_, moved)| !**moved)
    {
        result.notes.push(format!(
            "line {}: holds whatever is changed of what the expectation names",
            must.line
        ));
    }
}

/// Worlds in which something that expectations rest on is quite different.
fn upheavals(compiled: &Compiled) -> Vec<Compiled> {
    let with = |change: &dyn Fn(&mut Scenario)| {
        let mut other = compiled.clone();
        change(&mut other.scenario);
        other
    };
    vec![
        with(&|s| s.hosts.iter_mut().for_each(|node| node.absent = true)),
        with(&|s| s.hosts.iter_mut().for_each(|node| node.speed *= 0.03)),
        with(&|s| s.hosts.iter_mut().for_each(|node| node.uptime = None)),
        with(&|s| s.hosts.iter_mut().for_each(|node| node.uptime = Some(0))),
        with(&|s| s.counter.mode = CounterMode::Silent),
        with(&|s| s.counter.call_outcomes = vec![CounterCallOutcome::RequestLost]),
        with(&|s| s.settings.max_attempts = 1),
        with(&|s| s.settings.max_attempts = 12),
        with(&|s| s.settings.retry_after = false),
        with(&|s| s.settings.longest_retry_after *= 20),
        with(&|s| {
            s.ground_truth
                .classes
                .iter_mut()
                .for_each(|class| class.dedup_window = 1);
        }),
        with(&|s| s.processes.hosts.iter_mut().for_each(|host| host.zone += 1)),
        with(&|s| s.processes.hosts.iter_mut().for_each(|host| host.zone = 0)),
    ]
}

fn quantity_of(node: &quartzcleat_config::Node) -> f64 {
    quartzcleat_config::quantity::time(node).map_or(0.0, |nanos| nanos as f64)
}

/// Lines of a story beyond which the middle is left out.
const STORY: usize = 60;

fn told(compiled: &Compiled, expectation: &Expectation, failure: &Failure, behind: Blame) -> Told {
    // What every limiter is told at its start goes without saying.
    let begin = failure.records.first().map_or(0, |record| record.at);
    let usual = |record: &Record| {
        record.at == begin
            && matches!(
                record.fact,
                Fact::HostStateLearned {
                    state: HostState::Ready,
                    ..
                }
            )
    };
    let told = failure
        .records
        .iter()
        .filter(|record| failure.at == 0 || record.at <= failure.at);
    let until: Vec<_> = told.filter(|record| !usual(record)).cloned().collect();
    let mut story = timeline::render(&compiled.scenario.processes, &until);
    if story.len() > STORY {
        let left = story.len() - STORY;
        let end = story.split_off(story.len() - STORY / 2);
        story.truncate(STORY / 2);
        story.push(format!("{:>12}  ({left} lines left out)", "..."));
        story.extend(end);
    }
    let line = failure
        .must
        .and_then(|must| compiled.musts.get(must))
        .map_or(expectation.line, |must| must.line);
    let (how, path, choices) = (failure.how.clone(), failure.path.clone(), failure.choices);
    Told {
        how,
        line,
        path,
        choices,
        story,
        behind,
    }
}
