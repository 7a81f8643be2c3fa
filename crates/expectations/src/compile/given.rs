//! Partners, the counter, client retries, and the choices that an expectation leaves to the search.

use super::aliases;
use super::reading::{index_of, keywords, members};
use super::Compiler;
use crate::error::ValueError;
use quartzcleat_config::reader::{flag, one_of_renamed, text};
use quartzcleat_config::tree::{Content, Entry, Node};
use quartzcleat_config::{quantity, Faults, Reader};
use quartzcleat_decision::api::{LimiterIndex, Nanos, PlanIndex};
use quartzcleat_simulation::scenario::{
    AttemptOutcome, CounterCallOutcome, CounterMode, CounterSetup, LimiterSet, RetryPolicy,
    Scenario,
};
use std::sync::Arc;

const ATTEMPT_OUTCOMES: [(&str, AttemptOutcome); 9] = [
    ("normal", AttemptOutcome::Normal),
    ("error", AttemptOutcome::Error),
    ("rejected", AttemptOutcome::Rejected),
    ("connection refused", AttemptOutcome::ConnectionRefused),
    ("reset after execution", AttemptOutcome::ResetAfterExecution),
    (
        "reset before execution",
        AttemptOutcome::ResetBeforeExecution,
    ),
    ("answer lost", AttemptOutcome::AnswerLost),
    ("request lost", AttemptOutcome::RequestLost),
    ("late", AttemptOutcome::Late),
];

const COUNTER_CALL_OUTCOMES: [(&str, CounterCallOutcome); 4] = [
    ("normal", CounterCallOutcome::Normal),
    ("request lost", CounterCallOutcome::RequestLost),
    ("answer lost", CounterCallOutcome::AnswerLost),
    ("rejected", CounterCallOutcome::Rejected),
];

const COUNTER_MODES: [(&str, CounterMode); 4] = [
    ("normal", CounterMode::Normal),
    ("silent", CounterMode::Silent),
    ("rejecting", CounterMode::Refusing),
    ("slow 5", CounterMode::Slow(5.0)),
];

/// The delay before a client's retry if `retry.after` is not given.
const DEFAULT_RETRY_DELAY: Nanos = 200_000_000;
/// The maximum factor by which calls of a slow counter are lengthened.
const MAX_SLOW_FACTOR: f64 = 1e6;

/// A partner: its plan, and the limiters that receive its requests.
#[derive(Clone, Debug)]
pub(super) struct Partner {
    pub(super) plan: PlanIndex,
    pub(super) limiters: Vec<LimiterIndex>,
    pub(super) limiter_set: LimiterSet,
}

impl Compiler<'_> {
    pub(super) fn read_partners(
        &mut self,
        node: Option<&Node>,
        file: &Arc<str>,
        faults: &mut Faults,
    ) {
        let Some(node) = node else { return };
        let plans = &self.deployment.settings.plans;
        let plans: Vec<String> = plans.iter().map(|plan| plan.name.clone()).collect();
        for Entry {
            key: name,
            place,
            value: node,
        } in members(node, file, "partners", faults)
        {
            let mut map = Reader::new(file, &format!("partners.{name}"), node, faults);
            let plan = map.need("plan", faults, |node| index_of(node, &plans, "plan"));
            let limiters = map.take("through", faults, |node| self.limiters(node));
            map.end(faults);
            let limiter_count = self.processes.limiters.len();
            let limiters = limiters.unwrap_or_else(|| self.processes.limiter_indices().collect());
            if !are_consecutive(&limiters, limiter_count) {
                let problem =
                    "limiters are not consecutive; a partner's set is a run of them that may wrap from the last to the first";
                faults.add(file, *place, format!("partners.{name}.through"), problem);
                continue;
            }
            let partner = Partner {
                plan: PlanIndex::from_usize(plan.unwrap_or(0)),
                limiter_set: LimiterSet {
                    count: limiters.len() as u32,
                    first: limiters[0],
                },
                limiters,
            };
            self.set_partner(name, partner);
        }
    }

    fn set_partner(&mut self, name: &str, partner: Partner) {
        let names = &mut self.processes.partners;
        if let Some(index) = names.iter().position(|known| known == name) {
            self.partners[index] = partner;
        } else {
            names.push(name.to_owned());
            self.partners.push(partner);
        }
    }

    /// Reads the counter, the choices that are left to the search, and the clients' retry policy.
    pub(super) fn read_given(
        &mut self,
        given: &mut Reader<'_>,
        scenario: &mut Scenario,
        faults: &mut Faults,
    ) {
        let file = given.file();
        if let Some(node) = given.node("counter") {
            read_counter(&mut scenario.counter, node, file, faults);
        }
        if let Some(delays) = given.take("discovery", faults, |node| self.times(node)) {
            scenario.discovery_delays = delays;
        }
        let outcomes = given.take("attempts", faults, |node| {
            keywords(node, &ATTEMPT_OUTCOMES, aliases::ATTEMPT_OUTCOMES)
        });
        if let Some(outcomes) = outcomes {
            scenario.attempt_outcomes = outcomes;
        }
        if let Some(seeds) = given.take("seeds", faults, |node| quantity::count(node, 1..=10_000)) {
            scenario.seeds = (1..=seeds).collect();
        }
        if let Some(offsets) = given.take("phase", faults, |node| self.times(node)) {
            scenario.start_offsets = offsets;
        }
        if let Some(deviation) = given.take("spread", faults, quantity::share) {
            scenario.log_deviation = deviation;
        }
        if let Some(duration) = given.take("end", faults, |node| self.time(node)) {
            scenario.max_duration = duration;
        }
        if let Some(node) = given.node("retry") {
            let mut map =
                Reader::new(file, "given.retry", node, faults).with_aliases(aliases::RETRY_KEYS);
            let delay = map.take("after", faults, |node| self.time(node));
            let next_limiter = map.take("next_limiter", faults, flag);
            map.end(faults);
            scenario.retry = Some(RetryPolicy {
                delay: delay.unwrap_or(DEFAULT_RETRY_DELAY),
                next_limiter: next_limiter.unwrap_or(true),
            });
        }
    }
}

/// Whether `limiters` is not empty and holds consecutive indices, modulo the number of all limiters.
fn are_consecutive(limiters: &[LimiterIndex], limiter_count: usize) -> bool {
    let follows = |pair: &[LimiterIndex]| {
        pair[1].as_usize() == (pair[0].as_usize() + 1) % limiter_count.max(1)
    };
    !limiters.is_empty() && limiters.windows(2).all(follows)
}

/// Reads the counter, which is either the keyword of a mode or a map.
fn read_counter(counter: &mut CounterSetup, node: &Node, file: &Arc<str>, faults: &mut Faults) {
    if let Content::Text(_) = node.content {
        match counter_mode(node) {
            Ok(mode) => counter.mode = mode,
            Err(problem) => faults.add(file, node.place, "given.counter", problem),
        }
        return;
    }
    let mut map =
        Reader::new(file, "given.counter", node, faults).with_aliases(aliases::COUNTER_KEYS);
    if let Some(mode) = map.take("mode", faults, counter_mode) {
        counter.mode = mode;
    }
    let outcomes = map.take("calls", faults, |node| {
        keywords(node, &COUNTER_CALL_OUTCOMES, aliases::COUNTER_CALL_OUTCOMES)
    });
    if let Some(outcomes) = outcomes {
        counter.call_outcomes = outcomes;
    }
    if let Some(duration) = map.take("call_duration", faults, quantity::duration) {
        counter.call_duration = duration;
    }
    if let Some(shards) = map.take("shards", faults, |node| quantity::count(node, 1..=64)) {
        counter.shards = shards as u32;
    }
    map.end(faults);
}

/// Reads the mode of the counter: `normal`, `silent`, `rejecting`, or `slow` with a factor, such as `slow 5`.
pub(super) fn counter_mode(node: &Node) -> Result<CounterMode, ValueError> {
    let keyword = text(node)?;
    let Some(factor) = keyword.strip_prefix("slow ") else {
        return Ok(one_of_renamed(
            &keyword,
            &COUNTER_MODES,
            aliases::COUNTER_MODES,
        )?);
    };
    match factor.trim().parse::<f64>() {
        Ok(factor) if (1.0..=MAX_SLOW_FACTOR).contains(&factor) => Ok(CounterMode::Slow(factor)),
        _ => Err(ValueError::InvalidFactor {
            factor: factor.to_owned(),
            max: MAX_SLOW_FACTOR,
        }),
    }
}
