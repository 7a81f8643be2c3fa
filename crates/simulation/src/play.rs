//! A play: the scenario's steps and what comes of them, one event after another in virtual time.

use crate::counter::Counter;
use crate::limiter::{Limiter, Open};
use crate::node::{Job, Life, Node, Reached};
use crate::oracle::{Oracle, Point};
use crate::scenario::{option, Ask, CallFate, Fate, Happening, Scenario};
use quartzcleat_decision::api::*;
use quartzcleat_invariants::{Answer, Fact, Record};
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::fmt::{self, Write as _};
use std::hash::{DefaultHasher, Hash, Hasher};

/// What came of a play.
#[derive(Clone, Debug)]
pub struct Played {
    /// What was seen, in order.
    pub records: Vec<Record>,
    /// It came to its end; otherwise the oracle ended it.
    pub whole: bool,
    /// Events that limiters, hosts, counter and clients met.
    pub events: u64,
    /// When it ended.
    pub end: Nanos,
}

/// A limiter fails what nothing has answered so long before its deadline.
const LAST_MOMENT: Nanos = 2_000_000;
/// A host answers a repeat that it drops after this time.
const REPEAT_ANSWER: Nanos = 1_000_000;

#[derive(Clone, Debug)]
enum Pending {
    Step(usize),
    Ask(Ask),
    /// A limiter is told of a change: its number and start, the entries and how they relate to what it holds.
    Told(usize, u32, ListMode, Vec<HostEntry>),
    Timer(usize, u32, Timer),
    LastMoment(usize, u32, RequestId),
    Reach(Job, usize, Fate),
    /// A host is done with a job; its start tells whether it is still that process.
    Done(Job, usize, Nanos),
    /// What a limiter learns of an attempt's end.
    End(Job, Outcome),
    CallArrives(usize, u32, u64, String, f64, Nanos),
    CallTurn(usize, u32, u64, String, f64, Nanos),
    CallEnds(usize, u32, u64, Outcome, f64),
}

#[derive(Clone, Debug)]
struct Due {
    at: Nanos,
    serial: u64,
    what: Pending,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.serial) == (other.at, other.serial)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// One errand of a client, over all its tries.
#[derive(Clone, Debug)]
struct OperationState {
    ask: Ask,
    answer: Option<Answer>,
    tries: u32,
    open: bool,
}

struct Play<'a> {
    scenario: &'a Scenario,
    oracle: &'a mut dyn Oracle,
    now: Nanos,
    begun: Nanos,
    serial: u64,
    due: BinaryHeap<Reverse<Due>>,
    limiters: Vec<Limiter>,
    nodes: Vec<Node>,
    counter: Counter,
    /// Discovery's own list, what it may not tell now, and whether it tells at all.
    listed: Vec<HostEntry>,
    version: u64,
    discovery: bool,
    /// First runs of keys: by group and key, when.
    keys: BTreeMap<(u32, u64), Nanos>,
    operations: BTreeMap<u64, OperationState>,
    of_request: BTreeMap<RequestId, u64>,
    request: u64,
    rng: Pcg64Mcg,
    records: Vec<Record>,
    /// The records so far without their times, hashed.
    facts: DefaultHasher,
    events: u64,
    seed: u64,
    /// Choices since the last event was met, which the state may not show yet.
    chosen: Vec<usize>,
}

/// The oracle ended the play.
struct Ended;

/// Plays a scenario once.
pub fn play(scenario: &Scenario, oracle: &mut dyn Oracle) -> Played {
    let mut play = Play {
        scenario,
        oracle,
        now: scenario.start,
        begun: scenario.start,
        serial: 0,
        due: BinaryHeap::new(),
        limiters: Vec::new(),
        nodes: Vec::new(),
        counter: Counter::new(&scenario.counter),
        listed: Vec::new(),
        version: 1,
        discovery: true,
        keys: BTreeMap::new(),
        operations: BTreeMap::new(),
        of_request: BTreeMap::new(),
        request: 0,
        rng: Pcg64Mcg::seed_from_u64(0),
        records: Vec::new(),
        facts: DefaultHasher::new(),
        events: 0,
        seed: 0,
        chosen: Vec::new(),
    };
    let whole = play.run().is_ok();
    Played {
        records: play.records,
        whole,
        events: play.events,
        end: play.now,
    }
}

impl Play<'_> {
    fn run(&mut self) -> Result<(), Ended> {
        self.begin()?;
        let end = self.begun + self.scenario.end;
        while let Some(Reverse(due)) = self.due.pop() {
            if due.at > end {
                self.now = end;
                break;
            }
            self.now = due.at;
            self.events += 1;
            self.chosen.clear();
            self.meet(due.what)?;
            if self.over() {
                break;
            }
        }
        Ok(())
    }

    /// Nothing is to come but timers of limiters that have nothing open.
    fn over(&self) -> bool {
        let idle =
            |limiter: &Limiter| !limiter.up || limiter.open.is_empty() && limiter.out.is_empty();
        self.limiters.iter().all(idle)
            && !self.due.iter().any(|Reverse(due)| {
                matches!(
                    due.what,
                    Pending::Step(_) | Pending::Ask(_) | Pending::Done(..) | Pending::Reach(..)
                )
            })
    }

    fn choose(&mut self, point: Point, options: usize) -> Result<usize, Ended> {
        self.choose_for(point, 0, options)
    }

    fn choose_for(&mut self, point: Point, number: usize, options: usize) -> Result<usize, Ended> {
        if let Some(variant) = self.scenario.variant {
            return Ok(option(variant, point, number, options));
        }
        if options < 2 {
            return Ok(0);
        }
        let (oracle, due, now) = (&mut *self.oracle, &self.due, self.now);
        let (limiters, nodes, counter, facts) =
            (&self.limiters, &self.nodes, &self.counter, &self.facts);
        let (keys, chosen) = (&self.keys, &self.chosen);
        let print = || {
            let mut facts = facts.clone();
            let mut writer = Hashed(&mut facts);
            let mut order: Vec<_> = due.iter().collect();
            order.sort_unstable_by_key(|Reverse(due)| (due.at, due.serial));
            let _ = write!(
                writer,
                "{now} {chosen:?} {limiters:?} {nodes:?} {counter:?} {keys:?}"
            );
            for Reverse(due) in order {
                let _ = write!(writer, " {} {:?}", due.at, due.what);
            }
            facts.finish()
        };
        let choice = oracle
            .choose(point, options, &print)
            .ok_or(Ended)?
            .min(options - 1);
        self.chosen.push(choice);
        Ok(choice)
    }

    fn note(&mut self, fact: Fact) {
        let _ = write!(Hashed(&mut self.facts), "{fact:?}");
        self.records.push(Record { at: self.now, fact });
    }

    fn after(&mut self, delay: Nanos, what: Pending) {
        self.serial += 1;
        self.due.push(Reverse(Due {
            at: self.now + delay,
            serial: self.serial,
            what,
        }));
    }

    fn begin(&mut self) -> Result<(), Ended> {
        let scenario = self.scenario;
        let seed = self.choose(Point::Seed, scenario.seeds.len())?;
        self.seed = scenario.seeds.get(seed).copied().unwrap_or(1);
        self.rng = Pcg64Mcg::seed_from_u64(self.seed ^ 0x9e37_79b9_7f4a_7c15);
        let phase = self.choose(Point::Phase, scenario.phases.len())?;
        self.now = scenario.start + scenario.phases.get(phase).copied().unwrap_or(0);
        self.begun = self.now;
        self.nodes = scenario
            .nodes
            .iter()
            .map(|setup| Node::new(setup, self.begun))
            .collect();
        self.listed = (0..self.nodes.len())
            .filter(|n| !scenario.nodes[*n].absent)
            .map(|n| self.entry(n))
            .collect();
        for number in 0..scenario.processes.limiters.len() {
            let limiter = self.fresh(number, 0);
            self.limiters.push(limiter);
            let entries = self.listed.clone();
            self.told_of(number, &entries);
            self.tell(
                number,
                Event::Hosts {
                    version: 1,
                    mode: ListMode::Restored,
                    entries,
                },
            )?;
        }
        let moments = self.moments()?;
        for (index, at) in moments.into_iter().enumerate() {
            self.serial += 1;
            self.due.push(Reverse(Due {
                at: self.begun + at,
                serial: self.serial,
                what: Pending::Step(index),
            }));
        }
        Ok(())
    }

    /// When each step happens: one of its moments, or, among steps whose order is free, one of theirs.
    fn moments(&mut self) -> Result<Vec<Nanos>, Ended> {
        let steps = &self.scenario.steps;
        let mut moments = Vec::with_capacity(steps.len());
        for step in steps {
            let choice = self.choose(Point::Moment, step.at.len())?;
            moments.push(step.at.get(choice).copied().unwrap_or(0));
        }
        let groups: std::collections::BTreeSet<u32> =
            steps.iter().filter_map(|step| step.free).collect();
        for group in groups {
            let members: Vec<usize> = (0..steps.len())
                .filter(|i| steps[*i].free == Some(group))
                .collect();
            let mut times: Vec<Nanos> = members.iter().map(|member| moments[*member]).collect();
            times.sort_unstable();
            let mut left = members;
            for time in times {
                let choice = self.choose(Point::Order, left.len())?;
                moments[left.remove(choice)] = time;
            }
        }
        Ok(moments)
    }

    fn fresh(&self, number: usize, epoch: u32) -> Limiter {
        let processes = &self.scenario.processes;
        let mut settings = self.scenario.settings.clone();
        settings.me = number as u32;
        settings.limiter_count = processes.limiters.len() as u32;
        settings.zone = processes.limiters[number].zone;
        let seed = self
            .seed
            .wrapping_mul(1_000_003)
            .wrapping_add(number as u64 * 7919 + u64::from(epoch));
        Limiter::new(settings, seed, self.now, epoch)
    }

    fn entry(&self, node: usize) -> HostEntry {
        let (process, setup, now) = (
            &self.scenario.processes.hosts[node],
            &self.scenario.nodes[node],
            &self.nodes[node],
        );
        let state = match (now.life, now.draining) {
            (Life::Dead, _) => HostState::Gone,
            (_, true) => HostState::Draining,
            // Discovery knows only whether a process runs, and of a machine that vanished it hears nothing.
            _ => HostState::Ready,
        };
        HostEntry {
            host: HostId(node as u32),
            state,
            cell: process.cell,
            zone: process.zone,
            kind: 0,
            started: now.started,
            weight: setup.weight,
        }
    }

    // ---- Limiters ----------------------------------------------------------------------------------------

    fn told_of(&mut self, limiter: usize, entries: &[HostEntry]) {
        for entry in entries {
            self.note(Fact::HostStateLearned {
                limiter,
                host: entry.host.0 as usize,
                state: entry.state,
            });
        }
    }

    /// Tells a limiter's module, and carries out what it orders; what that causes at once is told behind it.
    fn tell(&mut self, number: usize, event: Event) -> Result<(), Ended> {
        let (mut events, mut actions) = (VecDeque::from([event]), Vec::new());
        while let Some(mut event) = events.pop_front() {
            let limiter = &mut self.limiters[number];
            if let Event::AttemptDone { id, over, .. } = &mut event {
                *over |= !limiter.open.contains_key(id);
            }
            limiter.gateway.handle(self.now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.carry_out(number, action, &mut events)?;
            }
        }
        Ok(())
    }

    fn carry_out(
        &mut self,
        number: usize,
        action: Action,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Ended> {
        let epoch = self.limiters[number].epoch;
        match action {
            Action::Attempt {
                id, host, timeout, ..
            } => self.attempt(number, id, host, timeout, events)?,
            Action::CancelAttempt { id, attempt } => {
                let job = Job {
                    limiter: number,
                    request: id,
                    attempt,
                };
                if let Some(out) = self.limiters[number].out.get(&(id, attempt)).copied() {
                    self.nodes[out.host].give_up(job);
                    self.after(0, Pending::End(job, Outcome::Cancelled));
                }
            }
            Action::Reject { id, retry_after } => {
                self.answer(number, id, Answer::Rejected(retry_after));
            }
            Action::Fail { id } => self.answer(number, id, Answer::Failed),
            Action::SetTimer { timer, after } => {
                self.after(after, Pending::Timer(number, epoch, timer));
            }
            Action::Count {
                name,
                amount,
                keep_for,
            } => {
                let call = self.limiters[number].call(&name, self.now);
                let timeout = self.scenario.settings.counter_timeout.max(1);
                let choice = self.choose_for(
                    Point::Call,
                    call as usize - 1,
                    self.scenario.counter.fates.len(),
                )?;
                let fate = self
                    .scenario
                    .counter
                    .fates
                    .get(choice)
                    .copied()
                    .unwrap_or(CallFate::Normal);
                let there = self.delay(self.scenario.net.counter);
                self.after(
                    timeout,
                    Pending::CallEnds(number, epoch, call, Outcome::Timeout, 0.0),
                );
                match fate {
                    CallFate::Normal => {
                        self.after(
                            there,
                            Pending::CallArrives(number, epoch, call, name, amount, keep_for),
                        );
                    }
                    CallFate::Lost => {}
                    CallFate::AnswerLost => _ = self.counter.add(&name, amount, keep_for, self.now),
                    CallFate::Refused => {
                        self.after(
                            2 * there,
                            Pending::CallEnds(number, epoch, call, Outcome::Rejected, 0.0),
                        );
                    }
                }
            }
            Action::Log { text } => {
                let text = format!("{} logs: {text}", self.scenario.processes.limiter(number));
                self.note(Fact::Note(text));
            }
            Action::HealthCheck { .. }
            | Action::CloseIdle { .. }
            | Action::MessagePeers { .. }
            | Action::Watch { .. }
            | Action::FetchHosts => {}
        }
        Ok(())
    }

    fn attempt(
        &mut self,
        number: usize,
        id: RequestId,
        host: HostId,
        timeout: Nanos,
        events: &mut VecDeque<Event>,
    ) -> Result<(), Ended> {
        let (now, node) = (self.now, host.0 as usize);
        let most = self.scenario.settings.max_attempts.max(1);
        let begun = self.limiters[number].begin(id, node, now, most);
        let (attempt, open): (u32, Open) = match begun {
            Ok(begun) if node < self.nodes.len() => begun,
            Ok((attempt, _)) | Err(attempt) => {
                let (outcome, elapsed, over) = (Outcome::NeverSent, 0, false);
                let (metered_use, true_units, load) = (0, 0.0, Load::new());
                let done = Event::AttemptDone {
                    id,
                    attempt,
                    host,
                    outcome,
                    elapsed,
                    over,
                    metered_use,
                    true_units,
                    load,
                };
                events.push_back(done);
                return Ok(());
            }
        };
        let warming_up = self.nodes[node].warmth(&self.scenario.truth, now) < 1.0;
        self.note(Fact::AttemptSent {
            limiter: number,
            request: id,
            attempt,
            host: node,
            warming_up,
        });
        let until = if timeout == 0 {
            open.deadline
        } else {
            open.deadline.min(now + timeout)
        };
        let choice =
            self.choose_for(Point::Attempt, attempt as usize, self.scenario.fates.len())?;
        let fate = self
            .scenario
            .fates
            .get(choice)
            .copied()
            .unwrap_or(Fate::Normal);
        let job = Job {
            limiter: number,
            request: id,
            attempt,
        };
        self.after(until - now, Pending::End(job, Outcome::Timeout));
        let there = self.way(number, node);
        match fate {
            Fate::Refused => self.after(2 * there, Pending::End(job, Outcome::ConnectFailed)),
            Fate::Busy => self.after(2 * there, Pending::End(job, Outcome::Rejected)),
            Fate::ResetLost => self.after(2 * there, Pending::End(job, Outcome::Reset)),
            Fate::SilentLost => {}
            Fate::Normal | Fate::Error | Fate::ResetRan | Fate::SilentRan | Fate::Late => {
                self.after(there, Pending::Reach(job, node, fate));
            }
        }
        Ok(())
    }

    fn way(&mut self, limiter: usize, node: usize) -> Nanos {
        let processes = &self.scenario.processes;
        let same = processes.limiters[limiter].zone == processes.hosts[node].zone;
        self.delay(if same {
            self.scenario.net.same
        } else {
            self.scenario.net.cross
        })
    }

    fn delay(&mut self, mean: Nanos) -> Nanos {
        (mean as f64 * self.factor()) as Nanos
    }

    /// A factor about 1 by which work and delays vary.
    fn factor(&mut self) -> f64 {
        let spread = self.scenario.spread;
        match LogNormal::new(-spread * spread / 2.0, spread) {
            Ok(law) if spread > 0.0 => law.sample(&mut self.rng),
            _ => 1.0,
        }
    }

    /// Gives a request its final answer, if it is still open at its limiter.
    fn answer(&mut self, number: usize, id: RequestId, answer: Answer) {
        let Some(open) = self.limiters[number].open.remove(&id) else {
            return;
        };
        self.note(Fact::Answered {
            request: id,
            answer,
        });
        let Some(operation) = self.operations.get_mut(&open.operation) else {
            return;
        };
        operation.open = false;
        if operation.answer != Some(Answer::Served) {
            operation.answer = Some(answer);
        }
        let Some(retry) = self.scenario.retry.as_ref() else {
            return;
        };
        if answer == Answer::Served || operation.tries > 1 {
            return;
        }
        let mut ask = operation.ask.clone();
        ask.retry = true;
        let limiters = self.limiters.len();
        if retry.elsewhere && ask.spread.0 > 1 {
            let (count, first) = (ask.spread.0 as usize, ask.spread.1 as usize);
            let place = (ask.through + limiters - first) % limiters;
            ask.through = (first + (place + 1) % count) % limiters;
        }
        let told = if let Answer::Rejected(after) = answer {
            after
        } else {
            0
        };
        self.after(retry.after.max(told), Pending::Ask(ask));
    }

    // ---- What is met -------------------------------------------------------------------------------------

    fn meet(&mut self, what: Pending) -> Result<(), Ended> {
        match what {
            Pending::Step(index) => self.happen(&self.scenario.steps[index].what.clone())?,
            Pending::Ask(ask) => self.ask(ask)?,
            Pending::Told(number, epoch, mode, entries) => {
                if self.current(number, epoch) {
                    if mode == ListMode::Replace {
                        let listed: Vec<HostId> = entries.iter().map(|entry| entry.host).collect();
                        let gone =
                            (0..self.nodes.len()).filter(|n| !listed.contains(&HostId(*n as u32)));
                        for host in gone.collect::<Vec<_>>() {
                            self.note(Fact::HostStateLearned {
                                limiter: number,
                                host,
                                state: HostState::Gone,
                            });
                        }
                    }
                    self.told_of(number, &entries);
                    self.tell(
                        number,
                        Event::Hosts {
                            version: self.version,
                            mode,
                            entries,
                        },
                    )?;
                }
            }
            Pending::Timer(number, epoch, timer) => {
                if self.current(number, epoch) {
                    self.tell(number, Event::Timer { timer })?;
                }
            }
            Pending::LastMoment(number, epoch, id) => {
                if self.current(number, epoch) && self.limiters[number].open.contains_key(&id) {
                    self.answer(number, id, Answer::Failed);
                    self.tell(number, Event::Abandoned { id })?;
                }
            }
            Pending::Reach(job, node, fate) => self.reach(job, node, fate),
            Pending::Done(job, node, started) => self.done(job, node, started),
            Pending::End(job, outcome) => self.end(job, outcome)?,
            Pending::CallArrives(number, epoch, call, name, amount, life) => {
                if let Some(done) = self.counter.arrive(&name, self.now) {
                    self.after(
                        done - self.now,
                        Pending::CallTurn(number, epoch, call, name, amount, life),
                    );
                }
            }
            Pending::CallTurn(number, epoch, call, name, amount, life) => {
                let (outcome, total) = self.counter.add(&name, amount, life, self.now);
                if outcome != Outcome::Timeout {
                    let back = self.delay(self.scenario.net.counter);
                    self.after(back, Pending::CallEnds(number, epoch, call, outcome, total));
                }
            }
            Pending::CallEnds(number, epoch, call, outcome, total) => {
                if self.current(number, epoch) {
                    for event in self.limiters[number].called(call, outcome, total, self.now) {
                        self.tell(number, event)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn current(&self, number: usize, epoch: u32) -> bool {
        self.limiters[number].up && self.limiters[number].epoch == epoch
    }

    fn ask(&mut self, ask: Ask) -> Result<(), Ended> {
        let known = self.operations.get(&ask.mark);
        if ask.retry && known.is_some_and(|operation| operation.open) {
            // The first try has no answer yet: the client waits for it.
            self.after(1_000_000, Pending::Ask(ask));
            return Ok(());
        }
        if ask.retry && known.is_some_and(|operation| operation.answer == Some(Answer::Served)) {
            return Ok(());
        }
        let (number, now) = (ask.through, self.now);
        if !self.limiters[number].up {
            let text = format!(
                "{} takes no connection",
                self.scenario.processes.limiter(number)
            );
            self.note(Fact::Note(text));
            return Ok(());
        }
        self.request += 1;
        let (id, deadline) = (RequestId(self.request), now + ask.wait);
        let tries = known.map_or(0, |operation| operation.tries) + 1;
        self.operations.insert(
            ask.mark,
            OperationState {
                ask: ask.clone(),
                answer: None,
                tries,
                open: true,
            },
        );
        self.of_request.insert(id, ask.mark);
        let Ask {
            mark,
            class,
            partner,
            plan,
            units,
            spread,
            ..
        } = ask;
        let asked = Fact::RequestReceived {
            request: id,
            limiter: number,
            operation: mark,
            class,
            partner,
            units,
            deadline,
        };
        self.note(asked);
        let limiter = &mut self.limiters[number];
        limiter.open.insert(
            id,
            Open {
                class,
                operation: mark,
                deadline,
                attempts: 0,
            },
        );
        let epoch = limiter.epoch;
        self.after(
            ask.wait.saturating_sub(LAST_MOMENT),
            Pending::LastMoment(number, epoch, id),
        );
        self.tell(
            number,
            Event::Request {
                id,
                class: class as u32,
                plan,
                customer: CustomerId(partner as u64 + 1),
                budget: ask.wait,
                units,
                spread: spread.0,
                first_limiter: spread.1,
                flags: 0,
            },
        )
    }

    // ---- Hosts -------------------------------------------------------------------------------------------

    fn reach(&mut self, job: Job, node: usize, fate: Fate) {
        let Some(out) = self.limiters[job.limiter]
            .out
            .get(&(job.request, job.attempt))
            .copied()
        else {
            return;
        };
        let work = self.work(out.class);
        let reached = self.nodes[node].reach(job, work, &self.scenario.truth, self.now);
        let back = self.way(job.limiter, node);
        match reached {
            Reached::Begun => self.run_job(job, node, fate),
            Reached::Waits | Reached::Nothing => {}
            Reached::Busy => self.after(back, Pending::End(job, Outcome::Rejected)),
            Reached::Refused => self.after(back, Pending::End(job, Outcome::ConnectFailed)),
            Reached::Tips => {
                self.note(Fact::HostOverloaded { host: node });
                self.lose(node, Life::Dead);
            }
        }
    }

    fn work(&self, class: usize) -> Nanos {
        self.scenario
            .work
            .get(class)
            .copied()
            .unwrap_or(100_000_000)
    }

    fn run_job(&mut self, job: Job, node: usize, fate: Fate) {
        let out = self.limiters[job.limiter]
            .out
            .get(&(job.request, job.attempt))
            .copied();
        let mark = out
            .map(|out| out.operation)
            .or_else(|| self.of_request.get(&job.request).copied())
            .unwrap_or(0);
        let class = out.map_or(0, |out| out.class);
        let deduplicated = self.is_repeat(class, mark, node);
        self.note(Fact::Executed {
            host: node,
            request: job.request,
            deduplicated,
        });
        let elapsed = if deduplicated {
            REPEAT_ANSWER
        } else {
            let work = (self.work(class) as f64 * self.factor()) as Nanos;
            self.nodes[node].takes(work, &self.scenario.truth, self.now)
        };
        let back = self.way(job.limiter, node);
        let started = self.nodes[node].started;
        let latency_objective = self
            .scenario
            .truth
            .classes
            .get(class)
            .map_or(0, |class| class.latency_objective);
        match fate {
            Fate::Error => self.after(back, Pending::End(job, Outcome::Error)),
            Fate::ResetRan => self.after(back, Pending::End(job, Outcome::Reset)),
            Fate::Late => self.after(
                elapsed + latency_objective + back,
                Pending::End(job, Outcome::Good),
            ),
            Fate::SilentRan => {}
            _ => self.after(elapsed + back, Pending::End(job, Outcome::Good)),
        }
        self.after(elapsed, Pending::Done(job, node, started));
    }

    /// Whether a host drops a request: one of its group ran the same key within the window.
    fn is_repeat(&mut self, class: usize, mark: u64, node: usize) -> bool {
        let Some(class) = self
            .scenario
            .truth
            .classes
            .get(class)
            .filter(|c| c.effect == Effect::Keyed)
        else {
            return false;
        };
        let process = &self.scenario.processes.hosts[node];
        let group = match class.group {
            Group::All => 0,
            Group::Zone => process.zone + 1,
            Group::Cell => process.cell + 1,
        };
        let (now, window) = (self.now, class.dedup_window);
        let repeat = self
            .keys
            .get(&(group, mark))
            .is_some_and(|first| now < first + window);
        if !repeat {
            self.keys.insert((group, mark), now);
        }
        repeat
    }

    fn done(&mut self, _job: Job, node: usize, started: Nanos) {
        // A job that ran in a process that is gone has ended with it.
        if self.nodes[node].started != started || self.nodes[node].life != Life::Up {
            return;
        }
        if let Some(next) = self.nodes[node].proceed() {
            self.run_job(next, node, Fate::Normal);
        }
    }

    /// What a limiter learns of the end of an attempt, if it is still out.
    fn end(&mut self, job: Job, outcome: Outcome) -> Result<(), Ended> {
        let Job {
            limiter: number,
            request: id,
            attempt,
        } = job;
        let Some(out) = self.limiters[number].out.get(&(id, attempt)).copied() else {
            return Ok(());
        };
        if outcome == Outcome::Good && self.nodes[out.host].life == Life::Vanished {
            // The answer left a machine that nothing comes back from.
            return Ok(());
        }
        self.limiters[number].out.remove(&(id, attempt));
        self.nodes[out.host].give_up(job);
        self.note(Fact::AttemptEnded {
            request: id,
            attempt,
            outcome,
        });
        if outcome == Outcome::Good {
            self.answer(number, id, Answer::Served);
        }
        let (host, elapsed, over) = (HostId(out.host as u32), self.now - out.began, false);
        let cost = self
            .operations
            .get(&out.operation)
            .map_or(0.0, |operation| operation.ask.cost);
        let true_units = if outcome == Outcome::Good { cost } else { 0.0 };
        if true_units > 0.0 {
            self.note(Fact::UnitsSettled {
                request: id,
                units: true_units,
            });
        }
        let (metered_use, load) = (0, Load::new());
        let done = Event::AttemptDone {
            id,
            attempt,
            host,
            outcome,
            elapsed,
            over,
            metered_use,
            true_units,
            load,
        };
        self.tell(number, done)
    }

    /// A host's process or machine is lost, with all that is there.
    fn lose(&mut self, node: usize, life: Life) {
        self.nodes[node].end(life);
        if life == Life::Dead {
            let mut jobs = Vec::new();
            for (number, limiter) in self.limiters.iter().enumerate() {
                let there = limiter.out.iter().filter(|(_, out)| out.host == node);
                jobs.extend(there.map(|((request, attempt), _)| Job {
                    limiter: number,
                    request: *request,
                    attempt: *attempt,
                }));
            }
            for job in jobs {
                let back = self.way(job.limiter, node);
                self.after(back, Pending::End(job, Outcome::Reset));
            }
        }
    }

    // ---- Surroundings ------------------------------------------------------------------------------------

    fn happen(&mut self, happening: &Happening) -> Result<(), Ended> {
        let host = |node: usize| self.scenario.processes.host(node);
        let text = match happening {
            Happening::Ask(ask) => return self.ask(ask.clone()),
            Happening::Drain(node) => format!("{} begins to drain", host(*node)),
            Happening::Die(node) => format!("{}'s process dies", host(*node)),
            Happening::Vanish(node) => format!("{}'s machine vanishes", host(*node)),
            Happening::Start(_) => String::new(),
            Happening::Replace(old, new) => {
                format!(
                    "{} is replaced by {} at its address",
                    host(*old),
                    host(*new)
                )
            }
            Happening::Speed(node, speed) => {
                format!("{} goes at {speed} of the yardstick", host(*node))
            }
            Happening::Counter(mode) => format!("the counter is now {mode:?}").to_lowercase(),
            Happening::Empty => "the counter comes back empty".to_owned(),
            Happening::Discovery(on) => {
                format!(
                    "discovery {}",
                    if *on { "tells again" } else { "falls silent" }
                )
            }
            Happening::LimiterDies(_) => String::new(),
            Happening::LimiterStarts(number) => {
                format!("{} starts again", self.scenario.processes.limiter(*number))
            }
        };
        if !text.is_empty() {
            self.note(Fact::Note(text));
        }
        match happening {
            Happening::Ask(_) => {}
            Happening::Drain(node) => {
                self.nodes[*node].draining = true;
                self.list(*node)?;
            }
            Happening::Die(node) => {
                self.lose(*node, Life::Dead);
                self.list(*node)?;
            }
            Happening::Vanish(node) => self.lose(*node, Life::Vanished),
            Happening::Start(node) => {
                self.nodes[*node].start(self.now);
                self.note(Fact::HostStarted { host: *node });
                self.list(*node)?;
            }
            Happening::Replace(old, new) => {
                self.lose(*old, Life::Dead);
                self.list(*old)?;
                self.nodes[*new].start(self.now);
                self.note(Fact::HostStarted { host: *new });
                self.list(*new)?;
            }
            Happening::Speed(node, speed) => self.nodes[*node].speed = speed.max(1e-3),
            Happening::Counter(mode) => self.counter.mode = *mode,
            Happening::Empty => self.counter.empty(),
            Happening::Discovery(on) => {
                self.discovery = *on;
                if *on {
                    let entries = self.listed.clone();
                    self.spread(ListMode::Replace, entries)?;
                }
            }
            Happening::LimiterDies(number) => {
                self.note(Fact::LimiterDied { limiter: *number });
                let limiter = &mut self.limiters[*number];
                limiter.up = false;
                limiter.open.clear();
                let out = std::mem::take(&mut limiter.out);
                for ((request, attempt), out) in out {
                    self.nodes[out.host].give_up(Job {
                        limiter: *number,
                        request,
                        attempt,
                    });
                    self.note(Fact::AttemptEnded {
                        request,
                        attempt,
                        outcome: Outcome::Reset,
                    });
                }
                let of_it = |operation: &&mut OperationState| {
                    operation.open && operation.ask.through == *number
                };
                self.operations
                    .values_mut()
                    .filter(of_it)
                    .for_each(|operation| operation.open = false);
            }
            Happening::LimiterStarts(number) => {
                let epoch = self.limiters[*number].epoch + 1;
                self.limiters[*number] = self.fresh(*number, epoch);
                let entries = self.listed.clone();
                self.told_of(*number, &entries);
                self.tell(
                    *number,
                    Event::Hosts {
                        version: self.version,
                        mode: ListMode::Restored,
                        entries,
                    },
                )?;
            }
        }
        Ok(())
    }

    /// Discovery learns of a host's change and tells each limiter in its time.
    fn list(&mut self, node: usize) -> Result<(), Ended> {
        let entry = self.entry(node);
        self.listed.retain(|held| held.host != entry.host);
        if entry.state != HostState::Gone {
            self.listed.push(entry.clone());
        }
        self.version += 1;
        if self.discovery {
            self.spread(ListMode::Update, vec![entry])?;
        }
        Ok(())
    }

    fn spread(&mut self, mode: ListMode, entries: Vec<HostEntry>) -> Result<(), Ended> {
        for number in 0..self.limiters.len() {
            let choice = self.choose(Point::Lag, self.scenario.lags.len())?;
            let lag = self.scenario.lags.get(choice).copied().unwrap_or(0);
            let epoch = self.limiters[number].epoch;
            self.after(lag, Pending::Told(number, epoch, mode, entries.clone()));
        }
        Ok(())
    }
}

/// Hashes what is written to it.
struct Hashed<'a>(&'a mut DefaultHasher);

impl fmt::Write for Hashed<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        text.hash(self.0);
        Ok(())
    }
}
