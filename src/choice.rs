//! All decisions of the gateway. The types, events and actions are in `src/api.rs`.
//!
//! Every request adds its units to its customer's count for the current window, is judged on the weighted
//! two-window estimate, and is then sent on to a host or refused. See `docs/design.md` for the reasons and
//! for the conditions under which each exception acts. Sections: quota, request life, hosts.

use crate::api::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

type Actions = Vec<Action>;

const SECOND: f64 = 1e9;
/// Window length in bursts: its head start (limit less burst) about makes up for what its edge withholds.
const WINDOW_BURSTS: f64 = 1.5;
/// A request waits for the counter at most this part of its aim.
const WAIT_PART_OF_AIM: f64 = 0.1;
/// Share of the counter's time-out that its answers may take; the part of the requests that ask follows it.
const COUNTER_TARGET: f64 = 0.65;
const ASK_GAIN: f64 = 0.5;
/// However poorly the counter answers, this part of the requests still asks, so that its return is noticed.
const ASK_LEAST: f64 = 0.1;
/// However few ask, they share this part of the limit: less is too coarse for the largest requests.
const LIMIT_LEAST: f64 = 0.8;
/// Further attempts of what may have run that a first attempt earns, and the most saved by all gateways.
const RETRY_SHARE: f64 = 0.1;
const RETRY_SAVED: f64 = 20.0;
/// Attempts at once that a host is given at the start, by all gateways together.
const HOST_ROOM_AT_START: f64 = 6.0;
/// Attempts by which a gateway's room at all hosts changes with an answer, times how prompt that was.
const ROOM_GAIN: f64 = 0.3;
/// An answer later than this part of its aim tells of a line at the host.
const PROMPT_PART_OF_AIM: f64 = 0.3;
/// After this part of the aim who was not sent on is refused, and is told to come back after as much again.
const COME_BACK_AFTER: f64 = 0.25;
/// The least part of the requests let in, and the longest pause that one answer stands for, in seconds.
const LET_IN_LEAST: f64 = 0.05;
const LONGEST_PAUSE: f64 = 5.0;
/// After so many failures in a row a host is reported.
const FAILING_AFTER: u32 = 3;
/// The mean answer time of a class is over about so many of its last answers.
const ANSWERS_IN_MEAN: f64 = 100.0;
/// Power of measured slowness by which a host is shunned, and again its zone, which has the more answers.
const SHUN: i32 = 2;
/// What a zone tells of a host counts as so many answers of its own, which fade in so many seconds.
const EVIDENCE_OF_ZONE: f64 = 2.0;
const EVIDENCE_FADES: f64 = 10.0;
/// A failure counts as an answer of so many mean times.
const FAILURE_AS_SLOW: f64 = 5.0;
/// Weight of one more answer in a mean.
const SMOOTHING: f64 = 0.1;

/// A call to the counter: a request's add, a correction, or, adding nought, a read of the window before.
#[derive(Clone, Debug)]
struct Call {
    customer: CustomerId,
    window: u64,
    amount: f64,
    job: Option<RequestId>,
}

/// What this gateway knows of one customer's two counts.
#[derive(Clone, Debug, Default)]
struct Quota {
    window: u64,
    /// Latest total of the current window, with what a lost counter forgot.
    known: f64,
    /// Own adds still on their way.
    pending: f64,
    /// Own adds that never got on the counter; the next add takes them along.
    owed: f64,
    /// Own adds that the counter confirmed; a total below it proves that the counter lost the name.
    confirmed: f64,
    lost: f64,
    /// Own adds that are or may be in `known`, and those of the previous window.
    own: f64,
    own_previous: f64,
    answered: bool,
    previous: f64,
    previous_read: bool,
    reading: bool,
    waiting: Vec<RequestId>,
    /// Local share of the hard ceiling: units in store and when that was reckoned.
    ceiling: f64,
    ceiling_at: Nanos,
    /// This gateway's share of the quota, for requests that nobody else's count is known for.
    store: f64,
    stored_at: Nanos,
    open: u32,
    last_seen: Nanos,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Waiting for the counter.
    Counting,
    /// Admitted, waiting for a host, for the ceiling or for the open cap.
    Held,
    Out,
    Streaming,
}

#[derive(Clone, Debug)]
struct Job {
    class: usize,
    plan: usize,
    customer: CustomerId,
    units: f64,
    spread: u32,
    arrived: Nanos,
    deadline: Nanos,
    stage: Stage,
    attempts: u32,
    /// The window on whose count its units stand.
    charged: Option<u64>,
    avoid: Option<HostId>,
    /// First attempt that may have run: its number, cell, zone and time.
    ran: Option<(u32, u32, u32, Nanos)>,
    /// Drawn once for each attempt, not at each look for a host: who goes to cold hosts.
    draw: f64,
}

#[derive(Clone, Debug)]
struct Sent {
    host: HostId,
    at: Nanos,
    class: usize,
    customer: CustomerId,
}

#[derive(Clone, Debug, Default)]
struct Host {
    entry: HostEntry,
    out: BTreeSet<(Nanos, RequestId)>,
    /// Answer time as a multiple of the class's mean, over how many answers, and when the last one came.
    slowness: f64,
    evidence: f64,
    measured: Nanos,
    /// How many attempts of this gateway it takes at once and still answers well within the aim.
    room: f64,
    failures: u32,
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
#[derive(Debug)]
pub struct Gateway {
    set: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    born: Nanos,
    started: bool,
    jobs: BTreeMap<RequestId, Job>,
    sent: BTreeMap<(RequestId, u32), Sent>,
    held: VecDeque<RequestId>,
    held_timer: bool,
    quotas: BTreeMap<CustomerId, Quota>,
    calls: BTreeMap<String, VecDeque<Call>>,
    /// The part of the requests that ask the counter.
    ask: f64,
    counter_trouble: bool,
    /// The mean part of its limit that a request brings along for the counter.
    need: f64,
    hosts: BTreeMap<HostId, Host>,
    /// Mean answer time of each class in seconds, and of how many answers.
    class_took: Vec<(f64, f64)>,
    /// Answer time as a multiple of the class's mean by zone, and when the last came; failures count as slow.
    zone_slowness: BTreeMap<u32, (f64, Nanos)>,
    retry_tokens: f64,
    /// The part of the requests let in, the mean answer time as a part of the aim, and when one last came.
    let_in: f64,
    lateness: f64,
    lateness_at: Nanos,
    /// The mean part of the aim that those take that are answered at all.
    answered: f64,
    density: f64,
    /// How many attempts at once this gateway may have out for each able host, at whichever.
    room: f64,
}

fn seconds(t: Nanos) -> f64 {
    t as f64 / SECOND
}

fn nanos(s: f64) -> Nanos {
    (s.max(0.0) * SECOND) as Nanos
}

impl Gateway {
    /// A gateway that knows nothing but its settings.
    pub fn new(mut settings: Settings, seed: u64, now: Nanos) -> Self {
        // The last class and plan stand for any that was not told: unsafe to repeat, without a quota.
        settings.classes.push(Class { aim: Nanos::MAX, worth: 1.0, ..Class::default() });
        settings.plans.push(Plan { worth_factor: 1.0, ..Plan::default() });
        settings.gateways = settings.gateways.max(1);
        Gateway {
            class_took: vec![(0.0, 0.0); settings.classes.len()],
            room: HOST_ROOM_AT_START / f64::from(settings.gateways),
            set: settings,
            rng: fastrand::Rng::with_seed(seed),
            now,
            born: now,
            started: false,
            jobs: BTreeMap::new(),
            sent: BTreeMap::new(),
            held: VecDeque::new(),
            held_timer: false,
            quotas: BTreeMap::new(),
            calls: BTreeMap::new(),
            ask: 1.0,
            counter_trouble: false,
            need: 0.0,
            hosts: BTreeMap::new(),
            zone_slowness: BTreeMap::new(),
            retry_tokens: 1.0,
            let_in: 1.0,
            lateness: 0.0,
            lateness_at: now,
            answered: 0.0,
            density: 0.0,
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Actions) {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            self.timer("sweep", None, SECOND as Nanos, out);
            if self.set.discovery_by_asking {
                out.push(Action::Watch { on: true });
            }
        }
        match event {
            Event::Hosts { mode, entries, .. } => self.on_hosts(mode, entries, out),
            Event::Request { id, class, plan, customer, budget, units, spread, .. } => {
                let job = Job {
                    class: (class as usize).min(self.set.classes.len() - 1),
                    plan: (plan as usize).min(self.set.plans.len() - 1),
                    customer,
                    units: units.max(0.0),
                    spread: spread.clamp(1, self.set.gateways),
                    arrived: self.now,
                    deadline: self.now.saturating_add(budget),
                    stage: Stage::Counting,
                    attempts: 0,
                    charged: None,
                    avoid: None,
                    ran: None,
                    draw: self.rng.f64(),
                };
                self.on_request(id, job, budget, out);
            }
            Event::StreamStarted { id, .. } => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.stage = Stage::Streaming;
                }
            }
            Event::AttemptDone { id, attempt, outcome, took, over, true_units, .. } => {
                self.on_done((id, attempt), (outcome, took), over, true_units, out)
            }
            Event::Abandoned { id } => drop(self.jobs.remove(&id)),
            Event::Timer { tag } => self.on_timer(&tag, out),
            Event::Counted { name, outcome, total, took } => {
                self.on_counted(&name, outcome, total, took, out)
            }
            Event::ProbeDone { .. } | Event::Peer { .. } => {}
        }
    }

    fn timer(&self, kind: &str, id: Option<RequestId>, after: Nanos, out: &mut Actions) {
        let tag = id.map_or(kind.to_owned(), |id| format!("{kind}:{:x}", id.0));
        out.push(Action::SetTimer { tag, after });
    }

    fn on_timer(&mut self, tag: &str, out: &mut Actions) {
        let (kind, rest) = tag.split_once(':').unwrap_or((tag, ""));
        let id = u64::from_str_radix(rest, 16).map(RequestId).ok();
        let stage = id.and_then(|id| self.jobs.get(&id)).map(|job| job.stage);
        match (kind, id, stage) {
            ("deadline", Some(id), Some(stage)) if stage != Stage::Streaming => self.finish(id, out),
            // The counter has had its time: the request goes by what is known.
            ("wait", Some(id), Some(Stage::Counting)) => self.judge_locally(id, out),
            ("late", Some(id), Some(Stage::Out)) => {
                let Some(job) = self.jobs.get(&id) else { return };
                // A gateway that stood still sees this late: it must not blame hosts for its own pause.
                let in_step = self.now <= self.aim_of(job) + 2 * self.set.tick;
                // An answer worth nothing is not waited for: whoever is given up on is told so at once.
                let given_up = self.class(job).late_worth <= 0.0;
                let sent = self.sent.get(&(id, job.attempts - 1)).cloned();
                if let Some(sent) = sent.filter(|_| in_step) {
                    // Guards against shedding that cures nothing (answers lost, a few dead hosts): where the
                    // answered are prompt, hosts are not behind. Could hurt where all stop at once.
                    self.learn_of_lateness((self.answered / PROMPT_PART_OF_AIM).min(1.0));
                    self.learn_of_host(&sent, self.now - sent.at, true);
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
                let oldest = self.now.saturating_sub(self.remembered());
                self.quotas.retain(|_, q| q.open > 0 || q.last_seen >= oldest);
                self.hosts.retain(|_, h| h.entry.state != HostState::Gone || !h.out.is_empty());
                self.timer("sweep", None, SECOND as Nanos, out);
            }
            _ => {}
        }
    }

    // ---- Quota -------------------------------------------------------------------------------------------

    fn class(&self, job: &Job) -> &Class {
        &self.set.classes[job.class]
    }

    /// Window length in nanoseconds and the limit over it, from the plan's rate and burst.
    fn window(&self, plan: usize) -> (Nanos, f64) {
        let plan = &self.set.plans[plan];
        let burst = plan.burst.max(self.set.largest_request);
        // A name lives for 60 s at most and must outlast two windows.
        let length = (WINDOW_BURSTS * burst / plan.rate).clamp(0.1, 25.0);
        (nanos(length), (plan.rate * length).max(burst))
    }

    /// After so long without a request nothing that is known of a customer tells any more: its windows are
    /// over and its stores are full.
    fn remembered(&self) -> Nanos {
        let with_rate = (0..self.set.plans.len()).filter(|&plan| self.set.plans[plan].rate > 0.0);
        let windows = with_rate.map(|plan| 2 * self.window(plan).0).max().unwrap_or(0);
        let full = |plan: &Plan| nanos(plan.ceiling_burst / plan.ceiling_rate);
        let capped = self.set.plans.iter().filter(|plan| plan.ceiling_rate > 0.0);
        capped.map(full).max().unwrap_or(0).max(windows).max(SECOND as Nanos)
    }

    /// The customer's record, rolled on to the window of this moment.
    fn quota(&mut self, customer: CustomerId, length: Nanos) -> &mut Quota {
        let (now, window) = (self.now, self.now / length.max(1));
        let q = self.quotas.entry(customer).or_default();
        q.last_seen = now;
        if q.window != window {
            // What was last seen of a window is a lower bound on it until it has been read.
            let follows = q.window + 1 == window;
            q.previous = if follows { q.known + q.pending + q.owed } else { 0.0 };
            q.own_previous = if follows { q.own } else { 0.0 };
            q.own = 0.0;
            q.window = window;
            (q.known, q.pending, q.owed, q.confirmed, q.lost) = (0.0, 0.0, 0.0, 0.0, 0.0);
            (q.previous_read, q.reading, q.answered) = (false, false, false);
        }
        q
    }

    fn on_request(&mut self, id: RequestId, job: Job, budget: Nanos, out: &mut Actions) {
        let (customer, units, plan) = (job.customer, job.units, job.plan);
        let aim = self.aim_of(&job) - self.now;
        // One tick early: timers come late, never early.
        let last = budget.saturating_sub(self.set.tick);
        self.timer("late", Some(id), aim.min(last), out);
        self.timer("deadline", Some(id), last, out);
        let work = seconds(self.expected(job.class)).max(0.001);
        let density = (self.class(&job).worth * self.set.plans[plan].worth_factor / work).max(1e-9);
        self.density += SMOOTHING * (density - self.density);
        self.jobs.insert(id, job);
        if self.let_in < 1.0 && self.rng.f64() >= self.let_in.powf(self.density / density) {
            return self.finish(id, out);
        }
        if self.set.plans[plan].rate <= 0.0 {
            return self.admit(id, out);
        }
        if !self.set.counter {
            // Each gateway then holds its customers to its share by what it sends itself.
            return self.judge_locally(id, out);
        }
        let (length, limit) = self.window(plan);
        let now = self.now;
        // Guards against a counter that is slow, silent or crowded: calls beyond what it answers in time only
        // lengthen its line, so a part of the requests goes unasked. Who asks is drawn by the part of its
        // limit that it brings along, with what went unasked before: totals are wrong by what they lack.
        let draw = self.rng.f64();
        let owed = self.quota(customer, length).owed;
        let need = (units + owed).max(0.0) / limit;
        self.need += SMOOTHING * (need - self.need);
        let crowded = self.ask < 1.0 && draw >= self.ask * need / self.need.max(1e-9);
        let q = self.quota(customer, length);
        let over = estimate(q.previous, q.known + q.owed, now, length) > limit;
        // A customer whose total shows it to be over costs no more calls until the estimate has fallen.
        if over && q.answered {
            return self.refuse(id, true, out);
        }
        if crowded {
            return self.judge_locally(id, out);
        }
        let amount = units + q.owed;
        q.owed = 0.0;
        q.pending += amount;
        let window = q.window;
        self.jobs.entry(id).and_modify(|job| job.charged = Some(window));
        self.call(Call { customer, window, amount, job: Some(id) }, length, out);
        self.timer("wait", Some(id), (aim as f64 * WAIT_PART_OF_AIM) as Nanos, out);
    }

    fn call(&mut self, call: Call, length: Nanos, out: &mut Actions) {
        let name = format!("q{:x}.{}", call.customer.0, call.window);
        // Kept to the end of the window after it.
        let keep_for = (call.window + 2).saturating_mul(length).saturating_sub(self.now).max(length);
        out.push(Action::Count { name: name.clone(), amount: call.amount, keep_for });
        self.calls.entry(name).or_default().push_back(call);
    }

    fn adjust(&mut self, customer: CustomerId, window: u64, amount: f64, plan: usize, out: &mut Actions) {
        let (length, _) = self.window(plan);
        let q = self.quota(customer, length);
        q.pending += if q.window == window { amount } else { 0.0 };
        self.call(Call { customer, window, amount, job: None }, length, out);
    }

    /// The part of the requests that ask, by what the calls meet: less as answers near the time-out or fail.
    fn learn_of_counter(&mut self, outcome: Outcome, took: Nanos, out: &mut Actions) {
        let good = outcome == Outcome::Good;
        let delay = if good { took as f64 / self.set.counter_timeout.max(1) as f64 } else { 1.0 };
        self.ask = (self.ask * (ASK_GAIN * (COUNTER_TARGET - delay)).exp()).clamp(ASK_LEAST, 1.0);
        let trouble = self.ask <= ASK_LEAST * if self.counter_trouble { 4.0 } else { 2.0 };
        if trouble != self.counter_trouble {
            self.counter_trouble = trouble;
            let text = if trouble {
                "counter in trouble: judging on what is known"
            } else {
                "counter answers again"
            };
            out.push(Action::Log { text: text.to_owned() });
        }
    }

    fn on_counted(&mut self, name: &str, outcome: Outcome, total: f64, took: Nanos, out: &mut Actions) {
        // Answers for a name come in the order of the calls.
        let Some(calls) = self.calls.get_mut(name) else { return };
        let Some(call) = calls.pop_front() else { return };
        if calls.is_empty() {
            self.calls.remove(name);
        }
        let good = outcome == Outcome::Good;
        self.learn_of_counter(outcome, took, out);
        let q = self.quotas.entry(call.customer).or_default();
        if call.job.is_none() && call.amount == 0.0 {
            if q.window == call.window + 1 {
                if good {
                    q.previous = q.previous.max(total);
                }
                (q.previous_read, q.reading) = (good, false);
            }
            for id in std::mem::take(&mut q.waiting) {
                self.judge(id, out);
            }
            return;
        }
        if q.window == call.window {
            q.pending -= call.amount;
            match outcome {
                Outcome::Good => {
                    // A name that holds less than this gateway put there was forgotten: what was known stays.
                    let before = total - call.amount;
                    if before < q.confirmed - 0.01 * q.confirmed.max(1.0) {
                        q.lost += (q.known - q.lost - before).max(0.0);
                        q.confirmed = before;
                    }
                    q.confirmed += call.amount;
                    q.own += call.amount;
                    q.known = total + q.lost;
                    q.answered = true;
                }
                // It may have been added.
                Outcome::Timeout => {
                    q.known += call.amount;
                    q.own += call.amount;
                }
                _ => q.owed += call.amount,
            }
        }
        if let Some(job) = call.job {
            if good {
                self.judge(job, out);
            } else {
                self.judge_locally(job, out);
            }
        }
    }

    /// The verdict on the weighted two-window estimate. The previous window is read once, and only where the
    /// verdict hangs on it.
    fn judge(&mut self, id: RequestId, out: &mut Actions) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Counting) else { return };
        let (customer, charged, (length, limit)) = (job.customer, job.charged, self.window(job.plan));
        let limit = limit * self.ask.max(LIMIT_LEAST);
        let (now, crowded) = (self.now, self.rng.f64() >= self.ask);
        let q = self.quota(customer, length);
        if charged != Some(q.window) {
            return self.judge_locally(id, out);
        }
        if estimate(q.previous, q.known, now, length) > limit {
            return self.refuse(id, true, out);
        }
        if q.previous_read || estimate(q.previous.max(limit), q.known, now, length) <= limit {
            return self.admit(id, out);
        }
        if crowded && !q.reading {
            return self.judge_locally(id, out);
        }
        q.waiting.push(id);
        if !q.reading {
            q.reading = true;
            let window = q.window.saturating_sub(1);
            self.call(Call { customer, window, amount: 0.0, job: None }, length, out);
        }
    }

    /// The verdict while the counter is silent: the last totals and this gateway's own adds. Whoever is not
    /// known to be over the limit passes.
    fn judge_locally(&mut self, id: RequestId, out: &mut Actions) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Counting) else { return };
        let (customer, charged, units, spread) = (job.customer, job.charged, job.units, job.spread);
        let (rate, (length, limit)) = (self.set.plans[job.plan].rate, self.window(job.plan));
        let (now, part) = (self.now, if self.set.counter { 1.0 - self.ask } else { 1.0 });
        let q = self.quota(customer, length);
        let unasked = if charged == Some(q.window) { 0.0 } else { units };
        let share = q.share(spread, limit);
        let gained = seconds(now - q.stored_at) * rate * share * part;
        q.store = (q.store + gained).min((limit * share).max(units));
        q.stored_at = now;
        let mine = (q.pending + q.owed + unasked) / share;
        let known_over = estimate(q.previous, q.known, now, length) > limit;
        if known_over || q.store < units && estimate(q.previous, q.known + mine, now, length) > limit {
            return self.refuse(id, known_over, out);
        }
        q.store -= units;
        q.owed += unasked;
        self.admit(id, out);
    }

    /// Refuses a request on its quota and takes its add back. Who is not known to be over it, but only beyond
    /// this gateway's share, may come again in time: by then, or elsewhere, more may be known.
    fn refuse(&mut self, id: RequestId, known_over: bool, out: &mut Actions) {
        let Some(job) = self.jobs.get(&id).cloned() else { return };
        self.take_back(&job, out);
        let (plan, (length, _)) = (&self.set.plans[job.plan], self.window(job.plan));
        // Where use beyond the quota pays it goes on while a host stands idle, charged to no count.
        let idle = |h: &Host| h.ready() && h.out.is_empty();
        if plan.extra_worth > plan.overrun_cost && self.held.is_empty() && self.hosts.values().any(idle) {
            self.jobs.entry(id).and_modify(|job| job.charged = None);
            return self.admit(id, out);
        }
        let retry_after = if known_over { length - self.now % length } else { self.come_back(&job) };
        out.push(Action::Refuse { id, retry_after });
        self.jobs.remove(&id);
    }

    /// Takes the add of a request off the count that it stands on: what is never sent on uses nothing.
    fn take_back(&mut self, job: &Job, out: &mut Actions) {
        if let Some(window) = job.charged {
            self.adjust(job.customer, window, -job.units, job.plan, out);
        }
    }

    /// What is left of this gateway's share of the hard ceiling. It starts empty: it may have been spent.
    fn ceiling_left(&mut self, plan: usize, customer: CustomerId, spread: u32) -> f64 {
        let (now, born, share) = (self.now, self.born, 1.0 / f64::from(spread));
        let plan = &self.set.plans[plan];
        let q = self.quotas.entry(customer).or_default();
        if q.ceiling_at == 0 {
            q.ceiling_at = born;
        }
        let gained = seconds(now - q.ceiling_at) * plan.ceiling_rate * share;
        q.ceiling = (q.ceiling + gained).min(plan.ceiling_burst * share);
        q.ceiling_at = now;
        q.ceiling
    }

    // ---- Request life ------------------------------------------------------------------------------------

    fn admit(&mut self, id: RequestId, out: &mut Actions) {
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
            self.timer("held", None, self.set.tick.max(1_000_000), out);
        }
    }

    /// Sends on what waits, oldest first, and refuses what can no longer be answered in time.
    fn release_held(&mut self, out: &mut Actions) {
        let (mut kept, mut hosts_left) = (VecDeque::new(), true);
        for id in std::mem::take(&mut self.held) {
            let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Held) else { continue };
            // Past its wait another gateway may sooner have room.
            let waited = job.attempts == 0 && self.now > job.arrived + self.patience(job);
            if waited || self.now + 3 * self.expected(job.class) > self.aim_of(job) {
                self.finish(id, out);
                continue;
            }
            let end = if hosts_left { self.dispatch(id, out) } else { Dispatch::NoHost };
            hosts_left &= end != Dispatch::NoHost;
            if end != Dispatch::Sent {
                kept.push_back(id);
            }
        }
        kept.append(&mut self.held);
        self.held = kept;
        self.arm_held(out);
    }

    /// How long a request waits here at most for room.
    fn patience(&self, job: &Job) -> Nanos {
        nanos(seconds(self.aim_of(job) - job.arrived) * COME_BACK_AFTER)
    }

    /// When the client of a refused request is told to come again. Guards against clients told to stay away
    /// for so long that no further try can be in time, yet takes as much. Could hurt where a try costs much
    /// to refuse, or where all clients return as one. Past the aim a try would be load without worth.
    fn come_back(&self, job: &Job) -> Nanos {
        let soon = self.patience(job);
        if self.now + soon < self.aim_of(job) {
            soon
        } else {
            self.set.longest_retry_after
        }
    }

    fn aim_of(&self, job: &Job) -> Nanos {
        job.arrived.saturating_add(self.class(job).aim).min(job.deadline)
    }

    fn expected(&self, class: usize) -> Nanos {
        nanos(self.class_took[class].0)
    }

    /// Sends the request's next attempt, if ceiling, open cap and hosts allow it now.
    fn dispatch(&mut self, id: RequestId, out: &mut Actions) -> Dispatch {
        let Some(job) = self.jobs.get(&id).cloned() else { return Dispatch::Sent };
        let first = job.attempts == 0;
        let capped = first && self.set.plans[job.plan].ceiling_rate > 0.0;
        let no_room = capped && self.ceiling_left(job.plan, job.customer, job.spread) < job.units;
        if no_room || !self.may_repeat(&job) {
            return Dispatch::NotThis;
        }
        // Guards against every gateway granting the whole open cap: each keeps to its share, one at least.
        let plan = &self.set.plans[job.plan];
        let (open, share) =
            self.quotas.get(&job.customer).map_or((0, 1.0), |q| (q.open, q.share(job.spread, plan.burst)));
        let mine = f64::from(plan.open) * share;
        if first && plan.open > 0 && f64::from(open) >= mine.ceil() {
            return Dispatch::NotThis;
        }
        // Guards against hosts that hold ever more that nobody waits for (a flood, hosts or answers lost):
        // what is not back takes the place of what would follow. Could hurt after a pause, by its burst.
        if self.sent.len() as f64 >= (self.room * self.able()).round().max(1.0) {
            return Dispatch::NoHost;
        }
        let Some(host) = self.choose(&job) else {
            return if job.ran.is_some() { Dispatch::NotThis } else { Dispatch::NoHost };
        };
        let (now, attempt) = (self.now, job.attempts);
        let cell_zone = self.hosts.get_mut(&host).map(|h| {
            h.out.insert((now, id));
            (h.entry.cell, h.entry.zone)
        });
        let q = self.quotas.entry(job.customer).or_default();
        q.open += 1;
        q.ceiling -= if capped { job.units } else { 0.0 };
        self.sent.insert((id, attempt), Sent { host, at: now, class: job.class, customer: job.customer });
        if let Some(job) = self.jobs.get_mut(&id) {
            job.stage = Stage::Out;
            job.attempts += 1;
            if job.ran.is_none() {
                // Until its outcome proves otherwise, this attempt is the one that may have run first.
                job.ran = cell_zone.map(|(cell, zone)| (attempt, cell, zone, now));
            }
        }
        if first {
            let saved = (RETRY_SAVED / f64::from(self.set.gateways)).max(1.0);
            self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(saved);
        }
        out.push(Action::Attempt { id, host, timeout: job.deadline.saturating_sub(now) });
        Dispatch::Sent
    }

    fn on_done(
        &mut self, key: (RequestId, u32), end: (Outcome, Nanos), over: bool, units: f64, out: &mut Actions,
    ) {
        let ((id, attempt), (end, took)) = (key, end);
        let Some(sent) = self.sent.remove(&key) else { return };
        if let Some(q) = self.quotas.get_mut(&sent.customer) {
            q.open = q.open.saturating_sub(1);
        }
        self.learn(id, &sent, end, took, out);
        // Whatever is proven not to have run binds nothing.
        if let Some(job) = self.jobs.get_mut(&id) {
            if end.never_ran() && job.ran.is_some_and(|(number, ..)| number == attempt) {
                job.ran = None;
            }
        }
        // A settled guess: the count gets the difference.
        let settled = self.set.settled_later && end == Outcome::Good && units > 0.0;
        let job = self.jobs.get(&id).filter(|_| settled);
        if let Some((window, plan, more)) =
            job.and_then(|job| Some((job.charged?, job.plan, units - job.units)))
        {
            self.adjust(sent.customer, window, more, plan, out);
        }
        if over {
            self.jobs.remove(&id);
        } else if let Some(job) = self.jobs.get(&id).filter(|job| job.stage == Stage::Out) {
            if self.may_try_again(job, end) {
                let draw = self.rng.f64();
                if let Some(job) = self.jobs.get_mut(&id) {
                    (job.avoid, job.stage, job.draw) = (Some(sent.host), Stage::Held, draw);
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

    /// Whether what may already have run allows a further attempt at this moment.
    fn may_repeat(&self, job: &Job) -> bool {
        let class = self.class(job);
        match (job.ran, class.effect) {
            (None, _) | (_, Effect::Retryable) => true,
            (Some(_), Effect::Unsafe) => false,
            (Some((.., at)), Effect::Keyed) => self.now < at.saturating_add(class.dedup_window),
        }
    }

    fn may_try_again(&self, job: &Job, outcome: Outcome) -> bool {
        self.may_repeat(job)
            && outcome != Outcome::NeverSent
            && job.attempts < self.set.max_attempts.max(1)
            && (self.retry_tokens >= 1.0 || outcome.never_ran())
            && self.now + self.expected(job.class) < self.aim_of(job)
    }

    /// The final answer of a request that no host answered: a refusal where that is true, else a failure.
    fn finish(&mut self, id: RequestId, out: &mut Actions) {
        let Some(job) = self.jobs.get(&id).cloned() else { return };
        let class = self.class(&job);
        let harmless = match class.effect {
            Effect::Retryable => true,
            Effect::Keyed => job.ran.is_none() || class.group == Group::All,
            Effect::Unsafe => job.ran.is_none(),
        };
        if job.stage == Stage::Out && self.set.may_cancel {
            out.push(Action::CancelAttempt { id, attempt: job.attempts - 1 });
        }
        if harmless {
            if job.attempts == 0 {
                self.take_back(&job, out);
            }
            out.push(Action::Refuse { id, retry_after: self.come_back(&job) });
        } else {
            out.push(Action::Fail { id });
        }
        self.jobs.remove(&id);
    }

    // ---- Hosts -------------------------------------------------------------------------------------------

    fn on_hosts(&mut self, mode: ListMode, entries: Vec<HostEntry>, out: &mut Actions) {
        if mode == ListMode::Unavailable && self.set.discovery_by_asking {
            self.timer("watch", None, SECOND as Nanos, out);
        }
        if matches!(mode, ListMode::Replace | ListMode::Restored) {
            self.hosts.values_mut().for_each(|h| h.entry.state = HostState::Gone);
        }
        for entry in entries {
            let now = self.now;
            let room = (HOST_ROOM_AT_START / f64::from(self.set.gateways)).clamp(1.0, 2.0);
            let fresh = Host { slowness: 1.0, measured: now, room, ..Host::default() };
            let host = self.hosts.entry(entry.host).or_insert(Host { entry: entry.clone(), ..fresh.clone() });
            if entry.started != host.entry.started {
                // A new process: what was learned of the old one is void, but not what is out.
                let out = std::mem::take(&mut host.out);
                *host = Host { entry: entry.clone(), out, ..fresh };
            }
            host.entry = entry;
        }
        self.release_held(out);
    }

    /// The part of its capacity that a host has at least, by the time since its start.
    fn warmth(&self, h: &Host) -> f64 {
        let age = self.now.saturating_sub(h.entry.started);
        if h.entry.started == 0 || age >= self.set.warm_after || self.set.warm_after == 0 {
            return 1.0;
        }
        let part = age as f64 / self.set.warm_after as f64;
        self.set.cold_from + (1.0 - self.set.cold_from) * part
    }

    /// How many warm hosts all hosts together stand for.
    fn able(&self) -> f64 {
        self.hosts.values().filter(|h| h.ready()).map(|h| self.warmth(h)).sum()
    }

    /// What a host can do beside others at this moment.
    fn weight(&self, h: &Host) -> f64 {
        self.warmth(h) * if h.entry.weight > 0.0 { h.entry.weight } else { 1.0 }
    }

    /// The host for a request's next attempt: the least loaded for its speed, the own zone first.
    fn choose(&mut self, job: &Job) -> Option<HostId> {
        let (effect, group) = (self.class(job).effect, self.class(job).group);
        let part_of_fleet = |h| (h, self.warmth(h), self.weight(h));
        let ready: Vec<_> = self.hosts.values().filter(|h| h.ready()).map(part_of_fleet).collect();
        // Guards against gateways that each find a cold host idle and tip it together: requests draw it in
        // the part that its least capacity is of the fleet's, less what chance may add of what tips it.
        let all: f64 = ready.iter().map(|&(_, _, weight)| weight).sum();
        let margin = 1.0 - 1.0 / self.set.overload_factor.max(1.0);
        let mut left = job.draw * all;
        let mut cold = None;
        for &(h, _, weight) in ready.iter().filter(|&&(_, warmth, _)| warmth < 1.0) {
            let part = weight * margin;
            if (0.0..part).contains(&left) {
                cold = Some(h.entry.host);
            }
            left -= part;
        }
        // Guards against gateways that all find the same host best: what the others have there is unseen and
        // drawn at random, which with nothing seen spreads the sends by what the hosts can do.
        let unseen = 1.0 - 1.0 / f64::from(self.set.gateways);
        let mut best: Option<(f64, HostId)> = None;
        for &(h, warmth, weight) in &ready {
            let in_group = match (job.ran, effect, group) {
                (Some((_, cell, ..)), Effect::Keyed, Group::Cell) => h.entry.cell == cell,
                (Some((_, _, zone, _)), Effect::Keyed, Group::Zone) => h.entry.zone == zone,
                _ => true,
            };
            // Guards against piling work on a fleet that is behind: what exceeds its room waits longer there.
            let full = h.out.len() as f64 >= h.room;
            if !in_group || warmth < 1.0 && cold != Some(h.entry.host) || full {
                continue;
            }
            let zone = self.slowness_of(h.entry.zone);
            let evidence = h.evidence * self.faded(h.measured);
            let slowness = if job.avoid == Some(h.entry.host) {
                FAILURE_AS_SLOW * zone
            } else {
                (evidence * h.slowness + EVIDENCE_OF_ZONE * zone) / (evidence + EVIDENCE_OF_ZONE)
            };
            let crossing = if h.entry.zone == self.set.zone { 0.0 } else { unseen };
            let guess = 1.0 - unseen - unseen * (1.0 - self.rng.f64()).ln();
            let load = (h.out.len() as f64 + guess + crossing) * (slowness * zone).powi(SHUN) / weight;
            // A cold host that was drawn is taken: left to compare, it would hardly ever be.
            let score = if warmth < 1.0 { 0.0 } else { load };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, h.entry.host));
            }
        }
        best.map(|(_, host)| host)
    }

    /// What one more answer, its time a part of its aim, tells of all hosts together: fewer requests are let
    /// in while answers are late in the mean, whichever host they come from.
    fn learn_of_lateness(&mut self, part: f64) {
        // In absolute terms, so that all gateways together act alike however many they are.
        let (able, change) = (self.able().max(1.0), ROOM_GAIN * (PROMPT_PART_OF_AIM - part));
        if change < 0.0 || self.sent.len() as f64 + 1.0 >= self.room * able / 2.0 {
            self.room = (self.room + change / able).max(1.0 / able);
        }
        // Few come while little is let in: one counts for the pause before it, a late one for 1 s at most.
        let gap = seconds(self.now - self.lateness_at).min(LONGEST_PAUSE);
        self.lateness_at = self.now;
        self.lateness += (1.0 - (-gap.max(0.02)).exp()) * (part - self.lateness);
        let change =
            (gap * (PROMPT_PART_OF_AIM - self.lateness)).max(PROMPT_PART_OF_AIM - self.lateness.max(1.0));
        self.let_in = (self.let_in * change.exp()).clamp(LET_IN_LEAST, 1.0);
    }

    /// What an outcome tells of its host.
    fn learn(&mut self, id: RequestId, sent: &Sent, outcome: Outcome, took: Nanos, out: &mut Actions) {
        if let Some(h) = self.hosts.get_mut(&sent.host) {
            h.out.remove(&(sent.at, id));
        }
        if matches!(outcome, Outcome::Cancelled | Outcome::NeverSent) {
            return;
        }
        let aim = seconds(self.set.classes[sent.class].aim);
        let part = if outcome == Outcome::Full { 1.0 } else { seconds(took) / aim };
        if matches!(outcome, Outcome::Full | Outcome::Good) && part <= 1.0 {
            self.learn_of_lateness(part);
        }
        self.learn_of_host(sent, took, outcome != Outcome::Good);
        let took = seconds(took);
        let Some(h) = self.hosts.get_mut(&sent.host) else { return };
        let in_use = h.out.len() as f64 + 1.0 >= h.room / 2.0;
        if outcome == Outcome::Good && took <= aim * PROMPT_PART_OF_AIM {
            // All gateways feel their way at once, and the answers that would warn them come late.
            h.room += if in_use { 1.0 / h.room / f64::from(self.set.gateways) } else { 0.0 };
        } else {
            // Past the aim all it holds is lost; an overdriven host recovers only when it is let drain.
            let part = if took > aim { 0.25 } else { 0.7 };
            h.room = (h.room * part).max(1.0);
        }
        if outcome == Outcome::Good {
            h.failures = 0;
            self.answered += SMOOTHING * (part.min(1.0) - self.answered);
            let (mean, count) = &mut self.class_took[sent.class];
            *count = (*count + 1.0).min(ANSWERS_IN_MEAN);
            *mean += (took - *mean) / *count;
        } else if outcome != Outcome::Full {
            h.failures += 1;
            if h.failures == FAILING_AFTER {
                let text = format!("host {} failing: {} failures in a row", sent.host.0, h.failures);
                out.push(Action::Log { text });
            }
        }
    }

    /// How much of what was last measured at a time still holds.
    fn faded(&self, at: Nanos) -> f64 {
        (-seconds(self.now - at) / EVIDENCE_FADES).exp()
    }

    /// A zone's slowness. It fades: guards against a zone that was cut off, is back, and gets nothing.
    fn slowness_of(&self, zone: u32) -> f64 {
        self.zone_slowness.get(&zone).map_or(1.0, |&(slow, at)| 1.0 + (slow - 1.0) * self.faded(at))
    }

    /// What an answer, or none by the aim, tells of a host's speed. Guards against hosts that answer nothing,
    /// or turn work away at once, and so look idle: a failure counts as slow, at its host and its zone.
    fn learn_of_host(&mut self, sent: &Sent, took: Nanos, failed: bool) {
        let (now, mean) = (self.now, self.class_took[sent.class].0);
        let Some(h) = self.hosts.get(&sent.host) else { return };
        let (faded, zone) = (self.faded(h.measured), h.entry.zone);
        let of_zone = self.slowness_of(zone);
        let slow = (seconds(took) / mean).max(if failed { FAILURE_AS_SLOW } else { 0.0 });
        let slow = slow.min(2.0 * FAILURE_AS_SLOW);
        if let Some(h) = self.hosts.get_mut(&sent.host).filter(|_| mean > 0.0) {
            h.evidence = (h.evidence * faded + 1.0).min(1.0 / SMOOTHING);
            h.slowness += (slow - h.slowness) / h.evidence;
            h.measured = now;
            self.zone_slowness.insert(zone, (of_zone + SMOOTHING * (slow - of_zone), now));
        }
    }
}

impl Host {
    /// Nothing new goes to a host that drains or is gone.
    fn ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }
}

impl Quota {
    /// Which part of the customer's use comes through this gateway: an even one, and by the totals as seen.
    fn share(&self, spread: u32, limit: f64) -> f64 {
        let (own, all) = (self.own + self.own_previous, self.known + self.previous);
        ((own + limit / f64::from(spread)) / (all.max(own) + limit)).min(1.0)
    }
}

/// The weighted two-window estimate at the time `now`, from the previous and the current window's counts.
fn estimate(previous: f64, current: f64, now: Nanos, length: Nanos) -> f64 {
    previous * (1.0 - (now % length) as f64 / length as f64) + current
}
