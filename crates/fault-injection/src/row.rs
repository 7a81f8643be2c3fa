//! What is kept of one seed: a line of JSON, from which a run that was stopped goes on and all reports are made.

use crate::play::Played;
use crate::verdict::{judge, Verdict};
use crate::Story;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::time::Duration;

/// One seed's trial.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The seed.
    pub seed: u64,
    /// Acts let in, and refused for their token.
    pub accepted: usize,
    /// See `accepted`.
    pub refused: usize,
    /// Changes of holder, and those while the holder before was paused.
    pub changes: usize,
    /// See `changes`.
    pub while_paused: usize,
    /// Acts let in with a token below an earlier one, and pairs of acts of two tokens at once.
    pub old_tokens: usize,
    /// See `old_tokens`.
    pub at_once: usize,
    /// Fewer changes of holder than the story is for.
    pub empty: bool,
    /// Times between one holder's last act and the next one's first, in microseconds.
    pub gaps_us: Vec<u64>,
    /// Seconds that all limiters together ran.
    pub limiter_seconds: f64,
    /// Datagrams and their bytes over all links.
    pub datagrams: u64,
    /// See `datagrams`.
    pub bytes: u64,
    /// CPU time of the limiters that ran to the end, in seconds, and their greatest memory in kilobytes.
    pub cpu_s: f64,
    /// See `cpu_s`.
    pub peak_kb: u64,
    /// CPU time of the ground itself, in seconds: relays, target and supervisor.
    pub ground_cpu_s: f64,
    /// What is broken, with the faults before it; empty where all holds.
    pub broken: String,
}

impl Row {
    /// What is kept of a trial.
    #[must_use]
    pub fn of(story: &Story, seed: u64, played: &Played) -> Row {
        let verdict = judge(&played.seen, &played.marks);
        let empty = verdict.changes < story.changes;
        let micros = |gap: &Duration| gap.as_micros() as u64;
        Row {
            seed,
            accepted: verdict.accepted,
            refused: verdict.refused,
            changes: verdict.changes,
            while_paused: verdict.while_paused,
            old_tokens: verdict.old_tokens,
            at_once: verdict.at_once,
            empty,
            gaps_us: verdict.gaps.iter().map(micros).collect(),
            limiter_seconds: played.lasted.as_secs_f64() * story.limiters as f64,
            datagrams: played.passed.datagrams,
            bytes: played.passed.bytes,
            cpu_s: played.cpu.as_secs_f64(),
            peak_kb: played.peak_kb,
            ground_cpu_s: played.ground_cpu.as_secs_f64(),
            broken: told(&verdict, empty, played),
        }
    }

    /// Whether nothing is broken and it was not empty.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.old_tokens == 0 && self.at_once == 0 && !self.empty
    }
}

/// The property that is broken, the shortest stretch that shows it, and the faults up to there.
fn told(verdict: &Verdict, empty: bool, played: &Played) -> String {
    let mut text = String::new();
    let mut upto = None;
    if let Some((before, act)) = verdict.shown {
        let property = if act.token < before.token {
            "an old token was let in"
        } else {
            "two acts at once"
        };
        let _ = writeln!(text, "{property}: {before:?}\n  then {act:?}");
        upto = Some(act.to);
    } else if empty {
        let _ = writeln!(
            text,
            "empty: {} changes of holder, {} acts let in",
            verdict.changes, verdict.accepted
        );
        upto = Some(played.lasted);
    }
    for mark in played
        .marks
        .iter()
        .filter(|mark| upto.is_some_and(|upto| mark.at <= upto))
    {
        let _ = writeln!(
            text,
            "  {:?} {} of limiter {:?}",
            mark.at, mark.what, mark.limiter
        );
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::target::Seen;
    use crate::verdict::Mark;
    use quartzcleat_lease::FencingToken;

    #[test]
    fn a_row_names_the_broken_property_and_reads_as_it_was_written() {
        let story = Story::read("s.yaml", "limiters: 3\nvoters: 3\nend: 2s\n").expect("sound");
        let act = |from: u64, round, proposer| Seen {
            from: Duration::from_millis(from),
            to: Duration::from_millis(from + 5),
            token: FencingToken {
                round,
                proposer,
                incarnation: 1,
            },
            accepted: true,
        };
        let marks = vec![Mark {
            at: Duration::from_millis(8),
            limiter: Some(0),
            what: "pause".into(),
        }];
        let seen = vec![act(0, 1, 0), act(20, 2, 1), act(40, 1, 0)];
        let played = Played {
            seen: seen.clone(),
            marks,
            ..Played::default()
        };
        let row = Row::of(&story, 4, &played);
        assert!(
            !row.holds() && row.broken.starts_with("an old token was let in"),
            "{}",
            row.broken
        );
        assert!(
            row.broken.contains("8ms pause of limiter Some(0)"),
            "{}",
            row.broken
        );
        let line = serde_json::to_string(&row).expect("it is written");
        assert_eq!(serde_json::from_str::<Row>(&line).ok(), Some(row));
        let sound = Row::of(
            &story,
            4,
            &Played {
                seen: seen[..2].to_vec(),
                ..Played::default()
            },
        );
        assert!(sound.holds() && sound.broken.is_empty());
        assert!(
            Row::of(
                &story,
                4,
                &Played {
                    seen: seen[..1].to_vec(),
                    ..Played::default()
                }
            )
            .empty
        );
    }
}
