//! The verdict on a history: what was broken, what was reached, and how long nobody held the task.

use crate::target::Seen;
use std::time::Duration;

/// A moment of the trial at which a fault began or ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Mark {
    /// When.
    pub at: Duration,
    /// Which limiter; all where there is none.
    pub limiter: Option<usize>,
    /// In words, such as `pause` and `pause over`.
    pub what: String,
}

/// What is found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Acts let in with a token below one let in before.
    pub old_tokens: usize,
    /// Pairs of acts of two tokens that were let in and overlapped.
    pub at_once: usize,
    /// Acts let in and refused.
    pub accepted: usize,
    /// See `accepted`.
    pub refused: usize,
    /// Changes of holder, and those of them that came while the holder before was paused.
    pub changes: usize,
    /// See `changes`.
    pub while_paused: usize,
    /// Times between the last act of one holder and the first of the next.
    pub gaps: Vec<Duration>,
    /// The shortest stretch that shows what is broken.
    pub shown: Option<(Seen, Seen)>,
}

impl Verdict {
    /// Whether nothing is broken.
    pub fn holds(&self) -> bool {
        self.old_tokens == 0 && self.at_once == 0
    }
}

/// Judges a history. It knows nothing of how targets check: order and overlap are found from what was let in.
pub fn judge(seen: &[Seen], marks: &[Mark]) -> Verdict {
    let mut verdict = Verdict::default();
    let accepted: Vec<&Seen> = seen.iter().filter(|act| act.accepted).collect();
    verdict.accepted = accepted.len();
    verdict.refused = seen.len() - accepted.len();
    let mut greatest: Option<&Seen> = None;
    for (index, act) in accepted.iter().enumerate() {
        if let Some(before) = greatest.filter(|before| act.token < before.token) {
            verdict.old_tokens += 1;
            verdict.shown.get_or_insert((*before, **act));
        }
        if greatest.is_none_or(|before| act.token >= before.token) {
            greatest = Some(act);
        }
        for before in accepted[..index]
            .iter()
            .rev()
            .take_while(|before| before.to + Duration::from_secs(1) > act.from)
        {
            if before.token != act.token && before.to > act.from {
                verdict.at_once += 1;
                verdict.shown.get_or_insert((**before, **act));
            }
        }
        let Some(before) = index.checked_sub(1).map(|index| accepted[index]) else {
            continue;
        };
        if (before.token.proposer, before.token.incarnation)
            != (act.token.proposer, act.token.incarnation)
        {
            verdict.changes += 1;
            verdict.gaps.push(act.from.saturating_sub(before.to));
            let paused = paused_at(marks, before.token.proposer as usize, act.from);
            verdict.while_paused += usize::from(paused);
        }
    }
    verdict
}

fn paused_at(marks: &[Mark], limiter: usize, at: Duration) -> bool {
    let last = marks.iter().rev().find(|mark| {
        mark.at <= at
            && mark.limiter == Some(limiter)
            && ["pause", "pause over"].contains(&mark.what.as_str())
    });
    last.is_some_and(|mark| mark.what == "pause")
}

#[cfg(test)]
mod tests {
    use super::*;
    use quartzcleat_lease::FencingToken;

    fn act(from: u64, to: u64, round: u64, proposer: u32, accepted: bool) -> Seen {
        let (from, to) = (Duration::from_millis(from), Duration::from_millis(to));
        Seen {
            from,
            to,
            token: FencingToken {
                round,
                proposer,
                incarnation: 1,
            },
            accepted,
        }
    }

    #[test]
    fn an_old_token_let_in_and_two_acts_at_once_are_told_and_a_refused_one_is_not() {
        let sound = [
            act(0, 5, 1, 0, true),
            act(20, 25, 2, 1, true),
            act(26, 27, 1, 0, false),
        ];
        let verdict = judge(&sound, &[]);
        assert!(verdict.holds());
        assert_eq!(
            (verdict.changes, verdict.refused, verdict.gaps.len()),
            (1, 1, 1)
        );
        let old = [
            act(0, 5, 1, 0, true),
            act(20, 25, 2, 1, true),
            act(26, 27, 1, 0, true),
        ];
        assert_eq!(
            (judge(&old, &[]).old_tokens, judge(&old, &[]).at_once),
            (1, 0)
        );
        let both = [act(0, 5, 1, 0, true), act(4, 9, 2, 1, true)];
        assert_eq!(
            (judge(&both, &[]).old_tokens, judge(&both, &[]).at_once),
            (0, 1)
        );
    }

    #[test]
    fn a_change_counts_as_under_a_pause_only_while_it_lasts() {
        let mark = |at, what: &str| Mark {
            at: Duration::from_millis(at),
            limiter: Some(0),
            what: what.into(),
        };
        let seen = [act(0, 5, 1, 0, true), act(50, 55, 2, 1, true)];
        assert_eq!(
            judge(&seen, &[mark(10, "pause"), mark(90, "pause over")]).while_paused,
            1
        );
        assert_eq!(
            judge(&seen, &[mark(10, "pause"), mark(40, "pause over")]).while_paused,
            0
        );
    }
}
