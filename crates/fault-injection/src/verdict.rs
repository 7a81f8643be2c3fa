//! The verdict on a history: violations of mutual exclusion, changes of lease holder, and the times without one.

use crate::scenario::FaultKind;
use crate::target::Action;
use quartzcleat_decision::api::LimiterIndex;
use std::fmt;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The longest action that a later one is compared with.
const OVERLAP_SEARCH_TIME: Duration = Duration::from_secs(1);

/// The event of a fault that a mark records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MarkEvent {
    /// The fault began.
    Began(FaultKind),
    /// The fault is over.
    Over(FaultKind),
    /// The limiter could not be started again.
    StartFailed,
}

/// The form in histories: `pause`, `pause over`.
impl fmt::Display for MarkEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MarkEvent::Began(kind) => formatter.write_str(kind.keyword()),
            MarkEvent::Over(kind) => write!(formatter, "{} over", kind.keyword()),
            MarkEvent::StartFailed => formatter.write_str("no start"),
        }
    }
}

/// The moment at which a fault began or ended at a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Time since the target's start.
    pub at: Duration,
    /// The limiter.
    pub limiter: LimiterIndex,
    /// The event.
    pub event: MarkEvent,
}

/// Two accepted actions that show a violation.
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
    /// Actions that were accepted with a lower token than one before.
    pub stale_tokens: usize,
    /// Pairs of accepted actions of two tokens that overlapped.
    pub overlaps: usize,
    /// Accepted actions.
    pub accepted: usize,
    /// Actions that were refused for their tokens.
    pub refused: usize,
    /// Changes of lease holder.
    pub changes: usize,
    /// Of these, changes while the earlier holder was paused.
    pub while_paused: usize,
    /// Times between the last action of one holder and the first of the next.
    pub gaps: Vec<Duration>,
    /// The first violation.
    pub violation: Option<Violation>,
}

impl Verdict {
    /// Whether there is no violation.
    pub fn holds(&self) -> bool {
        self.stale_tokens == 0 && self.overlaps == 0
    }

    fn check_order(&mut self, greatest: &Action, action: &Action) {
        if action.token < greatest.token {
            self.stale_tokens += 1;
            self.show(greatest, action);
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
                self.show(other, action);
            }
        }
    }

    fn show(&mut self, earlier: &Action, later: &Action) {
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

/// Judges a history. Tokens are compared here independently of how targets check them: order and overlap are found from
/// the accepted actions.
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

/// Whether a limiter was paused at a time.
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
