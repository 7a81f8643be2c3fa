//! `trial`: a story played with many seeds before real processes, and one verdict on all of them.

mod plot;
mod report;

use clap::{Args, ValueEnum};
use quartzcleat_fault_injection::{play, shrink, Ground, Row, Story};
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Instant;

/// A smaller story fails where one of so many plays of it does: processes are not the same twice.
const SHRINK_PLAYS: usize = 3;

/// How a run is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Format {
    /// For people.
    Text,
    /// Totals and rows as JSON.
    Json,
    /// JUnit's XML, a case for each seed.
    Junit,
}

/// Play a story with many seeds before real limiters.
#[derive(Debug, Args)]
pub struct Trial {
    /// The story, such as deploy/trials/leases.yaml.
    story: PathBuf,
    /// Seeds, the last one included.
    #[arg(long, default_value = "1..20", value_parser = range)]
    seeds: (u64, u64),
    /// Trials at once.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// The limiter.
    #[arg(long, default_value = "target/release/quartzcleat")]
    program: PathBuf,
    /// Another build, which every other limiter runs: old beside new.
    #[arg(long)]
    beside: Option<PathBuf>,
    /// The platform's configuration that limiters start with.
    #[arg(long, default_value = "examples/toy.json")]
    platform: PathBuf,
    /// Where trials keep their files; one that could not be played keeps them.
    #[arg(long, default_value = "logs/trials")]
    folder: PathBuf,
    /// The target lets every act in, as one that cannot check tokens would: shows what the check is for.
    #[arg(long)]
    unchecked: bool,
    /// Keeps a line for each seed in this file; a run that was stopped goes on from it.
    #[arg(long)]
    rows: Option<PathBuf>,
    /// How the run is told.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
    /// Draws the last seed played (or the first that failed): who acted when, and what struck whom.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Makes the first failing seed's story smaller, as long as it still fails, and writes it to this file.
    #[arg(long)]
    shrink: Option<PathBuf>,
}

/// The first line of a file of rows: what the others are of.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    story: String,
    unchecked: bool,
}

/// Reads seeds, the last one included.
pub fn range(text: &str) -> Result<(u64, u64), String> {
    let (first, last) = text.split_once("..").ok_or("write seeds as 1..20")?;
    let number = |text: &str| {
        text.parse::<u64>()
            .map_err(|_| format!("{text:?} is no seed"))
    };
    let (first, last) = (number(first)?, number(last)?);
    if first > last {
        Err(format!("{first}..{last} holds no seed"))
    } else {
        Ok((first, last))
    }
}

/// The rows of a run that was stopped, and the file to go on with. A last line that was cut off is played again.
fn resumed(file: &Path, head: &Head) -> Result<(Vec<Row>, File), String> {
    let told = |e: std::io::Error| format!("{}: {e}", file.display());
    let text = match std::fs::read_to_string(file) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => String::new(),
        read => read.map_err(told)?,
    };
    let mut lines = text.lines();
    if let Some(first) = lines.next() {
        let held: Option<Head> = serde_json::from_str(first).ok();
        if held.as_ref() != Some(head) {
            return Err(format!(
                "{}: these rows are of another story; name another file",
                file.display()
            ));
        }
    }
    let rows: Vec<Row> = lines
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    // Written whole again: what was cut off goes, and the next line begins as one.
    let mut kept = serde_json::to_string(head).map_err(|e| e.to_string())? + "\n";
    for row in &rows {
        kept += &(serde_json::to_string(row).map_err(|e| e.to_string())? + "\n");
    }
    std::fs::write(file, kept).map_err(told)?;
    Ok((
        rows,
        OpenOptions::new().append(true).open(file).map_err(told)?,
    ))
}

impl Trial {
    /// Plays them all.
    pub fn run(self) -> Result<String, String> {
        let name = self.story.display().to_string();
        let text = std::fs::read_to_string(&self.story)
            .map_err(|e| format!("{name}: cannot read: {e}"))?;
        let story = Story::read(&name, &text).map_err(|faults| faults.to_string())?;
        let platform = std::fs::read_to_string(&self.platform);
        let platform =
            platform.map_err(|e| format!("{}: cannot read: {e}", self.platform.display()))?;
        let ground = |part: &str| Ground {
            program: self.program.clone(),
            beside: self.beside.clone(),
            platform: platform.clone(),
            folder: self.folder.join(part),
            checks: !self.unchecked,
        };
        let head = Head {
            story: text,
            unchecked: self.unchecked,
        };
        let (held, file) = match &self.rows {
            None => (Vec::new(), None),
            Some(file) => resumed(file, &head).map(|(rows, file)| (rows, Some(file)))?,
        };
        let began = Instant::now();
        let rows = self.all(&story, held, file, &ground)?;
        let failed = rows.iter().find(|row| !row.holds()).map(|row| row.seed);
        if let Some(file) = &self.plot {
            let seed = failed.unwrap_or(self.seeds.1);
            let played =
                play(&story, seed, &ground("plot")).map_err(|e| format!("seed {seed}: {e}"))?;
            plot::draw(file, &story, seed, &played)
                .map_err(|e| format!("{}: {e}", file.display()))?;
        }
        if let (Some(file), Some(seed)) = (&self.shrink, failed) {
            let fails = |story: &Story| {
                let once = |_| {
                    play(story, seed, &ground("shrink")).map(|played| Row::of(story, seed, &played))
                };
                (0..SHRINK_PLAYS)
                    .map(once)
                    .any(|row| row.is_ok_and(|row| !row.holds()))
            };
            let small = shrink(story.spelled(seed), fails).write();
            std::fs::write(file, small).map_err(|e| format!("{}: {e}", file.display()))?;
        }
        let told = report::Told {
            file: &name,
            story: &story,
            rows: &rows,
            elapsed: began.elapsed(),
        };
        let text = match self.format {
            Format::Text => told.text()?,
            Format::Json => told.json()?,
            Format::Junit => told.junit(),
        };
        if failed.is_none() {
            Ok(text)
        } else {
            Err(text)
        }
    }

    /// Plays all seeds that are not held yet.
    fn all(
        &self,
        story: &Story,
        held: Vec<Row>,
        file: Option<File>,
        ground: &(impl Fn(&str) -> Ground + Sync),
    ) -> Result<Vec<Row>, String> {
        let (first, last) = self.seeds;
        let wanted = |seed: &u64| (first..=last).contains(seed);
        let done: Vec<u64> = held.iter().map(|row| row.seed).filter(wanted).collect();
        let next = AtomicU64::new(first);
        let kept = Mutex::new((held, file, Vec::<String>::new()));
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.max(1) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > last {
                        return;
                    }
                    if done.contains(&seed) {
                        continue;
                    }
                    let ground = ground(&seed.to_string());
                    let played = play(story, seed, &ground);
                    let Ok(mut kept) = kept.lock() else { return };
                    let (rows, file, problems) = &mut *kept;
                    match played {
                        Ok(played) => {
                            let _ = std::fs::remove_dir_all(&ground.folder);
                            let row = Row::of(story, seed, &played);
                            if let (Some(file), Ok(line)) = (file, serde_json::to_string(&row)) {
                                if let Err(e) = writeln!(file, "{line}") {
                                    problems.push(format!("a row cannot be kept: {e}"));
                                }
                            }
                            rows.push(row);
                        }
                        Err(e) => problems.push(format!("seed {seed}: {e}")),
                    }
                    eprint!("\r{} of {}", rows.len(), last - first + 1);
                });
            }
        });
        eprintln!();
        let (mut rows, _, problems) = kept.into_inner().map_err(|e| e.to_string())?;
        if let Some(problem) = problems.into_iter().next() {
            return Err(problem);
        }
        rows.retain(|row| wanted(&row.seed));
        rows.sort_by_key(|row| row.seed);
        Ok(rows)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stopped_run_goes_on_from_its_rows_and_another_storys_are_refused() {
        let file =
            std::env::temp_dir().join(format!("quartzcleat-rows-{}.jsonl", std::process::id()));
        let head = |story: &str| Head {
            story: story.into(),
            unchecked: false,
        };
        let _ = std::fs::remove_file(&file);
        let (rows, mut kept) = resumed(&file, &head("a")).expect("a new file");
        assert!(rows.is_empty());
        let row = Row {
            seed: 7,
            changes: 2,
            ..Row::default()
        };
        writeln!(kept, "{}", serde_json::to_string(&row).expect("written")).expect("kept");
        // The run was killed within the next line.
        write!(kept, "{{\"seed\":8,\"acc").expect("kept");
        drop(kept);
        let (rows, mut kept) = resumed(&file, &head("a")).expect("the same story");
        assert_eq!(rows, std::slice::from_ref(&row));
        writeln!(
            kept,
            "{}",
            serde_json::to_string(&Row {
                seed: 8,
                ..row.clone()
            })
            .expect("written")
        )
        .expect("kept");
        drop(kept);
        assert_eq!(
            resumed(&file, &head("a")).expect("the same story").0.len(),
            2
        );
        assert!(resumed(&file, &head("b")).is_err_and(|problem| problem.contains("another story")));
        let _ = std::fs::remove_file(&file);
    }
}
