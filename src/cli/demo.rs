//! `quartzcleat demo`: limiters before stand-ins on loopback, a short mixed load with a drain, a silent counter and a
//! lost node in it, and a table of what happened.

use clap::Args;
use quartzcleat_config::{Day, Faults};
use quartzcleat_expectations::explore::judge;
use quartzcleat_expectations::{compile, file, Compiled};
use quartzcleat_invariants::{Answer, Fact, Record};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::process::ExitCode;

const STORY: &str = include_str!("demo.yaml");
const DAY: &str = include_str!("../../deploy/imlil-main.yaml");
const INSTALLATION: &str = include_str!("../../deploy/expectations/installation.yaml");

/// Start three limiters before stand-ins on loopback, play a short load and show what happened.
///
/// The stand-ins (discovery, counter, six booking nodes, clients) run in this process, the limiters are processes of
/// this program. Some 6 s; nothing else is needed and nothing is left behind. Exit code 0: every request got its one
/// answer, no rule was broken and the demo's own expectations held.
#[derive(Debug, Args)]
pub struct Demo {}

fn story() -> Result<Compiled, Faults> {
    let mut faults = Faults::default();
    let from = |path: &Path| match path.to_str() {
        Some("demo.yaml") => Ok(STORY.to_owned()),
        Some(_) => Ok(INSTALLATION.to_owned()),
        None => Err(io::ErrorKind::NotFound.into()),
    };
    let suite = file::read_with(Path::new("demo.yaml"), &from, &mut faults);
    let (Some(suite), true) = (suite, faults.none()) else {
        return Err(faults);
    };
    let day = Day::read("imlil-main.yaml", DAY)?;
    compile(&suite, &suite.expectations[0], &day)
}

impl Demo {
    /// Plays and tells.
    pub fn run(self) -> ExitCode {
        let played = story()
            .map_err(|faults| faults.to_string())
            .and_then(|mut compiled| {
                compiled.scenario.variant = Some(0);
                let folder = super::live::folder();
                let played = std::env::current_exe().and_then(|program| {
                    std::fs::create_dir_all(&folder)?;
                    quartzcleat_fakes::play(&compiled.scenario, &program, &folder)
                });
                let _ = std::fs::remove_dir_all(&folder);
                played
                    .map(|records| (compiled, records))
                    .map_err(|e| e.to_string())
            });
        let (compiled, mut records) = match played {
            Ok(played) => played,
            Err(problem) => {
                eprintln!("quartzcleat: demo: {problem}");
                return ExitCode::from(2);
            }
        };
        records.sort_by_key(|record| record.at);
        let (_, failed) = judge(&compiled, &records, true, 50_000_000);
        super::print(&table(&compiled, &records));
        match failed {
            None => {
                super::print("Every request got one final answer in time; no rule was broken.\n");
                ExitCode::SUCCESS
            }
            Some((.., how)) => {
                super::print(&format!("Not as expected: {how}\n"));
                ExitCode::from(1)
            }
        }
    }
}

#[derive(Default)]
struct Row {
    asked: u32,
    attempts: u32,
    served: u32,
    refused: u32,
    failed: u32,
    elapsed: Vec<u64>,
}

fn table(compiled: &Compiled, records: &[Record]) -> String {
    let (processes, begin) = (
        &compiled.scenario.processes,
        records.first().map_or(0, |record| record.at),
    );
    let (mut rows, mut asked) = (BTreeMap::<(usize, usize), Row>::new(), BTreeMap::new());
    let mut out = String::from("What happened:\n");
    for record in records {
        match &record.fact {
            Fact::RequestReceived {
                request,
                limiter,
                class,
                ..
            } => {
                asked.insert(*request, (*limiter, *class, record.at));
                rows.entry((*limiter, *class)).or_default().asked += 1;
            }
            Fact::AttemptSent { request, .. } => {
                if let Some((limiter, class, _)) = asked.get(request) {
                    rows.entry((*limiter, *class)).or_default().attempts += 1;
                }
            }
            Fact::Answered { request, answer } => {
                let Some((limiter, class, at)) = asked.get(request) else {
                    continue;
                };
                let row = rows.entry((*limiter, *class)).or_default();
                match answer {
                    Answer::Served => {
                        row.served += 1;
                        row.elapsed.push(record.at - at);
                    }
                    Answer::Rejected(_) => row.refused += 1,
                    Answer::Failed => row.failed += 1,
                }
            }
            Fact::Note(text) => {
                let _ = writeln!(out, "  {:>7.3} s  {text}", (record.at - begin) as f64 / 1e9);
            }
            _ => {}
        }
    }
    let _ = writeln!(
        out,
        "\n{:24} {:10} {:>6} {:>8} {:>6} {:>8} {:>7} {:>10} {:>10}",
        "limiter",
        "class",
        "asked",
        "attempts",
        "served",
        "refused",
        "failed",
        "median ms",
        "95% ms"
    );
    for ((limiter, class), mut row) in rows {
        row.elapsed.sort_unstable();
        let quantile = |part: f64| {
            let place = (row.elapsed.len().saturating_sub(1) as f64 * part) as usize;
            row.elapsed
                .get(place)
                .map_or(0.0, |nanos| *nanos as f64 / 1e6)
        };
        let _ = writeln!(
            out,
            "{:24} {:10} {:>6} {:>8} {:>6} {:>8} {:>7} {:>10.1} {:>10.1}",
            processes.limiter(limiter),
            processes.classes[class],
            row.asked,
            row.attempts,
            row.served,
            row.refused,
            row.failed,
            quantile(0.5),
            quantile(0.95)
        );
    }
    out.push('\n');
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_story_is_sound_and_holds_in_the_world() {
        let mut compiled = story().unwrap_or_else(|faults| panic!("{faults}"));
        compiled.scenario.variant = Some(0);
        let played = quartzcleat_simulation::simulate(
            &compiled.scenario,
            &mut quartzcleat_simulation::oracle::FirstOption,
        );
        let (judged, failed) = judge(&compiled, &played.records, played.is_complete, 0);
        assert_eq!(failed, None);
        assert!(judged.iter().all(|judged| judged.tested > 0), "{judged:?}");
    }
}
