//! The verdict on a history: violations of mutual exclusion, changes of lease holder, and the gaps between holders.

use crate::scenario::FaultKind;
use crate::target::Action;
use quartzcleat_decision::api::LimiterIndex;
use std::fmt;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// How far back overlaps are searched: an action is compared with earlier ones up to the first that ended this long
/// before it began.
const OVERLAP_SEARCH_TIME: Duration = Duration::from_secs(1);

/// The event of a fault that a mark records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MarkEvent {
    /// The fault began.
    Began(FaultKind),
    /// The fault is over.
    Over(FaultKind),
    /// The limiter could not be restarted after the fault.
    StartFailed,
}

/// Formats the event as histories show it: `pause`, `pause over`, `no start`.
impl fmt::Display for MarkEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MarkEvent::Began(kind) => formatter.write_str(kind.keyword()),
            MarkEvent::Over(kind) => write!(formatter, "{} over", kind.keyword()),
            MarkEvent::StartFailed => formatter.write_str("no start"),
        }
    }
}

/// The time at which a fault began or ended at a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// The time since the target's start.
    pub at: Duration,
    /// The limiter that the fault affects.
    pub limiter: LimiterIndex,
    /// What happened to the fault.
    pub event: MarkEvent,
}

/// Two accepted actions that together violate mutual exclusion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The action that was accepted first.
    pub earlier: Action,
    /// The action that should not have been accepted after it.
    pub later: Action,
}

/// The findings on a history.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The number of actions that were accepted with a lower token than an earlier one.
    pub stale_tokens: usize,
    /// The number of pairs of accepted actions with different tokens that overlapped in time.
    pub overlaps: usize,
    /// The number of accepted actions.
    pub accepted: usize,
    /// The number of actions that were refused because of their tokens.
    pub refused: usize,
    /// The number of changes of lease holder.
    pub changes: usize,
    /// The number of these changes during which the earlier holder was paused.
    pub while_paused: usize,
    /// The time between the last action of one holder and the first of the next, for each change.
    pub gaps: Vec<Duration>,
    /// The first violation; `None` if the history has none.
    pub violation: Option<Violation>,
}

impl Verdict {
    /// Returns whether there is no violation.
    pub fn holds(&self) -> bool {
        self.stale_tokens == 0 && self.overlaps == 0
    }

    fn check_order(&mut self, greatest: &Action, action: &Action) {
        if action.token < greatest.token {
            self.stale_tokens += 1;
            self.record_violation(greatest, action);
        }
    }

    fn check_overlap(&mut self, earlier: &[&Action], action: &Action) {
        let recent = earlier
            .iter()
            .rev()
            .take_while(|other| other.to + OVERLAP_SEARCH_TIME > action.from);
        for other in recent {
            if other.token != action.token && other.to > action.from {
                self.overlaps += 1;
                self.record_violation(other, action);
            }
        }
    }

    /// Keeps the first violation.
    fn record_violation(&mut self, earlier: &Action, later: &Action) {
        self.violation.get_or_insert(Violation {
            earlier: *earlier,
            later: *later,
        });
    }

    fn count_change(&mut self, before: &Action, action: &Action, marks: &[Mark]) {
        if before.token.has_same_owner(action.token) {
            return;
        }
        self.changes += 1;
        self.gaps.push(action.from.saturating_sub(before.to));
        let paused = is_paused(marks, LimiterIndex(before.token.proposer), action.from);
        self.while_paused += usize::from(paused);
    }
}

/// Judges a history. The check is independent of the target's check of tokens: order and overlap are derived from the
/// accepted actions alone.
pub fn judge(actions: &[Action], marks: &[Mark]) -> Verdict {
    let accepted: Vec<&Action> = actions.iter().filter(|action| action.accepted).collect();
    let mut verdict = Verdict {
        accepted: accepted.len(),
        refused: actions.len() - accepted.len(),
        ..Verdict::default()
    };
    let Some(mut greatest) = accepted.first().copied() else {
        return verdict;
    };
    for (index, action) in accepted.iter().enumerate() {
        verdict.check_order(greatest, action);
        if action.token >= greatest.token {
            greatest = action;
        }
        verdict.check_overlap(&accepted[..index], action);
        if let Some(before) = index.checked_sub(1) {
            verdict.count_change(accepted[before], action, marks);
        }
    }
    verdict
}

/// Returns whether a limiter was paused at a time.
fn is_paused(marks: &[Mark], limiter: LimiterIndex, at: Duration) -> bool {
    let paused = |mark: &Mark| match mark.event {
        MarkEvent::Began(FaultKind::Pause) => Some(true),
        MarkEvent::Over(FaultKind::Pause) => Some(false),
        _ => None,
    };
    marks
        .iter()
        .rev()
        .filter(|mark| mark.at <= at && mark.limiter == limiter)
        .find_map(paused)
        .unwrap_or(false)
}
