//! Makes the path of a failure as short and plain as possible.

use super::{replay, Failure, Replay};
use crate::compile::CompiledExpectation;

/// The most runs that are spent on it.
const MAX_RUNS: u32 = 400;

/// Sets choices back to their first option where the same requirement still fails. Begins with large groups of
/// choices, for speed.
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
            let Some(plainer) = with_first_options(&path, start, size) else {
                start += size;
                continue;
            };
            runs_left -= 1;
            match replay(compiled, &plainer) {
                Replay::Failed(again) if again.requirement == requirement => {
                    path = plainer;
                    shortest = again;
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

/// The path with a group of choices at their first option; `None` where they are already.
fn with_first_options(path: &[usize], start: usize, size: usize) -> Option<Vec<usize>> {
    let end = (start + size).min(path.len());
    if path[start..end].iter().all(|choice| *choice == 0) {
        return None;
    }
    let mut plainer = path.to_vec();
    plainer[start..end].fill(0);
    trim(&mut plainer);
    Some(plainer)
}

/// Takes off first options at the end, which are taken without a path.
fn trim(path: &mut Vec<usize>) {
    while path.last() == Some(&0) {
        path.pop();
    }
}
