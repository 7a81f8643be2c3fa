//! Whose turn it is: tasks spread over limiters by rendezvous hashing, and bids that do not come all at once.

use crate::Nanos;

/// Ranks past this one all wait as long: guards against a long line where few are alive.
const MOST_RANKS: u64 = 16;

fn score(task: &str, limiter: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(task.len() as u64).to_be_bytes());
    hasher.update(task.as_bytes());
    hasher.update(limiter.as_bytes());
    let mut first = [0; 8];
    hasher.finalize_xof().fill(&mut first);
    u64::from_be_bytes(first)
}

/// How long a limiter lets others bid first: its rank for the task among all (highest random weight, Thaler and
/// Ravishankar 1998) times `step`, and a part of a step of its own past the last rank.
pub fn turn(task: &str, me: &str, all: &[String], step: Nanos) -> Nanos {
    let mine = score(task, me);
    let rank = all.iter().filter(|other| score(task, other) > mine).count() as u64;
    step.saturating_mul(rank.min(MOST_RANKS))
        + if rank > MOST_RANKS {
            mine % step.max(1)
        } else {
            0
        }
}
