//! The report on judged deployments.

use super::judge::{DeploymentResult, Value};
use crate::error::BenchError;
use hdrhistogram::Histogram;
use std::collections::BTreeSet;

const INCIDENT_TABLE_HEAD: &str = "\n| trouble | deployments | served | refused inside | beyond quotas |\n| --- | --- | --- | --- | --- |\n";
const WORST_TABLE_HEAD: &str = "\n| seed | served | refused inside | beyond quotas | deployment |\n| --- | --- | --- | --- | --- |\n";
/// Significant digits of the histogram.
const DISTANCE_DIGITS: u8 = 3;

/// A report on results that are sorted from the worst to the best.
///
/// # Errors
/// Fails where the histogram of distances cannot be set up.
pub(super) fn report(results: &[DeploymentResult], worst: usize) -> Result<String, BenchError> {
    let distances = distance_line(results)?;
    let broken = broken_lines(results);
    let incidents = incident_table(results);
    let worst = worst_table(results, worst);
    Ok(distances + &broken + &incidents + &worst)
}

/// The distribution of the distances to the baseline.
fn distance_line(results: &[DeploymentResult]) -> Result<String, BenchError> {
    let mut distances = Histogram::<u64>::new(DISTANCE_DIGITS)?;
    for result in results {
        let thousandths = ((1.0 - result.value.served) * 1000.0).max(0.0) as u64;
        distances.saturating_record(thousandths);
    }
    let at = |quantile: f64| distances.value_at_quantile(quantile) as f64 / 1000.0;
    let served: f64 = results.iter().map(|result| result.value.served).sum();
    Ok(format!(
        "{} deployments; distance to full sight: {:.3} at the median, {:.3} at the 90th, {:.3} at the 99th percentile, \
         {:.3} at most, {:.3} in the mean\n",
        results.len(),
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0),
        1.0 - served / results.len().max(1) as f64
    ))
}

fn broken_lines(results: &[DeploymentResult]) -> String {
    let lines: Vec<String> = results
        .iter()
        .filter(|result| !result.broken.is_empty())
        .map(|result| {
            let count = result.broken.len();
            format!(
                "  seed {}: {count} times, first {}\n",
                result.seed, result.broken[0]
            )
        })
        .collect();
    format!(
        "rules broken in {} of them\n{}",
        lines.len(),
        lines.concat()
    )
}

/// The mean values by incident.
fn incident_table(results: &[DeploymentResult]) -> String {
    let mut text = INCIDENT_TABLE_HEAD.to_owned();
    let incidents: BTreeSet<&str> = results
        .iter()
        .map(|result| result.deployment.incident.name())
        .collect();
    for incident in incidents {
        let values: Vec<Value> = results
            .iter()
            .filter(|result| result.deployment.incident.name() == incident)
            .map(|result| result.value)
            .collect();
        let mean =
            |part: fn(&Value) -> f64| values.iter().map(part).sum::<f64>() / values.len() as f64;
        let row = format!(
            "| {incident} | {} | {:.3} | {:.3} | {:.3} |\n",
            values.len(),
            mean(|value| value.served),
            mean(|value| value.rejected_within_quotas),
            mean(|value| value.beyond_quotas)
        );
        text += &row;
    }
    text
}

fn worst_table(results: &[DeploymentResult], worst: usize) -> String {
    let mut text = WORST_TABLE_HEAD.to_owned();
    for result in results.iter().take(worst) {
        let Value {
            served,
            beyond_quotas,
            rejected_within_quotas,
        } = result.value;
        let row = format!(
            "| {} | {served:.3} | {rejected_within_quotas:.3} | {beyond_quotas:.3} | {} |\n",
            result.seed, result.deployment.description
        );
        text += &row;
    }
    text
}
