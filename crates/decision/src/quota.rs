//! Quota: each customer's two-window count over all gateways, and the verdict on it. Knows no life, no hosts.

use crate::api::*;
use crate::terms::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Window length in bursts: a longer one grants more at once than there is, a shorter one is read less often.
const WINDOW_BURSTS: f64 = 1.25;
/// The most of a burst that a customer is held to have in store as a window begins. Guards against what
/// others pass before their adds are seen. On two sites 0.5 and 0.6 do alike, 0.7 loses on one, 1 on both.
const STORE_MOST: f64 = 0.55;
/// A request waits for the counter at most this part of its aim.
pub(crate) const WAIT_PART_OF_AIM: f64 = 0.1;
/// Share of the counter's time-out that its answers may take; the part of the requests that ask follows it.
const COUNTER_TARGET: f64 = 0.65;
const ASK_GAIN: f64 = 0.5;
/// However poorly the counter answers, this part of the requests still asks, so that its return is noticed.
pub(crate) const ASK_LEAST: f64 = 0.1;
/// Before anything is seen of a customer it is held to use such a part of its quota, which counts as so many
/// units seen; what a gateway sees itself fades in so many seconds.
const USE_BEFORE: f64 = 0.7;
const UNITS_BEFORE: f64 = 4.0;
const SEEN_FADES: f64 = 15.0;
/// Held to use more, a customer is refused unasked, as hosts and counter are shared. Bounds of 2.2, 1.6, 1.35
/// gave more each (0.33, 0.47, 0.51 in the mean of six days of 100 gateways).
const USED_AT_MOST: f64 = 1.35;
/// A customer's requests are many at a gateway where its even part of a window is this part of the largest.
const MANY: f64 = 0.5;

/// A call to the counter: a request's add, a correction, or, adding nought, a read of the window before.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) customer: CustomerId,
    pub(crate) window: u64,
    pub(crate) amount: f64,
    pub(crate) job: Option<RequestId>,
    /// What the counter had confirmed of this gateway's adds when the call was made.
    pub(crate) confirmed: f64,
}

/// A plan's windows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    length: Nanos,
    at: Nanos,
    /// What one takes at the rate, and the most in store as one begins.
    at_rate: f64,
    store: f64,
}

/// What this gateway knows of one customer's two counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quota {
    pub(crate) window: u64,
    /// Latest total of the current window, with what a lost counter forgot.
    pub(crate) known: f64,
    /// Own adds still on their way.
    pub(crate) pending: f64,
    /// Own adds that never got on the counter; the next add takes them along.
    pub(crate) owed: f64,
    /// Own adds confirmed, and taken back since; a total below what is left proves that the name was lost.
    pub(crate) confirmed: f64,
    pub(crate) taken: f64,
    pub(crate) lost: f64,
    /// Own adds that are or may be in `known`, and those of the previous window.
    pub(crate) own: f64,
    pub(crate) own_previous: f64,
    pub(crate) answered: bool,
    /// What was in store as the previous window began.
    pub(crate) store_before: f64,
    pub(crate) previous: f64,
    pub(crate) previous_read: bool,
    pub(crate) waiting: Vec<RequestId>,
    /// Local share of the hard ceiling: units in store and when that was reckoned.
    pub(crate) ceiling: f64,
    pub(crate) ceiling_at: Nanos,
    /// This gateway's share of the quota, for requests that nobody else's count is known for.
    pub(crate) store: f64,
    pub(crate) stored_at: Nanos,
    pub(crate) open: u32,
    /// Units asked for through this gateway, which fade, and when the last came.
    pub(crate) seen: f64,
    pub(crate) last_seen: Nanos,
}

/// All customers' quotas, as one gateway knows them.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    pub(crate) set: Arc<Settings>,
    pub(crate) now: Nanos,
    pub(crate) born: Nanos,
    pub(crate) of: BTreeMap<CustomerId, Quota>,
    pub(crate) calls: BTreeMap<String, VecDeque<Call>>,
    /// The part of the requests that ask the counter.
    pub(crate) ask: f64,
    pub(crate) counter_trouble: bool,
    /// The mean part of its limit that a request brings along for the counter.
    pub(crate) need: f64,
}

impl Quotas {
    fn window(&self, plan: usize) -> Window {
        let plan = &self.set.plans[plan];
        let burst = plan.burst.max(self.set.largest_request / WINDOW_BURSTS);
        // A name lives for 60 s at most and must outlast two windows.
        let length = (WINDOW_BURSTS * burst / plan.rate).clamp(0.1, 25.0);
        let at_rate = (plan.rate * length).max(WINDOW_BURSTS * burst);
        let store = (STORE_MOST * burst).max(self.set.largest_request);
        Window { length: nanos(length).max(1), at: self.now, at_rate, store }
    }

    /// Forgets customers of whom nothing known tells any more, after so long that all is over and full.
    pub(crate) fn forget(&mut self) {
        let with_rate = (0..self.set.plans.len()).filter(|&plan| self.set.plans[plan].rate > 0.0);
        let windows = with_rate.map(|plan| 2 * self.window(plan).length).max().unwrap_or(0);
        let full = |plan: &Plan| nanos(plan.ceiling_burst / plan.ceiling_rate);
        let capped = self.set.plans.iter().filter(|plan| plan.ceiling_rate > 0.0);
        let after = capped.map(full).max().unwrap_or(0).max(windows).max(SECOND as Nanos);
        let oldest = self.now.saturating_sub(after);
        self.of.retain(|_, q| q.open > 0 || q.last_seen >= oldest);
        self.calls.retain(|_, calls| !calls.is_empty());
    }

    /// Whether a customer's requests come through this gateway often enough for one to make up for another.
    fn many(&self, limit: f64, spread: u32) -> bool {
        !self.set.counter || limit / f64::from(spread) >= MANY * self.set.largest_request
    }

    /// The customer's record, rolled on to the window of this moment.
    fn quota(&mut self, customer: CustomerId, of: Window) -> &mut Quota {
        let (now, window) = (self.now, of.at / of.length);
        let q = self.of.entry(customer).or_default();
        q.seen *= (-seconds(now.saturating_sub(q.last_seen)) / SEEN_FADES).exp();
        q.last_seen = now;
        if q.window != window {
            // What was last seen of a window is a lower bound on it until it has been read.
            let follows = q.window + 1 == window;
            q.store_before = if follows { q.in_store(q.previous, of) } else { of.store };
            q.previous = if follows { q.known + q.pending + q.owed } else { 0.0 };
            q.own_previous = if follows { q.own } else { 0.0 };
            (q.own, q.window, q.previous_read, q.answered) = (0.0, window, false, false);
            (q.known, q.pending, q.owed, q.confirmed, q.taken, q.lost) = (0.0, 0.0, 0.0, 0.0, 0.0, 0.0);
        }
        q
    }

    /// The verdict on a request that came in; its claim is told what was charged.
    pub(crate) fn claim(
        &mut self, id: RequestId, claim: &mut Claim, (wait, draw): (Nanos, f64), out: &mut Actions,
    ) -> Verdict {
        let Claim { customer, plan, units, spread, .. } = *claim;
        let of = self.window(plan);
        // Guards against a counter that is slow, silent or crowded: calls beyond what it answers in time only
        // lengthen its line, so a part of the requests goes unasked. Who asks is drawn by the part of its
        // limit that it brings along, with what went unasked before: totals are wrong by what they lack.
        let q = self.quota(customer, of);
        q.seen += units;
        let need = (units + q.owed).max(0.0) / of.at_rate;
        self.need += SMOOTHING * (need - self.need);
        let many = self.many(of.at_rate, spread);
        let need = need.max(1e-9) / self.need.max(1e-9);
        let part = if many { (self.ask * need).min(1.0) } else { self.ask.powf(1.0 / need) };
        let crowded = self.ask < 1.0 && draw >= part;
        // Guards against totals that lack what went unasked, where no later request takes it along: who asks
        // then stands for all like it.
        let weight = if many { 1.0 } else { 1.0 / part.max(ASK_LEAST) };
        let q = self.quota(customer, of);
        let over = q.over(q.previous, q.known + q.owed, of);
        // A customer whose total shows it to be over costs no more calls until the estimate has fallen.
        if over && q.answered {
            return Verdict::Over;
        }
        if crowded {
            return self.judge_locally(claim);
        }
        let amount = weight * units + q.owed;
        q.owed = 0.0;
        q.pending += amount;
        let window = q.window;
        claim.charged = Some((window, weight));
        self.call((customer, window), amount, Some(id), of, out);
        timer("wait", Some(id), wait, out);
        Verdict::Asked
    }

    fn call(
        &mut self, (customer, window): (CustomerId, u64), amount: f64, job: Option<RequestId>, with: Window,
        out: &mut Actions,
    ) {
        let name = format!("q{:x}.{window}", customer.0);
        // Kept to the end of the window after it.
        let keep_for = (window + 2).saturating_mul(with.length).saturating_sub(with.at).max(with.length);
        out.push(Action::Count { name: name.clone(), amount, keep_for });
        let q = self.of.entry(customer).or_default();
        q.taken += if q.window == window { (-amount).max(0.0) } else { 0.0 };
        let call = Call { customer, window, amount, job, confirmed: q.confirmed };
        self.calls.entry(name).or_default().push_back(call);
    }

    /// Corrects a request's add by so many units. Guards against a counter crowded by settled guesses: where
    /// the customer comes often, its next add takes them along.
    pub(crate) fn adjust(&mut self, claim: &Claim, units: f64, settled: bool, out: &mut Actions) {
        let Some((window, weight)) = claim.charged else { return };
        let (customer, amount, of) = (claim.customer, weight * units, self.window(claim.plan));
        let along = settled && self.many(of.at_rate, claim.spread);
        let q = self.quota(customer, of);
        if along && q.window == window {
            q.owed += amount;
            return;
        }
        q.pending += if q.window == window { amount } else { 0.0 };
        self.call((customer, window), amount, None, of, out);
    }

    /// The part of the requests that ask, by what the calls meet: less as answers near the time-out or fail.
    fn learn_of_counter(&mut self, outcome: Outcome, elapsed: Nanos, out: &mut Actions) {
        let part = elapsed as f64 / self.set.counter_timeout.max(1) as f64;
        let delay = if outcome == Outcome::Good { part } else { 1.0 };
        self.ask = (self.ask * (ASK_GAIN * (COUNTER_TARGET - delay)).exp()).clamp(ASK_LEAST, 1.0);
        let trouble = self.ask <= ASK_LEAST * if self.counter_trouble { 4.0 } else { 2.0 };
        if trouble != std::mem::replace(&mut self.counter_trouble, trouble) {
            let text = ["counter answers again", "counter in trouble: judging on what is known"];
            out.push(Action::Log { text: text[usize::from(trouble)].to_owned() });
        }
    }

    /// Books an answer of the counter. Returns the requests to be judged, and whether by the count.
    pub(crate) fn counted(
        &mut self, name: &str, outcome: Outcome, total: f64, elapsed: Nanos, out: &mut Actions,
    ) -> (Vec<RequestId>, bool) {
        // Answers for a name come in the order of the calls.
        let first = self.calls.get_mut(name).and_then(VecDeque::pop_front);
        let Some(call) = first else { return (Vec::new(), false) };
        let good = outcome == Outcome::Good;
        self.learn_of_counter(outcome, elapsed, out);
        let q = self.of.entry(call.customer).or_default();
        if call.job.is_none() && call.amount == 0.0 {
            if q.window == call.window + 1 {
                q.previous = if good { q.previous.max(total) } else { q.previous };
                q.previous_read = good;
            }
            return (std::mem::take(&mut q.waiting), true);
        }
        if q.window == call.window {
            q.pending -= call.amount;
            match outcome {
                Outcome::Good => {
                    // A name that holds less than this gateway put there was forgotten: what was known stays.
                    // Guards against taking calls that overtook each other on their way for that.
                    let (before, least) = (total - call.amount, call.confirmed - q.taken);
                    if before < least - 0.01 * least.max(1.0) {
                        q.lost += (q.known - q.lost - before).max(0.0);
                        q.confirmed = before + q.taken;
                    }
                    q.confirmed += call.amount.max(0.0);
                    q.own += call.amount;
                    (q.known, q.answered) = (total + q.lost, true);
                }
                Outcome::Timeout => (q.known, q.own) = (q.known + call.amount, q.own + call.amount), // maybe
                _ => q.owed += call.amount,
            }
        }
        (Vec::from_iter(call.job), good)
    }

    /// The verdict on the weighted two-window estimate. The previous window is read once, and only where the
    /// verdict hangs on it.
    pub(crate) fn judge(&mut self, id: RequestId, claim: &Claim, draw: f64, out: &mut Actions) -> Verdict {
        let Claim { customer, plan, units, charged, .. } = *claim;
        let (of, crowded) = (self.window(plan), draw >= self.ask);
        let q = self.quota(customer, of);
        let Some((_, weight)) = charged.filter(|(window, _)| *window == q.window) else {
            return self.judge_locally(claim);
        };
        // It uses its own units, whatever else it stands for.
        let known = q.known - (weight - 1.0) * units;
        if q.over(q.previous, known, of) {
            return Verdict::Over;
        }
        if q.previous_read || !q.over(q.previous.max(q.store_before + of.at_rate), known, of) {
            return Verdict::Pass;
        }
        let first = q.waiting.is_empty();
        if crowded && first {
            return self.judge_locally(claim);
        }
        q.waiting.push(id);
        if first {
            let window = q.window.saturating_sub(1);
            self.call((customer, window), 0.0, None, of, out);
        }
        Verdict::Asked
    }

    /// The verdict while the counter is silent, by what is known: who is not known to be over passes.
    pub(crate) fn judge_locally(&mut self, claim: &Claim) -> Verdict {
        let Claim { customer, plan, units, spread, charged } = *claim;
        let (rate, of) = (self.set.plans[plan].rate, self.window(plan));
        let (seen, part) = (of.at_rate, if self.set.counter { 1.0 - self.ask } else { 1.0 });
        let (now, many) = (self.now, self.many(seen, spread));
        let q = self.quota(customer, of);
        let weight = charged.filter(|(window, _)| *window == q.window).map(|(_, weight)| weight);
        let unasked = if weight.is_some() { 0.0 } else { units };
        let known = q.known - weight.map_or(0.0, |weight| (weight - 1.0) * units);
        let share = q.share(spread, seen);
        let gained = seconds(now - q.stored_at) * rate * share * part;
        q.store = (q.store + gained).min((seen * share).max(units));
        q.stored_at = now;
        let mine = (q.pending + q.owed + unasked) / share;
        let known_over = q.over(q.previous, known, of);
        // Guards against every gateway granting what is in store on what it cannot see.
        let by_share = estimate(q.previous, known + mine, of);
        // Where its share is too small to tell, what comes here still tells of a customer far over.
        let used =
            (q.seen + USE_BEFORE * UNITS_BEFORE) / (rate * SEEN_FADES / f64::from(spread) + UNITS_BEFORE);
        let beyond = if many { q.store < units && by_share > seen } else { used > USED_AT_MOST };
        if known_over || beyond {
            return if known_over { Verdict::Over } else { Verdict::Beyond };
        }
        q.store -= units;
        q.owed += if many { unasked } else { 0.0 };
        Verdict::Pass
    }

    /// How long until the customer's next window.
    pub(crate) fn next_window(&self, claim: &Claim) -> Nanos {
        let of = self.window(claim.plan);
        of.length - of.at % of.length
    }

    /// Whether the open cap has room. Guards against every gateway granting all: each keeps to its share.
    pub(crate) fn open_left(&self, claim: &Claim) -> bool {
        let plan = &self.set.plans[claim.plan];
        let q = self.of.get(&claim.customer);
        let (open, share) = q.map_or((0, 1.0), |q| (q.open, q.share(claim.spread, plan.burst)));
        plan.open == 0 || f64::from(open) < (f64::from(plan.open) * share).ceil()
    }

    /// What is left of this gateway's share of the hard ceiling. It starts empty: it may have been spent.
    pub(crate) fn ceiling_left(&mut self, claim: &Claim) -> f64 {
        let (now, born, share) = (self.now, self.born, 1.0 / f64::from(claim.spread));
        let plan = &self.set.plans[claim.plan];
        let q = self.of.entry(claim.customer).or_default();
        let since = if q.ceiling_at == 0 { born } else { q.ceiling_at };
        let gained = seconds(now - since) * plan.ceiling_rate * share;
        q.ceiling = (q.ceiling + gained).min(plan.ceiling_burst * share);
        q.ceiling_at = now;
        q.ceiling
    }
}

impl Quota {
    /// What is in store as the window begins, where the one before used so much.
    fn in_store(&self, previous: f64, of: Window) -> f64 {
        (self.store_before + of.at_rate - previous).clamp(0.0, of.store)
    }

    /// Whether the estimate is over its limit: what was in store, what came since at the rate, what weighs
    /// of the window before. Guards against holding who has spent its burst to what one that was idle has.
    fn over(&self, previous: f64, current: f64, of: Window) -> bool {
        let part = (of.at % of.length) as f64 / of.length as f64;
        let limit = self.in_store(previous, of) + part * of.at_rate + (1.0 - part) * previous;
        estimate(previous, current, of) > limit
    }

    /// Which part of the customer's use comes through this gateway: an even one, and by the totals as seen.
    pub(crate) fn share(&self, spread: u32, limit: f64) -> f64 {
        let (own, all) = (self.own + self.own_previous, self.known + self.previous);
        ((own + limit / f64::from(spread)) / (all.max(own) + limit)).min(1.0)
    }
}

/// The weighted two-window estimate at the time `now`, from the previous and the current window's counts.
fn estimate(previous: f64, current: f64, of: Window) -> f64 {
    previous * (1.0 - (of.at % of.length) as f64 / of.length as f64) + current
}
