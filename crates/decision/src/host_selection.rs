//! Hosts: which of them is sent to, what their answers tell of each and of all. Knows neither quota nor life.

use crate::api::*;
use crate::terms::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Attempts at once that a host is given at the start, by all gateways together.
pub(crate) const HOST_ROOM_AT_START: f64 = 6.0;
/// Attempts by which a gateway's room at all hosts changes with an answer, times how prompt that was.
const ROOM_GAIN: f64 = 0.3;
/// An answer later than this part of its aim tells of a line at the host.
pub(crate) const PROMPT_PART_OF_AIM: f64 = 0.3;
/// The least part of the requests let in, and the longest pause that one answer stands for, in seconds.
pub(crate) const LET_IN_LEAST: f64 = 0.05;
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
/// A cold host whose answers take less than so many mean times is taken for as much more than by its age,
/// but no more than so many times: with the part that is left to chance, under half of what may tip it.
const SHOWN_AT: f64 = 1.5;
const SHOWN_MOST: f64 = 2.0;
/// A failure counts as an answer of so many mean times.
const FAILURE_AS_SLOW: f64 = 5.0;

#[derive(Clone, Debug, Default)]
pub(crate) struct Host {
    pub(crate) entry: HostEntry,
    pub(crate) out: BTreeSet<(Nanos, RequestId)>,
    /// Answer time as a multiple of the class's mean, over how many answers, and when the last one came.
    pub(crate) slowness: f64,
    pub(crate) evidence: f64,
    pub(crate) measured: Nanos,
    /// How many attempts of this gateway it takes at once and still answers well within the aim.
    pub(crate) room: f64,
    pub(crate) failures: u32,
}

/// All hosts, as one gateway knows them.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) set: Arc<Settings>,
    pub(crate) now: Nanos,
    pub(crate) hosts: BTreeMap<HostId, Host>,
    /// Attempts out at whichever.
    pub(crate) out: usize,
    /// Mean answer time of each class in seconds, and of how many answers.
    pub(crate) class_took: Vec<(f64, f64)>,
    /// Answer time as a multiple of the class's mean by zone, and when the last came; failures count as slow.
    pub(crate) zone_slowness: BTreeMap<u32, (f64, Nanos)>,
    /// The part of the requests let in, the mean answer time as a part of the aim, and when one last came.
    pub(crate) let_in: f64,
    pub(crate) lateness: f64,
    pub(crate) lateness_at: Nanos,
    /// The mean part of the aim that those take that are answered at all.
    pub(crate) answered: f64,
    /// How many attempts at once this gateway may have out for each able host, at whichever.
    pub(crate) room: f64,
}

impl Fleet {
    pub(crate) fn on_hosts(&mut self, mode: ListMode, entries: Vec<HostEntry>, out: &mut Actions) {
        if mode == ListMode::Unavailable && self.set.discovery_by_polling {
            timer("watch", None, SECOND as Nanos, out);
        }
        if matches!(mode, ListMode::Replace | ListMode::Restored) {
            self.hosts.values_mut().for_each(|h| h.entry.state = HostState::Gone);
        }
        for entry in entries {
            let room = (HOST_ROOM_AT_START / f64::from(self.set.limiter_count)).clamp(1.0, 2.0);
            let fresh = Host { slowness: 1.0, measured: self.now, room, ..Host::default() };
            let host = self.hosts.entry(entry.host).or_insert(Host { entry: entry.clone(), ..fresh.clone() });
            if entry.started != host.entry.started {
                // A new process: what was learned of the old one is void, but not what is out.
                *host = Host { out: std::mem::take(&mut host.out), ..fresh };
            }
            host.entry = entry;
        }
    }

    /// The part of its capacity that a host has at least, by the time since its start.
    fn warmth(&self, h: &Host) -> f64 {
        let age = self.now.saturating_sub(h.entry.started);
        if h.entry.started == 0 || age >= self.set.slow_start_duration || self.set.slow_start_duration == 0 {
            return 1.0;
        }
        let by_age = self.set.slow_start_floor
            + (1.0 - self.set.slow_start_floor) * age as f64 / self.set.slow_start_duration as f64;
        // Guards against hosts that warm by requests and stay cold for want of them: their answers count.
        let seen = h.evidence * self.faded(h.measured) >= EVIDENCE_OF_ZONE;
        (by_age * if seen { (SHOWN_AT / h.slowness).clamp(1.0, SHOWN_MOST) } else { 1.0 }).min(1.0)
    }

    /// How many warm hosts all hosts together stand for.
    pub(crate) fn able(&self) -> f64 {
        self.hosts.values().filter(|h| h.ready()).map(|h| self.warmth(h)).sum()
    }

    /// What a host can do beside others at this moment.
    fn weight(&self, h: &Host) -> f64 {
        self.warmth(h) * if h.entry.weight > 0.0 { h.entry.weight } else { 1.0 }
    }

    /// Whether no further attempt may go out. Guards against hosts that hold ever more that nobody waits for:
    /// what is not back takes the place of what would follow. Could hurt after a pause, by its burst.
    pub(crate) fn full(&self) -> bool {
        self.out as f64 >= (self.room * self.able()).round().max(1.0)
    }

    /// Books an attempt that goes out; its host's cell and zone.
    pub(crate) fn send(&mut self, id: RequestId, host: HostId) -> Option<(u32, u32)> {
        let h = self.hosts.get_mut(&host)?;
        self.out += 1;
        h.out.insert((self.now, id));
        Some((h.entry.cell, h.entry.zone))
    }

    /// The host for a request's next attempt: the least loaded for its speed, the own zone first.
    pub(crate) fn choose(&self, want: &Want, rng: &mut fastrand::Rng) -> Option<HostId> {
        let (effect, group) = (self.set.classes[want.class].effect, self.set.classes[want.class].group);
        let part_of_fleet = |h| (h, self.warmth(h), self.weight(h));
        let ready: Vec<_> = self.hosts.values().filter(|h| h.ready()).map(part_of_fleet).collect();
        // Guards against gateways that each find a cold host idle and tip it together: requests draw it in
        // the part that its least capacity is of the fleet's, less what chance may add of what tips it.
        let all: f64 = ready.iter().map(|&(_, _, weight)| weight).sum();
        let margin = 1.0 - 1.0 / self.set.overload_factor.max(1.0);
        let mut left = want.draw * all;
        let drawn = |&&(_, warmth, weight): &&(&Host, f64, f64)| {
            left -= if warmth < 1.0 { weight * margin } else { 0.0 };
            left < 0.0
        };
        let cold = ready.iter().find(drawn).map(|(h, ..)| h.entry.host);
        // Guards against gateways that all find the same host best: what the others have there is unseen and
        // drawn at random, which with nothing seen spreads the sends by what the hosts can do.
        let unseen = 1.0 - 1.0 / f64::from(self.set.limiter_count);
        let mut best: Option<(f64, HostId)> = None;
        for &(h, warmth, weight) in &ready {
            let in_group = match (want.ran, effect, group) {
                (Some((cell, _)), Effect::Keyed, Group::Cell) => h.entry.cell == cell,
                (Some((_, zone)), Effect::Keyed, Group::Zone) => h.entry.zone == zone,
                _ => true,
            };
            // Guards against piling work on a fleet that is behind: what exceeds its room waits longer there.
            let full = h.out.len() as f64 >= h.room;
            if !in_group || warmth < 1.0 && cold != Some(h.entry.host) || full {
                continue;
            }
            let zone = self.slowness_of(h.entry.zone);
            let evidence = h.evidence * self.faded(h.measured);
            let slowness = if want.avoid == Some(h.entry.host) {
                FAILURE_AS_SLOW * zone
            } else {
                (evidence * h.slowness + EVIDENCE_OF_ZONE * zone) / (evidence + EVIDENCE_OF_ZONE)
            };
            let crossing = if h.entry.zone == self.set.zone { 0.0 } else { unseen };
            let guess = 1.0 - unseen - unseen * (1.0 - rng.f64()).ln();
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
    pub(crate) fn learn_of_lateness(&mut self, part: f64) {
        // In absolute terms, so that all gateways together act alike however many they are.
        let (able, change) = (self.able().max(1.0), ROOM_GAIN * (PROMPT_PART_OF_AIM - part));
        if change < 0.0 || self.out as f64 + 1.0 >= self.room * able / 2.0 {
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
    pub(crate) fn learn(
        &mut self, id: RequestId, sent: &Sent, outcome: Outcome, elapsed: Nanos, out: &mut Actions,
    ) {
        self.hosts.entry(sent.host).and_modify(|h| _ = h.out.remove(&(sent.at, id)));
        self.out = self.out.saturating_sub(1);
        if matches!(outcome, Outcome::Cancelled | Outcome::NeverSent) {
            return;
        }
        let latency_objective = seconds(self.set.classes[sent.class].latency_objective);
        let part = if outcome == Outcome::Rejected { 1.0 } else { seconds(elapsed) / latency_objective };
        if matches!(outcome, Outcome::Rejected | Outcome::Good) && part <= 1.0 {
            self.learn_of_lateness(part);
        }
        self.learn_of_host(sent, elapsed, outcome != Outcome::Good);
        let elapsed = seconds(elapsed);
        let Some(h) = self.hosts.get_mut(&sent.host) else { return };
        let in_use = h.out.len() as f64 + 1.0 >= h.room / 2.0;
        if outcome == Outcome::Good && elapsed <= latency_objective * PROMPT_PART_OF_AIM {
            // All gateways feel their way at once, and the answers that would warn them come late.
            h.room += if in_use { 1.0 / h.room / f64::from(self.set.limiter_count) } else { 0.0 };
        } else {
            // Past the aim all it holds is lost; an overdriven host recovers only when it is let drain.
            let part = if elapsed > latency_objective { 0.25 } else { 0.7 };
            h.room = (h.room * part).max(1.0);
        }
        if outcome == Outcome::Good {
            h.failures = 0;
            self.answered += SMOOTHING * (part.min(1.0) - self.answered);
            let (mean, count) = &mut self.class_took[sent.class];
            *count = (*count + 1.0).min(ANSWERS_IN_MEAN);
            *mean += (elapsed - *mean) / *count;
        } else if outcome != Outcome::Rejected {
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
    pub(crate) fn learn_of_host(&mut self, sent: &Sent, elapsed: Nanos, failed: bool) {
        let (now, mean) = (self.now, self.class_took[sent.class].0);
        let Some(h) = self.hosts.get(&sent.host) else { return };
        let (faded, zone) = (self.faded(h.measured), h.entry.zone);
        let of_zone = self.slowness_of(zone);
        let slow = (seconds(elapsed) / mean).max(if failed { FAILURE_AS_SLOW } else { 0.0 });
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
    pub(crate) fn ready(&self) -> bool {
        self.entry.state == HostState::Ready
    }
}
