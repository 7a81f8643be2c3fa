//! What must hold, and the judging of one play's records by it. Each judgement also says how often the play put the
//! matter to the test, and the figure it came to, so that what was never tested is not taken for what holds.

use quartzcleat_decision::api::{HostState, Nanos, Outcome, RequestId};
use quartzcleat_invariants::{Answer, Fact, Processes, Record};
use std::collections::{BTreeMap, BTreeSet};

/// Which requests are meant; what is not told means all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Filter {
    /// Their class.
    pub class: Option<usize>,
    /// Their partners.
    pub partners: Option<BTreeSet<usize>>,
    /// The limiter they come through.
    pub through: Option<usize>,
    /// Their errand.
    pub mark: Option<u64>,
    /// Asked no sooner than this after the beginning.
    pub after: Nanos,
    /// Asked before this.
    pub until: Option<Nanos>,
    /// Only further tries of an errand (`true`), or only first ones (`false`).
    pub retries: Option<bool>,
}

/// What may not happen to a request that is meant.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// It is sent to a host that its limiter knows to drain, or to be gone, later than this after it was told.
    ReachesLeaving(HostState, Nanos),
    /// It is sent to a cold host.
    ReachesCold,
    /// It is sent to this host.
    Reaches(usize),
    /// It is sent to another room than its limiter's.
    LeavesRoom,
    /// Two of its attempts go to one host.
    SameNodeTwice,
    /// It is refused.
    Refused,
    /// It is refused without being told when to come back.
    RefusedUntold,
    /// It is served.
    Served,
    /// It is failed.
    Failed,
}

/// What is counted over the requests that are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sum {
    /// Attempts, of each request.
    Attempts,
    /// Runs that were no dropped repeats, of each errand.
    Runs,
    /// Attempts out at one moment.
    Open,
    /// Units sent on.
    Units,
    /// Requests sent on.
    Sent,
    /// Requests served.
    Served,
    /// Requests refused.
    Refused,
    /// Requests failed.
    Failed,
    /// Attempts to another room.
    Crossings,
    /// Attempts to one host, as a part of all.
    Share(usize),
}

/// Bounds of a figure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// At least this.
    pub least: Option<f64>,
    /// At most this.
    pub most: Option<f64>,
    /// The figure is a part of all requests that are meant.
    pub part: bool,
}

/// One thing that must hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Demand {
    /// An event never happens.
    Never(Event),
    /// An event happens to every request that is meant.
    Always(Event),
    /// A figure lies within bounds.
    Figure(Sum, Bounds),
    /// Each has its answer within this time.
    Within(Nanos),
    /// The time to come back that refusals tell lies within bounds, in nanoseconds.
    Told(Bounds),
}

/// A demand, whom it is about, and where it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct Must {
    /// Which requests.
    pub filter: Filter,
    /// What must hold.
    pub demand: Demand,
    /// Its line.
    pub line: u32,
}

/// How a play fares by one demand.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Judged {
    /// How it fails, where it does: when, whose request, and what.
    pub failed: Option<(Nanos, Option<RequestId>, String)>,
    /// How often it was put to the test.
    pub tested: u64,
    /// The figure it came to: the largest, or how often the event happened.
    pub figure: f64,
}

#[derive(Clone, Debug)]
struct Request {
    id: RequestId,
    limiter: usize,
    class: usize,
    partner: usize,
    operation: u64,
    units: f64,
    asked: Nanos,
    retry: bool,
    sends: Vec<Send>,
    bad_end: bool,
    answer: Option<(Answer, Nanos)>,
    /// When its attempts ended.
    ends: Vec<Nanos>,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    at: Nanos,
    host: usize,
    cold: bool,
    crosses: bool,
    /// What its limiter knew of the host, and since when.
    known: Option<(HostState, Nanos)>,
    /// Its limiter knew of a host that drains, of one that is gone, of one that is cold, or in another room.
    draining: bool,
    gone: bool,
    some_cold: bool,
    elsewhere: bool,
}

/// The facts of a play that demands are judged by.
pub struct Facts {
    begin: Nanos,
    requests: Vec<Request>,
    /// Runs by errand that were no dropped repeats, and the time of the last.
    runs: BTreeMap<u64, (u32, Nanos)>,
    /// On sockets the order of what happens within this time is not known.
    slack: Nanos,
}

impl Facts {
    /// Gathers the facts from a play's records.
    pub fn gather(processes: &Processes, records: &[Record], slack: Nanos) -> Self {
        let begin = records.first().map_or(0, |record| record.at);
        let (mut requests, mut places) = (Vec::<Request>::new(), BTreeMap::new());
        let mut known: BTreeMap<(usize, usize), (HostState, Nanos)> = BTreeMap::new();
        let (mut operations, mut runs) = (BTreeSet::new(), BTreeMap::<u64, (u32, Nanos)>::new());
        let mut cold: BTreeSet<usize> = BTreeSet::new();
        for record in records {
            let at = record.at;
            match &record.fact {
                Fact::RequestReceived {
                    request,
                    limiter,
                    operation,
                    class,
                    partner,
                    units,
                    ..
                } => {
                    places.insert(*request, requests.len());
                    requests.push(Request {
                        id: *request,
                        limiter: *limiter,
                        class: *class,
                        partner: *partner,
                        operation: *operation,
                        units: *units,
                        asked: at,
                        retry: !operations.insert(*operation),
                        sends: Vec::new(),
                        bad_end: false,
                        answer: None,
                        ends: Vec::new(),
                    });
                }
                Fact::HostStateLearned {
                    limiter,
                    host,
                    state,
                } => {
                    let held = known.get(&(*limiter, *host)).map(|(held, _)| *held);
                    if held != Some(*state) {
                        known.insert((*limiter, *host), (*state, at));
                    }
                }
                Fact::HostStarted { host } => drop(cold.insert(*host)),
                Fact::AttemptSent {
                    limiter,
                    request,
                    host,
                    warming_up: is_cold,
                    ..
                } => {
                    let zone = |host: usize| processes.hosts.get(host).map(|process| process.zone);
                    let own = processes.limiters.get(*limiter).map(|process| process.zone);
                    let knows = |state: HostState| {
                        known
                            .iter()
                            .any(|((who, _), (held, _))| who == limiter && *held == state)
                    };
                    let ready = |test: &dyn Fn(usize) -> bool| {
                        known.iter().any(|((who, host), (held, _))| {
                            who == limiter && *held == HostState::Ready && test(*host)
                        })
                    };
                    if *is_cold {
                        cold.insert(*host);
                    }
                    let send = Send {
                        at,
                        host: *host,
                        cold: *is_cold,
                        crosses: zone(*host) != own,
                        known: known.get(&(*limiter, *host)).copied(),
                        draining: knows(HostState::Draining),
                        gone: knows(HostState::Gone),
                        some_cold: ready(&|host| cold.contains(&host)),
                        elsewhere: ready(&|host| zone(host) != own),
                    };
                    if let Some(place) = places.get(request) {
                        requests[*place].sends.push(send);
                    }
                }
                Fact::Executed {
                    request,
                    deduplicated: false,
                    ..
                } => {
                    if let Some(place) = places.get(request) {
                        let run = runs.entry(requests[*place].operation).or_default();
                        *run = (run.0 + 1, at);
                    }
                }
                Fact::AttemptEnded {
                    request, outcome, ..
                } => {
                    if let Some(place) = places.get(request) {
                        requests[*place].bad_end |= *outcome != Outcome::Good;
                        requests[*place].ends.push(at);
                    }
                }
                Fact::UnitsSettled { request, units } => {
                    if let Some(place) = places.get(request) {
                        requests[*place].units = *units;
                    }
                }
                Fact::Answered { request, answer } => {
                    if let Some(place) = places.get(request) {
                        requests[*place].answer.get_or_insert((*answer, at));
                    }
                }
                _ => {}
            }
        }
        Facts {
            begin,
            requests,
            runs,
            slack,
        }
    }

    fn meant<'a>(&'a self, filter: &'a Filter) -> impl Iterator<Item = &'a Request> + 'a {
        self.requests.iter().filter(move |request| {
            let since = request.asked - self.begin;
            filter.class.is_none_or(|class| class == request.class)
                && filter
                    .partners
                    .as_ref()
                    .is_none_or(|partners| partners.contains(&request.partner))
                && filter
                    .through
                    .is_none_or(|limiter| limiter == request.limiter)
                && filter.mark.is_none_or(|mark| mark == request.operation)
                && filter
                    .retries
                    .is_none_or(|retries| retries == request.retry)
                && since >= filter.after
                && filter.until.is_none_or(|until| since < until)
        })
    }

    /// Judges the play by one demand.
    pub fn judge(&self, processes: &Processes, must: &Must) -> Judged {
        match &must.demand {
            Demand::Never(event) => self.never(processes, &must.filter, event),
            Demand::Always(event) => self.always(&must.filter, event),
            Demand::Figure(sum, bounds) => self.figure(processes, &must.filter, *sum, *bounds),
            Demand::Within(time) => {
                let elapsed = self
                    .meant(&must.filter)
                    .filter_map(|r| r.answer.map(|(_, at)| ((at - r.asked) as f64, r)));
                let bounds = Bounds {
                    most: Some((*time + self.slack) as f64),
                    ..Bounds::default()
                };
                self.each(elapsed, bounds, "answered after", true)
            }
            Demand::Told(bounds) => {
                let told = self.meant(&must.filter).filter_map(|r| match r.answer {
                    Some((Answer::Rejected(after), _)) => Some((after as f64, r)),
                    _ => None,
                });
                // A limiter tells whole milliseconds on sockets.
                let least = bounds.least.map(|least| least - self.slack as f64);
                let most = bounds.most.map(|most| most + self.slack as f64);
                let bounds = Bounds {
                    least,
                    most,
                    part: false,
                };
                self.each(told, bounds, "told to come back after", true)
            }
        }
    }

    fn never(&self, processes: &Processes, filter: &Filter, event: &Event) -> Judged {
        let mut judged = Judged::default();
        for request in self.meant(filter) {
            let (tested, happened) = self.happens(processes, request, event);
            judged.tested += tested;
            if let Some((at, how)) = happened {
                judged.figure += 1.0;
                judged.failed.get_or_insert((at, Some(request.id), how));
            }
        }
        judged
    }

    fn always(&self, filter: &Filter, event: &Event) -> Judged {
        let mut judged = Judged::default();
        for request in self.meant(filter) {
            let Some((answer, at)) = request.answer else {
                continue;
            };
            judged.tested += 1;
            let (holds, word) = match event {
                Event::Served => (answer == Answer::Served, "not served"),
                Event::Refused => (matches!(answer, Answer::Rejected(_)), "not refused"),
                Event::RefusedUntold => (
                    answer == Answer::Rejected(0),
                    "not refused, or told when to come back",
                ),
                Event::Failed => (answer == Answer::Failed, "not failed"),
                Event::LeavesRoom => (
                    request.sends.iter().all(|send| send.crosses),
                    "sent within its room",
                ),
                Event::ReachesCold => (
                    request.sends.iter().all(|send| send.cold),
                    "sent to a warm node",
                ),
                Event::Reaches(host) => (
                    request.sends.iter().all(|send| send.host == *host),
                    "sent to another node",
                ),
                Event::ReachesLeaving(..) | Event::SameNodeTwice => {
                    (false, "not to be demanded of every request")
                }
            };
            if !holds {
                judged.figure += 1.0;
                judged.failed.get_or_insert((
                    at,
                    Some(request.id),
                    format!("{word}, but {}", said(answer)),
                ));
            }
        }
        judged
    }

    /// How often an event could have happened to a request, and when and how it did.
    fn happens(
        &self,
        processes: &Processes,
        request: &Request,
        event: &Event,
    ) -> (u64, Option<(Nanos, String)>) {
        let sends = || request.sends.iter();
        let tests = |test: fn(&Send) -> bool| sends().filter(|send| test(send)).count() as u64;
        let first = |test: &dyn Fn(&&Send) -> bool, how: &str| {
            sends().find(test).map(|send| {
                (
                    send.at,
                    format!("sent to {}, {how}", processes.host(send.host)),
                )
            })
        };
        let answered = |test: fn(Answer) -> bool| {
            let (answer, at) = request.answer?;
            test(answer).then(|| (at, said(answer)))
        };
        match event {
            Event::ReachesLeaving(state, grace) => {
                let late = |send: &&Send| {
                    let limit = *grace + self.slack;
                    send.known.is_some_and(|(held, since)| {
                        held == *state
                            && (send.at > since + limit || limit == 0 && send.at >= since)
                    })
                };
                match state {
                    HostState::Gone => (
                        tests(|send| send.gone),
                        first(&late, "which it knew to be gone"),
                    ),
                    _ => (
                        tests(|send| send.draining),
                        first(&late, "which it knew to drain"),
                    ),
                }
            }
            Event::ReachesCold => (
                tests(|send| send.some_cold || send.cold),
                first(&|send| send.cold, "which is cold"),
            ),
            Event::Reaches(host) => (
                request.sends.len() as u64,
                first(&|send| send.host == *host, "which it never may"),
            ),
            Event::LeavesRoom => (
                tests(|send| send.elsewhere || send.crosses),
                first(&|send| send.crosses, "in another room"),
            ),
            Event::SameNodeTwice => {
                let mut met = BTreeSet::new();
                let twice = sends().find(|send| !met.insert(send.host));
                let again = twice.map(|send| {
                    (
                        send.at,
                        format!("sent to {} a second time", processes.host(send.host)),
                    )
                });
                (u64::from(request.sends.len() > 1), again)
            }
            Event::Refused => (
                request.answer.iter().count() as u64,
                answered(|a| matches!(a, Answer::Rejected(_))),
            ),
            Event::RefusedUntold => {
                let refused = matches!(request.answer, Some((Answer::Rejected(_), _)));
                (u64::from(refused), answered(|a| a == Answer::Rejected(0)))
            }
            Event::Served => (
                request.answer.iter().count() as u64,
                answered(|a| a == Answer::Served),
            ),
            Event::Failed => (
                request.answer.iter().count() as u64,
                answered(|a| a == Answer::Failed),
            ),
        }
    }

    /// Judges a figure that each of some requests has.
    fn each<'a>(
        &self,
        figures: impl Iterator<Item = (f64, &'a Request)>,
        bounds: Bounds,
        word: &str,
        time: bool,
    ) -> Judged {
        let mut judged = Judged::default();
        for (figure, request) in figures {
            judged.tested += 1;
            judged.figure = judged.figure.max(figure);
            if let Some(how) = bounds.broken(figure, time) {
                let at = request.answer.map_or(request.asked, |(_, at)| at);
                judged
                    .failed
                    .get_or_insert((at, Some(request.id), format!("{word} {how}")));
            }
        }
        judged
    }

    fn figure(&self, processes: &Processes, filter: &Filter, sum: Sum, bounds: Bounds) -> Judged {
        match sum {
            Sum::Attempts => {
                // Only where an attempt ended badly was there a choice to make another.
                let tested = self.meant(filter).filter(|r| r.bad_end).count() as u64;
                let each = self.meant(filter).map(|r| (r.sends.len() as f64, r));
                Judged {
                    tested,
                    ..self.each(each, bounds, "attempts:", false)
                }
            }
            Sum::Runs => {
                let mut sends: BTreeMap<u64, (usize, &Request)> = BTreeMap::new();
                for request in self.meant(filter) {
                    sends.entry(request.operation).or_insert((0, request)).0 += request.sends.len();
                }
                let tested = sends.values().filter(|(sends, _)| *sends > 1).count() as u64;
                let each = sends.iter().map(|(operation, (_, request))| {
                    (
                        f64::from(self.runs.get(operation).map_or(0, |run| run.0)),
                        *request,
                    )
                });
                Judged {
                    tested,
                    ..self.each(each, bounds, "runs:", false)
                }
            }
            Sum::Open => {
                let mut changes: Vec<(Nanos, i32, &Request)> = Vec::new();
                for request in self.meant(filter) {
                    changes.extend(request.ends.iter().map(|at| (*at, -1, request)));
                    changes.extend(request.sends.iter().map(|send| (send.at, 1, request)));
                }
                changes.sort_by_key(|(at, change, _)| (*at, *change));
                let mut now = 0;
                let each = changes.into_iter().map(|(_, change, request)| {
                    now += change;
                    (f64::from(now), request)
                });
                // Where no more were asked for than may be out at once, nothing was held back.
                let asked = self.meant(filter).count() as f64;
                let tested = u64::from(bounds.most.is_none_or(|most| asked > most));
                Judged {
                    tested,
                    ..self.each(each, bounds, "attempts out at once:", false)
                }
            }
            Sum::Units
            | Sum::Sent
            | Sum::Served
            | Sum::Refused
            | Sum::Failed
            | Sum::Crossings
            | Sum::Share(_) => self.total(processes, filter, sum, bounds),
        }
    }

    fn total(&self, processes: &Processes, filter: &Filter, sum: Sum, bounds: Bounds) -> Judged {
        let (mut total, mut all, mut last) = (0.0, 0.0, None);
        for request in self.meant(filter) {
            let answered =
                |test: fn(Answer) -> bool| request.answer.is_some_and(|(answer, _)| test(answer));
            let sends = request.sends.len() as f64;
            let (mine, of) = match sum {
                Sum::Units => (
                    if request.sends.is_empty() {
                        0.0
                    } else {
                        request.units
                    },
                    request.units,
                ),
                Sum::Sent => (f64::from(u8::from(!request.sends.is_empty())), 1.0),
                Sum::Served => (f64::from(u8::from(answered(|a| a == Answer::Served))), 1.0),
                Sum::Refused => (
                    f64::from(u8::from(answered(|a| matches!(a, Answer::Rejected(_))))),
                    1.0,
                ),
                Sum::Failed => (f64::from(u8::from(answered(|a| a == Answer::Failed))), 1.0),
                Sum::Crossings => (
                    request.sends.iter().filter(|send| send.crosses).count() as f64,
                    sends,
                ),
                Sum::Share(host) => (
                    request
                        .sends
                        .iter()
                        .filter(|send| send.host == host)
                        .count() as f64,
                    sends,
                ),
                Sum::Attempts | Sum::Runs | Sum::Open => (0.0, 0.0),
            };
            total += mine;
            all += of;
            if mine > 0.0 {
                last = Some((
                    request.sends.last().map_or(request.asked, |send| send.at),
                    request.id,
                ));
            }
        }
        let share = bounds.part || matches!(sum, Sum::Share(_));
        let figure = if share && all > 0.0 {
            total / all
        } else {
            total
        };
        // A bound that could not have been passed was not put to the test.
        let reachable = if share {
            all > 0.0
        } else {
            bounds.most.is_none_or(|most| all > most) && all > 0.0
        };
        let word = match sum {
            Sum::Units => "units sent on:".to_owned(),
            Sum::Sent => "requests sent on:".to_owned(),
            Sum::Served => "served:".to_owned(),
            Sum::Refused => "refused:".to_owned(),
            Sum::Failed => "failed:".to_owned(),
            Sum::Crossings => "attempts to another room:".to_owned(),
            Sum::Share(host) => format!(
                "part of the attempts that went to {}:",
                processes.host(host)
            ),
            Sum::Attempts | Sum::Runs | Sum::Open => String::new(),
        };
        let failed = bounds.broken(figure, false).map(|how| {
            let (at, request) =
                last.map_or((self.begin, None), |(at, request)| (at, Some(request)));
            (at, request, format!("{word} {how}"))
        });
        Judged {
            failed,
            tested: u64::from(reachable),
            figure,
        }
    }
}

impl Bounds {
    /// How a figure breaks the bounds, if it does.
    fn broken(&self, figure: f64, time: bool) -> Option<String> {
        let show = |value: f64| {
            if time {
                quartzcleat_config::quantity::show_time(value.max(0.0) as u64)
            } else {
                format!("{}", (value * 1e4).round() / 1e4)
            }
        };
        // Sums of units are exact to seven digits at the counter, not more.
        let close = 1e-6 * figure.abs().max(1.0);
        match (self.least, self.most) {
            (_, Some(most)) if figure > most + close => {
                Some(format!("{}, at most {} expected", show(figure), show(most)))
            }
            (Some(least), _) if figure < least - close => Some(format!(
                "{}, at least {} expected",
                show(figure),
                show(least)
            )),
            _ => None,
        }
    }
}

fn said(answer: Answer) -> String {
    match answer {
        Answer::Served => "served".to_owned(),
        Answer::Failed => "failed".to_owned(),
        Answer::Rejected(0) => "refused".to_owned(),
        Answer::Rejected(after) => {
            format!(
                "refused, to come back after {}",
                quartzcleat_config::quantity::show_time(after)
            )
        }
    }
}
