//! The rules that hold on every play, whatever its configuration says. Each is a walk over the records that knows
//! nothing of the others.

use crate::record::{Answered, Cast, Index, Record, What};
use quartzcleat_decision::api::{Effect, Group, HostState, Nanos, Outcome, RequestId, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request taken gets exactly one final answer, before its client gives up.
    OneAnswer,
    /// At most one attempt of a request is out, and at most so many are made.
    Attempts,
    /// What may have run goes out again only as its class allows.
    Repeats,
    /// Nothing new to a host that drains or is gone, once the grace is over.
    Drains,
    /// No cold host is sent more than it can do.
    ColdHosts,
    /// Nobody is served with what no host made.
    Values,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 6] = [
        Rule::OneAnswer,
        Rule::Attempts,
        Rule::Repeats,
        Rule::Drains,
        Rule::ColdHosts,
        Rule::Values,
    ];

    /// Its name, for people.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one final answer in time",
            Rule::Attempts => "one attempt at a time, within the cap",
            Rule::Repeats => "no repeat that its class forbids",
            Rule::Drains => "nothing new to a draining node",
            Rule::ColdHosts => "no cold node tipped",
            Rule::Values => "served only with what a node made",
        }
    }
}

/// A rule that was broken, when, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// The rule.
    pub rule: Rule,
    /// When it was.
    pub at: Nanos,
    /// The request, where one is concerned.
    pub request: Option<RequestId>,
    /// What happened.
    pub how: String,
}

/// What the rules are measured by, of the platform, not of the settings that are under test: a configuration that
/// grants too much must not loosen the rule that it breaks.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Whether each class may repeat, by its number.
    pub classes: Vec<(Effect, Group, Nanos)>,
    /// The most attempts of one request.
    pub attempts: u32,
    /// Nothing new goes to a draining host later than this.
    pub drain: Nanos,
    /// An answer is in time until so long past the deadline.
    pub answer_grace: Nanos,
    /// On sockets, what was written a moment before counts as sent before: added to each time limit.
    pub slack: Nanos,
}

impl Terms {
    /// The terms that settings state.
    pub fn of(settings: &Settings, slack: Nanos) -> Self {
        let class = |class: &quartzcleat_decision::api::Class| {
            (class.effect, class.group, class.dedup_window)
        };
        Terms {
            classes: settings.classes.iter().map(class).collect(),
            attempts: settings.max_attempts.max(1),
            drain: settings.drain_grace,
            answer_grace: settings.answer_grace,
            slack,
        }
    }
}

#[derive(Default)]
struct Request {
    limiter: Index,
    class: Index,
    deadline: Nanos,
    asked: bool,
    answers: u32,
    /// It is owed nothing.
    released: bool,
    out: BTreeSet<u32>,
    attempts: u32,
    /// The first attempt that may have run, as the limiter can know: its number, when it was sent and where.
    ran: Option<(u32, Nanos, Index)>,
    sent: BTreeMap<u32, (Nanos, Index)>,
    made: bool,
}

/// Checks all rules on the records of a play that has come to its end.
pub fn check(cast: &Cast, terms: &Terms, records: &[Record]) -> Vec<Broken> {
    let mut play = Play {
        cast,
        terms,
        open: BTreeMap::new(),
        told: BTreeMap::new(),
        broken: Vec::new(),
    };
    records.iter().for_each(|record| play.see(record));
    let end = records.iter().map(|record| record.at).max().unwrap_or(0);
    let unanswered: Vec<_> = play
        .open
        .iter()
        .filter(|(_, r)| r.asked && r.answers == 0 && !r.released)
        .map(|(id, _)| *id)
        .collect();
    for id in unanswered {
        play.fault(
            Rule::OneAnswer,
            end,
            Some(id),
            "it was never answered".to_owned(),
        );
    }
    play.broken
}

struct Play<'a> {
    cast: &'a Cast,
    terms: &'a Terms,
    open: BTreeMap<RequestId, Request>,
    told: BTreeMap<(Index, Index), (HostState, Nanos)>,
    broken: Vec<Broken>,
}

impl Play<'_> {
    fn fault(&mut self, rule: Rule, at: Nanos, request: Option<RequestId>, how: String) {
        self.broken.push(Broken {
            rule,
            at,
            request,
            how,
        });
    }

    fn see(&mut self, record: &Record) {
        let at = record.at;
        match &record.what {
            What::Asked {
                request,
                limiter,
                class,
                deadline,
                ..
            } => {
                let entry = self.open.entry(*request).or_default();
                (entry.limiter, entry.class, entry.deadline, entry.asked) =
                    (*limiter, *class, *deadline, true);
            }
            What::Told {
                limiter,
                host,
                state,
            } => {
                let held = self.told.get(&(*limiter, *host)).map(|(held, _)| *held);
                // Told again what it knows, a limiter gets no new grace.
                if held != Some(*state) {
                    self.told.insert((*limiter, *host), (*state, at));
                }
            }
            What::Sent {
                limiter,
                request,
                attempt,
                host,
                ..
            } => self.sent(at, *limiter, *request, *attempt, *host),
            What::Ran { request, .. } => self.open.entry(*request).or_default().made = true,
            What::Ended {
                request,
                attempt,
                outcome,
            } => {
                let entry = self.open.entry(*request).or_default();
                entry.out.remove(attempt);
                if *outcome == Outcome::NeverSent {
                    entry.attempts = entry.attempts.saturating_sub(1);
                }
                if outcome.never_ran() && entry.ran.is_some_and(|(number, ..)| number == *attempt) {
                    entry.ran = None;
                }
            }
            What::Answered { request, answer } => self.answered(at, *request, *answer),
            What::Left { request } => self.open.entry(*request).or_default().released = true,
            What::Died { limiter } => {
                let of_it = self
                    .open
                    .values_mut()
                    .filter(|entry| entry.limiter == *limiter);
                of_it.for_each(|entry| entry.released = true);
            }
            What::Tipped { host } => {
                let how = format!("{} fell over", self.cast.host(*host));
                self.fault(Rule::ColdHosts, at, None, how);
            }
            What::Started { .. } | What::Settled { .. } | What::Noted(_) => {}
        }
    }

    fn sent(&mut self, at: Nanos, limiter: Index, request: RequestId, attempt: u32, host: Index) {
        let terms = self.terms;
        if let Some((state, since)) = self.told.get(&(limiter, host)).copied() {
            if state != HostState::Ready && at > since + terms.drain + terms.slack {
                let late = (at - since) as f64 / 1e6;
                let how = format!(
                    "sent to {} {late:.0} ms after its drain was told",
                    self.cast.host(host)
                );
                self.fault(Rule::Drains, at, Some(request), how);
            }
        }
        let entry = self.open.entry(request).or_default();
        entry.attempts += 1;
        entry.sent.insert(attempt, (at, host));
        let (out, attempts, ran, class) = (entry.out.len(), entry.attempts, entry.ran, entry.class);
        entry.out.insert(attempt);
        if ran.is_none() {
            entry.ran = Some((attempt, at, host));
        }
        if out > 0 {
            self.fault(
                Rule::Attempts,
                at,
                Some(request),
                "sent while an earlier attempt is out".to_owned(),
            );
        }
        if attempts > terms.attempts {
            let how = format!("attempt {attempts} of {} allowed", terms.attempts);
            self.fault(Rule::Attempts, at, Some(request), how);
        }
        let Some((_, first_at, first_host)) = ran else {
            return;
        };
        let (effect, group, window) =
            terms
                .classes
                .get(class)
                .copied()
                .unwrap_or((Effect::Unsafe, Group::Cell, 0));
        let place = |host: Index| {
            self.cast
                .hosts
                .get(host)
                .map(|player| (player.room, player.cell))
        };
        let same_group = match group {
            Group::All => true,
            Group::Zone => place(host).map(|p| p.0) == place(first_host).map(|p| p.0),
            Group::Cell => place(host).map(|p| p.1) == place(first_host).map(|p| p.1),
        };
        let how = match effect {
            Effect::Retryable => return,
            Effect::Unsafe => "sent again, though it may have run and must not run twice",
            Effect::Keyed if !same_group => {
                "sent again outside the group whose nodes drop its repeats"
            }
            Effect::Keyed if at >= first_at + window + terms.slack => {
                "sent again after its key's window"
            }
            Effect::Keyed => return,
        };
        self.fault(Rule::Repeats, at, Some(request), how.to_owned());
    }

    fn answered(&mut self, at: Nanos, request: RequestId, answer: Answered) {
        let terms = self.terms;
        let entry = self.open.entry(request).or_default();
        entry.answers += 1;
        let (answers, deadline, made, ran) = (
            entry.answers,
            entry.deadline,
            entry.made,
            entry.ran.is_some(),
        );
        let (effect, group, _) =
            terms
                .classes
                .get(entry.class)
                .copied()
                .unwrap_or((Effect::Unsafe, Group::Cell, 0));
        if answers > 1 {
            self.fault(
                Rule::OneAnswer,
                at,
                Some(request),
                format!("answer number {answers}"),
            );
        }
        if at > deadline + terms.answer_grace + terms.slack {
            let late = (at - deadline) as f64 / 1e6;
            self.fault(
                Rule::OneAnswer,
                at,
                Some(request),
                format!("answered {late:.0} ms late"),
            );
        }
        if answer == Answered::Served && !made {
            self.fault(
                Rule::Values,
                at,
                Some(request),
                "served, though no node made a value".to_owned(),
            );
        }
        // A refusal says that a new try is harmless: not so where this one may have run and a try, which has the
        // same key, may come to a host outside the group.
        let harmful = match effect {
            Effect::Retryable => false,
            Effect::Keyed => ran && group != Group::All,
            Effect::Unsafe => ran,
        };
        if matches!(answer, Answered::Refused(_)) && harmful {
            let how = "refused as harmless to try again, though it may have run".to_owned();
            self.fault(Rule::Repeats, at, Some(request), how);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Player;

    const MS: Nanos = 1_000_000;

    fn terms(effect: Effect, group: Group) -> Terms {
        let classes = vec![(effect, group, 4_000 * MS)];
        Terms {
            classes,
            attempts: 4,
            drain: 1_000 * MS,
            answer_grace: 16 * MS,
            slack: 0,
        }
    }

    fn cast() -> Cast {
        let host = |cell| Player {
            name: format!("n{cell}"),
            room: 0,
            cell,
        };
        Cast {
            hosts: (0..3).map(host).collect(),
            ..Cast::default()
        }
    }

    const ID: RequestId = RequestId(7);

    fn asked() -> (Nanos, What) {
        let (request, limiter, errand, class, partner, units, deadline) =
            (ID, 0, 1, 0, 0, 1.0, 900 * MS);
        (
            0,
            What::Asked {
                request,
                limiter,
                errand,
                class,
                partner,
                units,
                deadline,
            },
        )
    }

    fn sent(at: Nanos, attempt: u32, host: Index) -> (Nanos, What) {
        (
            at * MS,
            What::Sent {
                limiter: 0,
                request: ID,
                attempt,
                host,
                cold: false,
            },
        )
    }

    fn ended(at: Nanos, attempt: u32, outcome: Outcome) -> (Nanos, What) {
        (
            at * MS,
            What::Ended {
                request: ID,
                attempt,
                outcome,
            },
        )
    }

    fn answer(at: Nanos, answer: Answered) -> (Nanos, What) {
        (
            at * MS,
            What::Answered {
                request: ID,
                answer,
            },
        )
    }

    fn broken(effect: Effect, group: Group, records: &[(Nanos, What)]) -> Vec<Rule> {
        let records: Vec<_> = records
            .iter()
            .cloned()
            .map(|(at, what)| Record { at, what })
            .collect();
        check(&cast(), &terms(effect, group), &records)
            .into_iter()
            .map(|broken| broken.rule)
            .collect()
    }

    fn ran(at: Nanos) -> (Nanos, What) {
        (
            at * MS,
            What::Ran {
                host: 0,
                request: ID,
                dropped: false,
            },
        )
    }

    #[test]
    fn a_sound_play_breaks_nothing() {
        let play = [
            asked(),
            sent(1, 0, 0),
            ended(2, 0, Outcome::Rejected),
            sent(3, 1, 1),
            ran(4),
            ended(5, 1, Outcome::Good),
            answer(5, Answered::Served),
        ];
        assert_eq!(broken(Effect::Unsafe, Group::Cell, &play), []);
    }

    #[test]
    fn answers_are_one_in_time_and_made_by_a_node() {
        use Effect::Retryable;
        assert_eq!(broken(Retryable, Group::All, &[asked()]), [Rule::OneAnswer]);
        let twice = [
            asked(),
            answer(1, Answered::Failed),
            answer(2, Answered::Failed),
        ];
        assert_eq!(broken(Retryable, Group::All, &twice), [Rule::OneAnswer]);
        assert_eq!(
            broken(
                Retryable,
                Group::All,
                &[asked(), answer(950, Answered::Failed)]
            ),
            [Rule::OneAnswer]
        );
        assert_eq!(
            broken(
                Retryable,
                Group::All,
                &[asked(), answer(1, Answered::Served)]
            ),
            [Rule::Values]
        );
        let left = [asked(), (5, What::Left { request: ID })];
        assert_eq!(broken(Retryable, Group::All, &left), []);
    }

    #[test]
    fn attempts_go_one_at_a_time_and_within_the_cap() {
        let two = [
            asked(),
            sent(1, 0, 0),
            sent(2, 1, 1),
            answer(3, Answered::Failed),
        ];
        assert!(broken(Effect::Retryable, Group::All, &two).contains(&Rule::Attempts));
        let mut five = vec![asked()];
        for attempt in 0..5 {
            five.push(sent(u64::from(attempt) * 2, attempt, 0));
            five.push(ended(
                u64::from(attempt) * 2 + 1,
                attempt,
                Outcome::Rejected,
            ));
        }
        five.push(answer(20, Answered::Failed));
        assert_eq!(
            broken(Effect::Retryable, Group::All, &five),
            [Rule::Attempts]
        );
    }

    #[test]
    fn what_may_have_run_is_repeated_only_as_its_class_allows() {
        let again = |second: Nanos, host: Index| {
            let first = ended(2, 0, Outcome::Reset);
            [
                asked(),
                sent(1, 0, 0),
                first,
                sent(second, 1, host),
                ended(second, 1, Outcome::Rejected),
                answer(899, Answered::Failed),
            ]
        };
        assert_eq!(
            broken(Effect::Unsafe, Group::Cell, &again(3, 1)),
            [Rule::Repeats]
        );
        assert_eq!(broken(Effect::Keyed, Group::All, &again(3, 1)), []);
        assert_eq!(
            broken(Effect::Keyed, Group::Cell, &again(3, 1)),
            [Rule::Repeats]
        );
        assert_eq!(broken(Effect::Keyed, Group::Cell, &again(3, 0)), []);
        assert_eq!(
            broken(Effect::Keyed, Group::All, &again(4_001, 0)),
            [Rule::Repeats]
        );
        let refused = [
            asked(),
            sent(1, 0, 0),
            ended(2, 0, Outcome::Reset),
            answer(3, Answered::Refused(0)),
        ];
        assert_eq!(
            broken(Effect::Keyed, Group::Cell, &refused),
            [Rule::Repeats]
        );
        assert_eq!(broken(Effect::Keyed, Group::All, &refused), []);
    }

    #[test]
    fn a_drain_has_its_grace_and_no_new_one() {
        let told = |at: Nanos| {
            (
                at * MS,
                What::Told {
                    limiter: 0,
                    host: 0,
                    state: HostState::Draining,
                },
            )
        };
        let play = |at: Nanos| {
            let end = [
                sent(at, 0, 0),
                ended(at, 0, Outcome::Rejected),
                answer(at, Answered::Refused(0)),
            ];
            let mut play = vec![told(0), told(900)];
            play.push((
                800 * MS,
                What::Asked {
                    request: ID,
                    limiter: 0,
                    errand: 1,
                    class: 0,
                    partner: 0,
                    units: 1.0,
                    deadline: 9_000 * MS,
                },
            ));
            play.extend(end);
            play
        };
        assert_eq!(broken(Effect::Retryable, Group::All, &play(999)), []);
        assert_eq!(
            broken(Effect::Retryable, Group::All, &play(1_001)),
            [Rule::Drains]
        );
        assert_eq!(
            broken(
                Effect::Retryable,
                Group::All,
                &[(0, What::Tipped { host: 0 })]
            ),
            [Rule::ColdHosts]
        );
    }
}
