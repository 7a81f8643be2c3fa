//! Staggered proposals: each limiter waits for its own delay before it proposes, so that the limiters do not all
//! contend for a free lease at the same time, and different tasks go to different limiters.

use crate::Nanos;

/// The maximum rank that counts towards the delay, so that a fleet with few live members soon has a holder.
const MAX_RANK: u64 = 16;

/// Returns how long a limiter waits, to let others propose first: its rank for the task times `step`.
///
/// The rank, from 0, is the limiter's position among all limiters by rendezvous hashing (highest random weight, Thaler
/// and Ravishankar 1998). Ranks above `MAX_RANK` count as `MAX_RANK`, and a fraction of a step that differs from
/// limiter to limiter is added.
pub fn stagger_delay(task: &str, limiter: &str, all_limiters: &[String], step: Nanos) -> Nanos {
    let own_weight = rendezvous_weight(task, limiter);
    let rank = all_limiters
        .iter()
        .filter(|other| rendezvous_weight(task, other) > own_weight)
        .count() as u64;
    let jitter = if rank > MAX_RANK {
        own_weight % step.max(1)
    } else {
        0
    };
    step.saturating_mul(rank.min(MAX_RANK)) + jitter
}

fn rendezvous_weight(task: &str, limiter: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(task.len() as u64).to_be_bytes());
    hasher.update(task.as_bytes());
    hasher.update(limiter.as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_be_bytes(weight)
}
