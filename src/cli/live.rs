//! `quartzcleat expect --live`: the same stories on loopback, with real limiter processes before stand-ins, beside
//! what the world plays of them. Timing may differ, verdicts may not.

use crate::cli::Format;
use quartzcleat_config::Faults;
use quartzcleat_expectations::explore::judge;
use quartzcleat_expectations::run::{gather, Work};
use quartzcleat_expectations::{compile, Compiled, Options};
use quartzcleat_invariants::{timeline, Answer, Fact, Record};
use quartzcleat_simulation::oracle::FirstOption;
use rayon::prelude::*;
use serde::Serialize;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// On sockets the order of what happens within this time is not known to the stand-ins.
const SLACK: u64 = 50_000_000;
/// Variants of one story that are played at most: one for each option of what it leaves open.
const VARIANTS: usize = 3;

/// What was counted in a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    asked: usize,
    attempts: usize,
    served: usize,
    refused: usize,
    failed: usize,
}

/// One variant of one story on both stages.
#[derive(Clone, Debug, Serialize)]
pub struct Compared {
    file: String,
    line: u32,
    name: String,
    variant: usize,
    world: Counts,
    live: Counts,
    /// What fails in the world and on sockets, where something does.
    world_fails: Option<String>,
    live_fails: Option<String>,
    /// Why the live play could not be had.
    fault: Option<String>,
    story: Vec<String>,
}

impl Compared {
    fn agrees(&self) -> bool {
        self.fault.is_none() && self.world_fails.is_some() == self.live_fails.is_some()
    }
}

fn count(records: &[Record]) -> Counts {
    let mut counts = Counts::default();
    for record in records {
        match record.fact {
            Fact::RequestReceived { .. } => counts.asked += 1,
            Fact::AttemptSent { .. } => counts.attempts += 1,
            Fact::Answered {
                answer: Answer::Served,
                ..
            } => counts.served += 1,
            Fact::Answered {
                answer: Answer::Rejected(_),
                ..
            } => counts.refused += 1,
            Fact::Answered {
                answer: Answer::Failed,
                ..
            } => counts.failed += 1,
            _ => {}
        }
    }
    counts
}

/// How many variants a story has.
fn variants(compiled: &Compiled) -> usize {
    let scenario = &compiled.scenario;
    let moments = scenario
        .steps
        .iter()
        .map(|step| step.moments.len())
        .max()
        .unwrap_or(1);
    let open = [
        moments,
        scenario.discovery_delays.len(),
        scenario.attempt_outcomes.len(),
        scenario.counter.call_outcomes.len(),
    ];
    open.into_iter().max().unwrap_or(1).clamp(1, VARIANTS)
}

fn compare(
    work: &Work,
    compiled: &Compiled,
    variant: usize,
    program: &Path,
    folder: &Path,
) -> Compared {
    let mut compiled = compiled.clone();
    compiled.scenario.variant = Some(variant);
    let world = quartzcleat_simulation::simulate(&compiled.scenario, &mut FirstOption);
    let (_, world_fails) = judge(&compiled, &world.records, true, 0);
    let folder = folder.join(format!("{}-{variant}", work.expectation.line));
    let live = std::fs::create_dir_all(&folder)
        .and_then(|()| quartzcleat_fakes::play(&compiled.scenario, program, &folder));
    let mut compared = Compared {
        file: work.expectation.file.to_string(),
        line: work.expectation.line,
        name: work.expectation.name.clone(),
        variant,
        world: count(&world.records),
        live: Counts::default(),
        world_fails: world_fails.map(|(.., how)| how),
        live_fails: None,
        fault: None,
        story: Vec::new(),
    };
    match live {
        Err(e) => compared.fault = Some(e.to_string()),
        Ok(mut records) => {
            records.sort_by_key(|record| record.at);
            let (_, fails) = judge(&compiled, &records, true, SLACK);
            compared.live = count(&records);
            compared.live_fails = fails.map(|(.., how)| how);
            if !compared.agrees() {
                compared.story = timeline::render(&compiled.scenario.processes, &records);
            }
        }
    }
    compared
}

/// Plays all that options name on both stages.
pub fn run(options: &Options, jobs: usize, format: Format, verbose: bool) -> ExitCode {
    let (began, mut faults) = (Instant::now(), Faults::default());
    let work = gather(options, &mut faults);
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(e) => {
            eprintln!("quartzcleat: cannot find its own program: {e}");
            return ExitCode::from(2);
        }
    };
    let folder = folder();
    let mut plays: Vec<(&Work, Compiled, usize)> = Vec::new();
    for work in &work {
        match compile(&work.suite, &work.expectation, &work.day) {
            Ok(compiled) => {
                plays.extend(
                    (0..variants(&compiled)).map(|variant| (work, compiled.clone(), variant)),
                );
            }
            Err(found) => faults.0.extend(found.0),
        }
    }
    // The longest first, so that none is left alone at the end.
    let length = |compiled: &Compiled| {
        compiled
            .scenario
            .steps
            .iter()
            .filter_map(|step| step.moments.last())
            .max()
            .copied()
    };
    plays.sort_by_key(|(_, compiled, _)| std::cmp::Reverse(length(compiled)));
    // Stories mostly wait: more of them than cores go side by side.
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(if jobs == 0 { 6 } else { jobs })
        .build();
    let one = |(work, compiled, variant): &(&Work, Compiled, usize)| {
        let folder = folder.join(work.expectation.file.replace(['/', '.'], "_"));
        compare(work, compiled, *variant, &program, &folder)
    };
    let mut compared: Vec<Compared> = match pool {
        Ok(pool) => pool.install(|| plays.par_iter().with_max_len(1).map(one).collect()),
        Err(_) => plays.iter().map(one).collect(),
    };
    let _ = std::fs::remove_dir_all(&folder);
    compared.sort_by(|a, b| (&a.file, a.line, a.variant).cmp(&(&b.file, b.line, b.variant)));
    let faults: Vec<String> = faults.0.iter().map(ToString::to_string).collect();
    let seconds = began.elapsed().as_secs_f64();
    super::print(&match format {
        Format::Human => human(&compared, &faults, seconds, verbose),
        Format::Json => {
            format!(
                "{}\n",
                serde_json::json!({"compared": compared, "faults": faults, "seconds": seconds})
            )
        }
        Format::Junit => junit(&compared, &faults),
    });
    if compared.iter().any(|one| !one.agrees()) {
        ExitCode::from(1)
    } else {
        ExitCode::from(if faults.is_empty() && !compared.is_empty() {
            0
        } else {
            2
        })
    }
}

/// A folder of this run's own.
pub(crate) fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("quartzcleat-live-{}", std::process::id()))
}

fn verdict(fails: Option<&String>) -> &str {
    fails.map_or("held", |_| "failed")
}

fn human(compared: &[Compared], faults: &[String], seconds: f64, verbose: bool) -> String {
    let mut out: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
    for one in compared {
        if one.agrees() && !verbose {
            continue;
        }
        let word = if one.agrees() { "agrees" } else { "DIFFERS" };
        let _ = writeln!(
            out,
            "  {word:8} {}:{} variant {}: {}",
            one.file, one.line, one.variant, one.name
        );
        let told = |counts: &Counts| {
            let Counts {
                asked,
                attempts,
                served,
                refused,
                failed,
            } = counts;
            format!("{asked} asked, {attempts} attempts, {served} served, {refused} refused, {failed} failed")
        };
        let _ = writeln!(
            out,
            "    world {}: {}",
            verdict(one.world_fails.as_ref()),
            told(&one.world)
        );
        let _ = writeln!(
            out,
            "    live  {}: {}",
            verdict(one.live_fails.as_ref()),
            told(&one.live)
        );
        for how in [&one.world_fails, &one.live_fails, &one.fault]
            .into_iter()
            .flatten()
        {
            let _ = writeln!(out, "    {how}");
        }
        for line in &one.story {
            let _ = writeln!(out, "      {line}");
        }
    }
    let agree = compared.iter().filter(|one| one.agrees()).count();
    let same = compared.iter().filter(|one| one.world == one.live).count();
    let _ = writeln!(
        out,
        "{} live plays: {agree} agree with the world's verdict, {same} in every count too; {seconds:.1} s",
        compared.len()
    );
    out
}

fn junit(compared: &[Compared], faults: &[String]) -> String {
    use quartzcleat_expectations::report::{case, suite};
    let mut cases: Vec<String> = faults
        .iter()
        .map(|fault| case("files", "live", fault))
        .collect();
    for one in compared {
        let differs = format!(
            "world {:?}, live {:?}, {:?}",
            one.world_fails, one.live_fails, one.fault
        );
        let fault = if one.agrees() { "" } else { &differs };
        cases.push(case(
            &format!("{} ({})", one.name, one.variant),
            &one.file,
            fault,
        ));
    }
    suite("live", &cases)
}
