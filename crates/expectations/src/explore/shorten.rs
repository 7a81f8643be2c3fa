//! Reduction of a failure's path to few choices other than the first option.

use super::{replay, Failure, Replay};
use crate::compile::CompiledExpectation;

/// Maximum number of runs spent on one failure.
const MAX_RUNS: u32 = 400;

/// Resets choices to their first option where the same requirement still fails.
///
/// It starts with the whole path and halves the size of the groups, so that it needs few runs.
pub(super) fn shorten(compiled: &CompiledExpectation, failure: Failure) -> Failure {
    let choices = failure.choices;
    let requirement = failure.requirement;
    let mut path = failure.path.clone();
    let mut shortest = failure;
    trim(&mut path);
    let mut runs_left = MAX_RUNS;
    let mut size = path.len().max(1);
    while size >= 1 && runs_left > 0 {
        let mut start = 0;
        while start < path.len() && runs_left > 0 {
            let Some(simpler) = with_first_options(&path, start, size) else {
                start += size;
                continue;
            };
            runs_left -= 1;
            match replay(compiled, &simpler) {
                Replay::Failed(reproduced) if reproduced.requirement == requirement => {
                    path = simpler;
                    shortest = reproduced;
                }
                Replay::Failed(_) | Replay::Held(_) => start += size,
            }
        }
        size /= 2;
    }
    Failure {
        path,
        choices,
        ..shortest
    }
}

/// Returns the path with a group of choices reset to their first option, or `None` if all of them already are.
fn with_first_options(path: &[usize], start: usize, size: usize) -> Option<Vec<usize>> {
    let end = (start + size).min(path.len());
    if path[start..end].iter().all(|choice| *choice == 0) {
        return None;
    }
    let mut simpler = path.to_vec();
    simpler[start..end].fill(0);
    trim(&mut simpler);
    Some(simpler)
}

/// Removes first options from the end: a run takes them by default.
fn trim(path: &mut Vec<usize>) {
    while path.last() == Some(&0) {
        path.pop();
    }
}
