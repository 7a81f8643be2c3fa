//! `deployments`: whole deployments drawn from seeds, played in the world and held against a policy with full sight.

mod draw;
mod sight;

use clap::Args;
use draw::{draw, Drawn};
use hdrhistogram::Histogram;
use quartzcleat_decision::api::RequestId;
use quartzcleat_invariants::{check, Answer, Fact, InvariantLimits};
use quartzcleat_simulation::{oracle::FirstOption, simulate, SimulationRun};
use sight::{priority_weight, Quotas};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Draw deployments, play each in the world, and rank those that stay furthest under full sight.
///
/// Rates, plans, classes, deadlines, sizes, rooms, the counter and what goes wrong are drawn over ranges far wider than
/// those of the known deployments. What is served is held against one queue with exact quotas that knows every host.
#[derive(Debug, Args)]
pub struct Deployments {
    /// Seeds, the last one included.
    #[arg(long, default_value = "1..200", value_parser = crate::trial::range)]
    seeds: (u64, u64),
    /// Deployments played at once; 0 for one a core.
    #[arg(long, default_value_t = 0)]
    jobs: usize,
    /// How many of the worst are shown.
    #[arg(long, default_value_t = 20)]
    worst: usize,
}

/// What came of one deployment; worths are parts of what full sight serves.
struct Row {
    seed: u64,
    drawn: Drawn,
    /// Worth served, less what the use beyond quotas costs.
    served: f64,
    /// What that use earns less than it would inside.
    beyond: f64,
    /// Worth of errands asked inside their quotas and refused, with nothing sent.
    refused: f64,
    broken: Vec<String>,
}

impl Deployments {
    /// Plays them all.
    pub fn run(self) -> Result<String, String> {
        let cores = std::thread::available_parallelism().map_or(4, usize::from);
        let jobs = if self.jobs == 0 { cores } else { self.jobs };
        let next = AtomicU64::new(self.seeds.0);
        let rows: Mutex<Vec<Row>> = Mutex::default();
        std::thread::scope(|scope| {
            for _ in 0..jobs {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > self.seeds.1 {
                        return;
                    }
                    let row = judge(seed);
                    if let Ok(mut rows) = rows.lock() {
                        rows.push(row);
                    }
                });
            }
        });
        let mut rows = rows.into_inner().map_err(|e| e.to_string())?;
        rows.sort_by(|a, b| a.served.total_cmp(&b.served).then(a.seed.cmp(&b.seed)));
        report(&rows, self.worst).map_err(|e| e.to_string())
    }
}

/// Plays one deployment and holds it against full sight.
fn judge(seed: u64) -> Row {
    let drawn = draw(seed);
    let played = simulate(&drawn.scenario, &mut FirstOption);
    let terms = InvariantLimits::from_settings(&drawn.scenario.ground_truth, 0);
    let broken = check(&drawn.scenario.processes, &terms, &played.records);
    let broken = broken
        .iter()
        .map(|violation| format!("{}: {}", violation.invariant.name(), violation.description))
        .collect();
    let full = sight::served(&drawn.scenario).max(1e-9);
    let (served, beyond, refused) = value(&drawn, &played);
    Row {
        seed,
        drawn,
        served: served / full,
        beyond: beyond / full,
        refused: refused / full,
        broken,
    }
}

/// One errand as far as it went.
struct OperationState {
    begun: u64,
    class: usize,
    plan: u32,
    inside: bool,
    sent: bool,
    done: bool,
}

/// The worth served, what was lost by use beyond quotas, and the worth of what was inside and refused unsent.
fn value(drawn: &Drawn, played: &SimulationRun) -> (f64, f64, f64) {
    let set = &drawn.scenario.ground_truth;
    let plans: BTreeMap<u64, u32> = drawn.scenario.steps.iter().filter_map(plan_of).collect();
    let (mut operations, mut requests) = (
        BTreeMap::<u64, OperationState>::new(),
        BTreeMap::<RequestId, (u64, usize, f64)>::new(),
    );
    // Two shadows see all: one of what is asked, one of what is sent on.
    let (mut asked, mut passed, mut sent) = (Quotas::default(), Quotas::default(), BTreeMap::new());
    let (mut served, mut beyond) = (0.0, 0.0);
    for record in &played.records {
        match &record.fact {
            Fact::RequestReceived {
                request,
                operation,
                class,
                partner,
                units,
                ..
            } => {
                let plan = plans.get(operation).copied().unwrap_or(0);
                requests.insert(*request, (*operation, *partner, *units));
                operations
                    .entry(*operation)
                    .or_insert_with(|| OperationState {
                        begun: record.at,
                        class: *class,
                        plan,
                        inside: asked.take(set, (*partner, plan), *units, record.at),
                        sent: false,
                        done: false,
                    });
            }
            Fact::AttemptSent {
                request,
                attempt: 0,
                ..
            } => {
                let Some((operation, partner, units)) = requests.get(request) else {
                    continue;
                };
                let Some(operation) = operations.get_mut(operation) else {
                    continue;
                };
                operation.sent = true;
                let inside = passed.take(set, (*partner, operation.plan), *units, record.at);
                sent.insert(*request, inside);
                if !inside {
                    let plan = &set.plans[operation.plan as usize];
                    beyond += priority_weight(set, operation.class, operation.plan, 0)
                        * plan.over_quota_cost;
                }
            }
            Fact::Answered {
                request,
                answer: Answer::Served,
            } => {
                let Some(operation) = requests
                    .get(request)
                    .and_then(|(operation, ..)| operations.get_mut(operation))
                else {
                    continue;
                };
                let whole = priority_weight(
                    set,
                    operation.class,
                    operation.plan,
                    record.at - operation.begun,
                );
                let inside = sent.get(request).copied().unwrap_or(true);
                let part = if inside {
                    1.0
                } else {
                    set.plans[operation.plan as usize].over_quota_weight
                };
                served += if operation.done { 0.0 } else { whole * part };
                operation.done = true;
            }
            _ => {}
        }
    }
    let unsent = operations
        .values()
        .filter(|operation| operation.inside && !operation.sent);
    (
        served - beyond,
        beyond,
        unsent
            .map(|operation| priority_weight(set, operation.class, operation.plan, 0))
            .sum(),
    )
}

fn plan_of(step: &quartzcleat_simulation::scenario::Step) -> Option<(u64, u32)> {
    match &step.event {
        quartzcleat_simulation::scenario::ScenarioEvent::Request(ask) => {
            Some((ask.operation, ask.plan))
        }
        _ => None,
    }
}

fn report(rows: &[Row], worst: usize) -> Result<String, std::fmt::Error> {
    let mut text = String::new();
    let mut spread = Histogram::<u64>::new(3).map_err(|_| std::fmt::Error)?;
    for row in rows {
        spread.saturating_record(((1.0 - row.served) * 1000.0).max(0.0) as u64);
    }
    let at = |quantile: f64| spread.value_at_quantile(quantile) as f64 / 1000.0;
    writeln!(
        text,
        "{} deployments; distance to full sight: {:.3} at the median, {:.3} at the 90th, {:.3} at the 99th percentile, \
         {:.3} at most, {:.3} in the mean",
        rows.len(),
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0),
        1.0 - rows.iter().map(|row| row.served).sum::<f64>() / rows.len().max(1) as f64
    )?;
    let broken: Vec<&Row> = rows.iter().filter(|row| !row.broken.is_empty()).collect();
    writeln!(text, "rules broken in {} of them", broken.len())?;
    for row in broken {
        writeln!(
            text,
            "  seed {}: {} times, first {}",
            row.seed,
            row.broken.len(),
            row.broken[0]
        )?;
    }
    writeln!(text, "\n| trouble | deployments | served | refused inside | beyond quotas |\n| --- | --- | --- | --- | --- |")?;
    let troubles: BTreeSet<&str> = rows.iter().map(|row| row.drawn.trouble).collect();
    for trouble in troubles {
        let of: Vec<&Row> = rows
            .iter()
            .filter(|row| row.drawn.trouble == trouble)
            .collect();
        let mean =
            |pick: fn(&Row) -> f64| of.iter().map(|row| pick(row)).sum::<f64>() / of.len() as f64;
        let figures = (
            mean(|row| row.served),
            mean(|row| row.refused),
            mean(|row| row.beyond),
        );
        writeln!(
            text,
            "| {trouble} | {} | {:.3} | {:.3} | {:.3} |",
            of.len(),
            figures.0,
            figures.1,
            figures.2
        )?;
    }
    writeln!(
        text,
        "\n| seed | served | refused inside | beyond quotas | deployment |\n| --- | --- | --- | --- | --- |"
    )?;
    for row in rows.iter().take(worst) {
        let Row {
            seed,
            served,
            refused,
            beyond,
            drawn,
            ..
        } = row;
        writeln!(
            text,
            "| {seed} | {served:.3} | {refused:.3} | {beyond:.3} | {} |",
            drawn.words
        )?;
    }
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What the module serves is measured, the same each time, near full sight on quiet deployments and under it on all.
    #[test]
    fn deployments_are_judged_and_keep_the_rules() {
        let mut quiet = Vec::new();
        for seed in [1, 4, 9] {
            let (row, again) = (judge(seed), judge(seed));
            assert_eq!(
                (row.served, row.beyond, row.refused),
                (again.served, again.beyond, again.refused)
            );
            assert!(row.broken.is_empty(), "seed {seed}: {:?}", row.broken);
            assert!(
                row.served < 1.25,
                "seed {seed}: {} of what full sight serves",
                row.served
            );
            if row.drawn.trouble == "nothing" {
                quiet.push(row.served);
            }
        }
        assert!(
            !quiet.is_empty() && quiet.iter().all(|served| *served > 0.3),
            "{quiet:?}"
        );
    }
}
