//! Request life: what is open, when it is sent on, whether it goes out again and how it ends; and the gateway
//! that calls quotas and hosts, which know neither it nor each other. Knows neither sockets nor clocks.

use crate::api::*;
use crate::host_selection::{Fleet, Host, HOST_ROOM_AT_START, PROMPT_PART_OF_AIM};
use crate::quota::{Quotas, WAIT_PART_OF_AIM};
use crate::terms::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Further attempts of what may have run that a first attempt earns, and the most saved by all gateways.
const RETRY_SHARE: f64 = 0.1;
const RETRY_SAVED: f64 = 20.0;
/// After this part of the aim who was not sent on is refused, and is told to come back after as much again.
const COME_BACK_AFTER: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Stage {
    /// Waiting for the counter.
    Counting,
    /// Admitted, waiting for a host, for the ceiling or for the open cap.
    Held,
    Out,
    Streaming,
}

#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) claim: Claim,
    pub(crate) want: Want,
    pub(crate) arrived: Nanos,
    pub(crate) deadline: Nanos,
    pub(crate) stage: Stage,
    pub(crate) attempts: u32,
    /// First attempt that may have run: its number, cell, zone and time.
    pub(crate) ran: Option<(u32, u32, u32, Nanos)>,
}

/// What became of an attempt to send a request on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Dispatch {
    Sent,
    /// Its customer's ceiling or open cap, or its group of hosts, has no room: others may still go.
    NotThis,
    NoHost,
}

/// One gateway's decisions. Nothing is shared between instances.
#[derive(Debug, Default)]
pub struct DecisionEngine {
    pub(crate) set: Arc<Settings>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Nanos,
    pub(crate) started: bool,
    pub(crate) jobs: BTreeMap<RequestId, Job>,
    pub(crate) sent: BTreeMap<(RequestId, u32), Sent>,
    pub(crate) held: VecDeque<RequestId>,
    pub(crate) held_timer: bool,
    pub(crate) quotas: Quotas,
    pub(crate) fleet: Fleet,
    pub(crate) retry_tokens: f64,
    pub(crate) density: f64,
}

/// The last class and plan stand for any that was not told: unsafe to repeat, without a quota.
fn completed(mut settings: Settings) -> Arc<Settings> {
    settings.classes.push(Class { latency_objective: Nanos::MAX, priority_weight: 1.0, ..Class::default() });
    settings.plans.push(Plan { weight_factor: 1.0, ..Plan::default() });
    settings.limiter_count = settings.limiter_count.max(1);
    Arc::new(settings)
}

impl DecisionEngine {
    /// A gateway that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let set = completed(settings);
        let quotas = Quotas { set: set.clone(), born: now, ask: 1.0, ..Quotas::default() };
        let fleet = Fleet {
            set: set.clone(),
            class_took: vec![(0.0, 0.0); set.classes.len()],
            let_in: 1.0,
            lateness_at: now,
            room: HOST_ROOM_AT_START / f64::from(set.limiter_count),
            ..Fleet::default()
        };
        let rng = fastrand::Rng::with_seed(seed);
        DecisionEngine { set, rng, now, quotas, fleet, retry_tokens: 1.0, ..DecisionEngine::default() }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Actions) {
        self.now = self.now.max(now);
        (self.quotas.now, self.fleet.now) = (self.now, self.now);
        if !self.started {
            self.started = true;
            timer("sweep", None, SECOND as Nanos, out);
            if self.set.discovery_by_polling {
                out.push(Action::Watch { on: true });
            }
        }
        match event {
            Event::Hosts { mode, entries, .. } => {
                self.fleet.on_hosts(mode, entries, out);
                self.release_held(out);
            }
            Event::Request { id, class, plan, customer, budget, units, spread, .. } => {
                let (plan, units) = ((plan as usize).min(self.set.plans.len() - 1), units.max(0.0));
                let spread = spread.clamp(1, self.set.limiter_count);
                let class = (class as usize).min(self.set.classes.len() - 1);
                let job = Job {
                    claim: Claim { customer, plan, units, spread, charged: None },
                    want: Want { class, avoid: None, ran: None, draw: self.rng.f64() },
                    arrived: self.now,
                    deadline: self.now.saturating_add(budget),
                    stage: Stage::Counting,
                    attempts: 0,
                    ran: None,
                };
                self.on_request(id, job, budget, out);
            }
            Event::StreamStarted { id, attempt, elapsed, .. } => self.on_stream((id, attempt), elapsed, out),
            Event::AttemptDone { id, attempt, outcome, elapsed, over, true_units, .. } => {
                self.on_done((id, attempt), (outcome, elapsed), over, true_units, out);
            }
            Event::Abandoned { id } => drop(self.close(id, out)),
            Event::Timer { tag } => self.on_timer(&tag, out),
            Event::CounterReplied { name, outcome, total, elapsed } => {
                let (asked, by_count) = self.quotas.counted(&name, outcome, total, elapsed, out);
                asked.into_iter().for_each(|id| self.judge(id, by_count, out));
            }
            Event::SettingsChanged { settings } => self.retune(*settings),
            Event::SnapshotInherited { learned } => self.take_over(&learned),
            Event::HealthCheckDone { .. } | Event::Peer { .. } => {}
        }
    }

    /// Goes over to new settings. What was learned of a class goes on under its name.
    fn retune(&mut self, settings: Settings) {
        let held = std::mem::replace(&mut self.set, completed(settings));
        let elapsed = |class: &Class| {
            let learned = held.classes.iter().rposition(|old| old.name == class.name);
            learned.map_or((0.0, 0.0), |number| self.fleet.class_took[number])
        };
        self.fleet.class_took = self.set.classes.iter().map(elapsed).collect();
        (self.quotas.set, self.fleet.set) = (self.set.clone(), self.set.clone());
    }

    fn on_request(&mut self, id: RequestId, mut job: Job, budget: Nanos, out: &mut Actions) {
        let latency_objective = self.aim_of(&job) - self.now;
        // One tick early: timers come late, never early.
        let last = budget.saturating_sub(self.set.tick);
        timer("late", Some(id), latency_objective.min(last), out);
        timer("deadline", Some(id), last, out);
        let density = self.density_of(&job);
        self.density += SMOOTHING * (density - self.density);
        self.jobs.insert(id, job.clone());
        if self.fleet.let_in < 1.0 && self.rng.f64() >= self.fleet.let_in.powf(self.density / density) {
            return self.finish(id, out);
        }
        // Without a counter each gateway holds its customers to its share by what it sends itself.
        let verdict = if self.set.plans[job.claim.plan].rate <= 0.0 {
            Verdict::Pass
        } else if self.set.counter {
            let wait = (latency_objective as f64 * WAIT_PART_OF_AIM) as Nanos;
            self.quotas.claim(id, &mut job.claim, (wait, self.rng.f64()), out)
        } else {
            self.quotas.judge_locally(&job.claim)
        };
        self.jobs.entry(id).and_modify(|held| held.claim = job.claim);
        self.follow(id, verdict, out);
    }

    /// The verdict on a request that waits for the counter, by its count or by what is known.
    fn judge(&mut self, id: RequestId, by_count: bool, out: &mut Actions) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Counting) else { return };
        let verdict = match by_count {
            true => self.quotas.judge(id, &job.claim, self.rng.f64(), out),
            false => self.quotas.judge_locally(&job.claim),
        };
        self.follow(id, verdict, out);
    }

    /// Carries out a verdict. Who is only beyond this gateway's share may come again in time.
    fn follow(&mut self, id: RequestId, verdict: Verdict, out: &mut Actions) {
        let Some(job) = self.jobs.get(&id).filter(|_| verdict != Verdict::Asked).cloned() else { return };
        if verdict == Verdict::Pass {
            return self.admit(id, out);
        }
        self.quotas.adjust(&job.claim, -job.claim.units, false, out);
        let plan = &self.set.plans[job.claim.plan];
        // Where use beyond the quota pays it goes on while a host stands idle, charged to no count.
        let idle = |h: &Host| h.ready() && h.out.is_empty();
        let pays = plan.over_quota_weight > plan.over_quota_cost;
        if pays && self.held.is_empty() && self.fleet.hosts.values().any(idle) {
            self.jobs.entry(id).and_modify(|job| job.claim.charged = None);
            return self.admit(id, out);
        }
        let over = verdict == Verdict::Over;
        let retry_after = if over { self.quotas.next_window(&job.claim) } else { self.come_back(&job) };
        out.push(Action::Reject { id, retry_after });
        self.jobs.remove(&id);
    }

    fn on_timer(&mut self, tag: &str, out: &mut Actions) {
        let (kind, rest) = tag.split_once(':').unwrap_or((tag, ""));
        let id = u64::from_str_radix(rest, 16).map(RequestId).ok();
        let stage = id.and_then(|id| self.jobs.get(&id)).map(|job| job.stage);
        match (kind, id, stage) {
            ("deadline", Some(id), Some(stage)) if stage != Stage::Streaming => self.finish(id, out),
            // The counter has had its time: the request goes by what is known.
            ("wait", Some(id), Some(Stage::Counting)) => self.judge(id, false, out),
            ("late", Some(id), Some(Stage::Out)) => {
                let Some(job) = self.jobs.get(&id) else { return };
                // A gateway that stood still sees this late: it must not blame hosts for its own pause.
                let in_step = self.now <= self.aim_of(job) + 2 * self.set.tick;
                // An answer worth nothing is not waited for: whoever is given up on is told so at once.
                let given_up = self.class(job).late_weight <= 0.0;
                let sent = self.sent.get(&(id, job.attempts - 1)).cloned();
                if let Some(sent) = sent.filter(|_| in_step) {
                    // Guards against shedding that cures nothing (answers lost, a few dead hosts): where the
                    // answered are prompt, hosts are not behind. Could hurt where all stop at once.
                    self.fleet.learn_of_lateness((self.fleet.answered / PROMPT_PART_OF_AIM).min(1.0));
                    self.fleet.learn_of_host(&sent, self.now - sent.at, true);
                }
                if given_up {
                    self.finish(id, out);
                }
            }
            ("held", None, _) => {
                self.held_timer = false;
                self.release_held(out);
            }
            ("watch", None, _) => out.push(Action::Watch { on: true }),
            ("sweep", None, _) => {
                // Guards against growing with customers that come once and hosts that are replaced by others.
                self.quotas.forget();
                self.fleet.hosts.retain(|_, h| h.entry.state != HostState::Gone || !h.out.is_empty());
                timer("sweep", None, SECOND as Nanos, out);
            }
            _ => {}
        }
    }

    pub(crate) fn class(&self, job: &Job) -> &Class {
        &self.set.classes[job.want.class]
    }

    pub(crate) fn admit(&mut self, id: RequestId, out: &mut Actions) {
        self.jobs.entry(id).and_modify(|job| job.stage = Stage::Held);
        // Whoever waits already goes first.
        if !self.held.is_empty() || self.dispatch(id, out) != Dispatch::Sent {
            self.held.push_back(id);
            self.arm_held(out);
        }
    }

    fn arm_held(&mut self, out: &mut Actions) {
        if !self.held_timer && !self.held.is_empty() {
            self.held_timer = true;
            timer("held", None, self.set.tick.max(1_000_000), out);
        }
    }

    /// Sends on what waits, the worthiest for its work first, and refuses what cannot be answered in time.
    pub(crate) fn release_held(&mut self, out: &mut Actions) {
        let (mut held, mut hosts_left) = (Vec::from(std::mem::take(&mut self.held)), true);
        // Listed, but none serves (all out of service): there is no room to wait for.
        let none = !self.fleet.hosts.is_empty() && !self.fleet.hosts.values().any(Host::ready);
        held.sort_by_cached_key(|id| Reverse(self.jobs.get(id).map(|job| self.density_of(job).to_bits())));
        for id in held {
            let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Held) else { continue };
            // Past its wait another gateway may sooner have room.
            let waited = job.attempts == 0 && (none || self.now > job.arrived + self.patience(job));
            if waited || self.now + 3 * self.expected(job.want.class) > self.aim_of(job) {
                self.finish(id, out);
                continue;
            }
            let end = if hosts_left { self.dispatch(id, out) } else { Dispatch::NoHost };
            hosts_left &= end != Dispatch::NoHost;
            if end != Dispatch::Sent {
                self.held.push_back(id);
            }
        }
        self.arm_held(out);
    }

    /// Worth for each second of work. Guards against a shortage that falls on the worthiest: it waits least.
    pub(crate) fn density_of(&self, job: &Job) -> f64 {
        let work = seconds(self.expected(job.want.class)).max(0.001);
        (self.class(job).priority_weight * self.set.plans[job.claim.plan].weight_factor / work).max(1e-9)
    }

    /// How long a request waits here at most for room.
    fn patience(&self, job: &Job) -> Nanos {
        nanos(seconds(self.aim_of(job) - job.arrived) * COME_BACK_AFTER)
    }

    /// When the client of a refused request is told to come again. Guards against clients told to stay away
    /// for so long that no further try can be in time, yet takes as much. Could hurt where a try costs much
    /// to refuse, or where all clients return as one. Past the aim a try would be load without worth.
    pub(crate) fn come_back(&self, job: &Job) -> Nanos {
        let in_time = |soon: &Nanos| self.now + soon < self.aim_of(job);
        Some(self.patience(job)).filter(in_time).unwrap_or(self.set.longest_retry_after)
    }

    pub(crate) fn aim_of(&self, job: &Job) -> Nanos {
        job.arrived.saturating_add(self.class(job).latency_objective).min(job.deadline)
    }

    pub(crate) fn expected(&self, class: usize) -> Nanos {
        nanos(self.fleet.class_took[class].0)
    }

    /// Sends the request's next attempt, if ceiling, open cap and hosts allow it now.
    fn dispatch(&mut self, id: RequestId, out: &mut Actions) -> Dispatch {
        let Some(job) = self.jobs.get(&id).cloned() else { return Dispatch::Sent };
        let first = job.attempts == 0;
        let capped = first && self.set.plans[job.claim.plan].ceiling_rate > 0.0;
        let no_room = capped && self.quotas.ceiling_left(&job.claim) < job.claim.units;
        let begins_within = self.begins_within(&job);
        if no_room || begins_within == 0 || first && !self.quotas.open_left(&job.claim) {
            return Dispatch::NotThis;
        }
        if self.fleet.full() {
            return Dispatch::NoHost;
        }
        let want = Want { ran: job.ran.map(|(_, cell, zone, _)| (cell, zone)), ..job.want };
        let Some(host) = self.fleet.choose(&want, &mut self.rng) else {
            return if job.ran.is_some() { Dispatch::NotThis } else { Dispatch::NoHost };
        };
        let (now, attempt, customer) = (self.now, job.attempts, job.claim.customer);
        let cell_zone = self.fleet.send(id, host);
        let q = self.quotas.of.entry(customer).or_default();
        q.open += 1;
        q.ceiling -= if capped { job.claim.units } else { 0.0 };
        self.sent
            .insert((id, attempt), Sent { host, at: now, class: job.want.class, customer, begun: false });
        if let Some(job) = self.jobs.get_mut(&id) {
            job.stage = Stage::Out;
            job.attempts += 1;
            // Until its outcome proves otherwise, this attempt is the one that may have run first.
            job.ran = job.ran.or(cell_zone.map(|(cell, zone)| (attempt, cell, zone, now)));
        }
        let saved = (RETRY_SAVED / f64::from(self.set.limiter_count)).max(1.0);
        self.retry_tokens = (self.retry_tokens + if first { RETRY_SHARE } else { 0.0 }).min(saved);
        out.push(Action::Attempt { id, host, timeout: job.deadline.saturating_sub(now), begins_within });
        Dispatch::Sent
    }

    /// The host has answered, whatever time its client takes for it; its customer's open cap counts on.
    fn on_stream(&mut self, key: (RequestId, u32), elapsed: Nanos, out: &mut Actions) {
        self.jobs.entry(key.0).and_modify(|job| job.stage = Stage::Streaming);
        let Some(sent) = self.sent.get_mut(&key).filter(|sent| !sent.begun) else { return };
        sent.begun = true;
        self.fleet.learn(key.0, sent, Outcome::Good, elapsed, out);
        self.release_held(out);
    }

    fn on_done(
        &mut self, key: (RequestId, u32), end: (Outcome, Nanos), over: bool, units: f64, out: &mut Actions,
    ) {
        let ((id, attempt), (end, elapsed)) = (key, end);
        let Some(sent) = self.sent.remove(&key) else { return };
        if let Some(q) = self.quotas.of.get_mut(&sent.customer) {
            q.open = q.open.saturating_sub(1);
        }
        if !sent.begun {
            self.fleet.learn(id, &sent, end, elapsed, out);
        }
        // Whatever is proven not to have run binds nothing.
        if end.never_ran() {
            self.jobs.entry(id).and_modify(|job| job.ran = job.ran.filter(|(number, ..)| *number != attempt));
        }
        // A settled guess: the count gets the difference, of no more than a request may count.
        let settled = self.set.settled_later && end == Outcome::Good && units > 0.0;
        if let Some(job) = self.jobs.get(&id).filter(|_| settled).cloned() {
            let most = self.set.largest_request.max(job.claim.units);
            self.quotas.adjust(&job.claim, units.min(most) - job.claim.units, true, out);
        }
        if over {
            self.jobs.remove(&id);
        } else if let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Out) {
            if self.may_try_again(job, end) {
                let draw = self.rng.f64();
                if let Some(job) = self.jobs.get_mut(&id) {
                    (job.want.avoid, job.want.draw, job.stage) = (Some(sent.host), draw, Stage::Held);
                }
                self.retry_tokens -= if end.never_ran() { 0.0 } else { 1.0 };
                if self.dispatch(id, out) != Dispatch::Sent {
                    self.held.push_front(id);
                }
            } else {
                self.finish(id, out);
            }
        }
        self.release_held(out);
    }

    /// How soon what may already have run allows a further attempt to begin; nought: not at all.
    fn begins_within(&self, job: &Job) -> Nanos {
        let class = self.class(job);
        match (job.ran, class.effect) {
            (None, _) | (_, Effect::Retryable) => Nanos::MAX,
            (Some(_), Effect::Unsafe) => 0,
            (Some((.., at)), Effect::Keyed) => at.saturating_add(class.dedup_window).saturating_sub(self.now),
        }
    }

    fn may_try_again(&self, job: &Job, outcome: Outcome) -> bool {
        self.begins_within(job) > 0
            && outcome != Outcome::NeverSent
            && job.attempts < self.set.max_attempts.max(1)
            && (self.retry_tokens >= 1.0 || outcome.never_ran())
            && self.now + self.expected(job.want.class) < self.aim_of(job)
    }

    /// The final answer of a request that no host answered: a refusal where that is true, else a failure.
    pub(crate) fn finish(&mut self, id: RequestId, out: &mut Actions) {
        let Some(job) = self.close(id, out) else { return };
        let class = self.class(&job);
        let dropped = class.effect == Effect::Keyed && class.group == Group::All;
        let harmless = job.ran.is_none() || class.effect == Effect::Retryable || dropped;
        if job.stage == Stage::Out && self.set.may_cancel {
            out.push(Action::CancelAttempt { id, attempt: job.attempts - 1 });
        }
        let retry_after = self.come_back(&job);
        out.push(if harmless { Action::Reject { id, retry_after } } else { Action::Fail { id } });
    }

    /// Ends a request's life. What surely never ran is taken off its customer's count, whoever ended it.
    fn close(&mut self, id: RequestId, out: &mut Actions) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        if job.ran.is_none() {
            self.quotas.adjust(&job.claim, -job.claim.units, false, out);
        }
        Some(job)
    }
}
