//! What an expectation gives: partners, the counter, and what is left open to the search.

use crate::compile::{Ground, Partner};
use crate::installation::{members, place_of, process};
use quartzcleat_config::reader::{flag, list, one_of, text};
use quartzcleat_config::tree::{Content, Node};
use quartzcleat_config::{figure, quantity, Faults, Reader};
use quartzcleat_decision::api::Nanos;
use quartzcleat_simulation::scenario::{
    AttemptOutcome, CounterCallOutcome, CounterMode, CounterSetup, LimiterSet, RetryPolicy,
    Scenario,
};
use std::sync::Arc;

const FATES: [(&str, AttemptOutcome); 9] = [
    ("normal", AttemptOutcome::Normal),
    ("error", AttemptOutcome::Error),
    ("busy", AttemptOutcome::Rejected),
    ("refused", AttemptOutcome::ConnectionRefused),
    ("reset after it ran", AttemptOutcome::ResetAfterExecution),
    ("reset before it ran", AttemptOutcome::ResetBeforeExecution),
    ("silent after it ran", AttemptOutcome::AnswerLost),
    ("silent", AttemptOutcome::RequestLost),
    ("late", AttemptOutcome::Late),
];

const CALL_FATES: [(&str, CounterCallOutcome); 4] = [
    ("normal", CounterCallOutcome::Normal),
    ("lost", CounterCallOutcome::RequestLost),
    ("answer lost", CounterCallOutcome::AnswerLost),
    ("refused", CounterCallOutcome::Rejected),
];

impl Ground<'_> {
    pub(crate) fn take_partners(
        &mut self,
        node: Option<&Node>,
        file: &Arc<str>,
        faults: &mut Faults,
    ) {
        let Some(node) = node else { return };
        let plans: Vec<String> = self
            .day
            .settings
            .plans
            .iter()
            .map(|plan| plan.name.clone())
            .collect();
        for (name, place, node) in members(node, file, "partners", faults) {
            let mut one = Reader::new(file, &format!("partners.{name}"), node, faults);
            let plan = one.need("plan", faults, |node| {
                place_of(&text(node)?, &plans, "plan")
            });
            let processes = self.processes.limiters.clone();
            let through = one.take("through", faults, |node| {
                let find = |node: &Node| process(&processes, &text(node)?, "limiter");
                list(node).iter().map(find).collect::<Result<Vec<_>, _>>()
            });
            one.end(faults);
            let through = through.unwrap_or_else(|| (0..processes.len()).collect());
            let in_turn = |pair: &[usize]| pair[1] == (pair[0] + 1) % processes.len().max(1);
            if through.is_empty() || !through.windows(2).all(in_turn) {
                let problem =
                    "limiters that do not follow one another; a partner's set goes round from its first";
                faults.add(file, *place, format!("partners.{name}.through"), problem);
                continue;
            }
            let partner = Partner {
                plan: plan.unwrap_or(0) as u32,
                spread: LimiterSet {
                    count: through.len() as u32,
                    first: through[0] as u32,
                },
                through,
            };
            match self
                .processes
                .partners
                .iter()
                .position(|known| known == name)
            {
                Some(index) => self.partners[index] = partner,
                None => {
                    self.processes.partners.push(name.clone());
                    self.partners.push(partner);
                }
            }
        }
    }

    pub(crate) fn time(&mut self, node: &Node) -> Result<Nanos, String> {
        let (value, names) = figure::time(node, &|name| self.day.look(name))?;
        self.names.extend(names);
        Ok(value)
    }

    pub(crate) fn times(&mut self, node: &Node) -> Result<Vec<Nanos>, String> {
        let times: Vec<_> = list(node)
            .iter()
            .map(|node| self.time(node))
            .collect::<Result<_, _>>()?;
        if times.is_empty() {
            return Err("no time; write one, or a list".to_owned());
        }
        Ok(times)
    }

    pub(crate) fn number(&mut self, node: &Node) -> Result<f64, String> {
        let (value, names) = figure::number(node, &|name| self.day.look(name))?;
        self.names.extend(names);
        Ok(value)
    }

    pub(crate) fn take_given(
        &mut self,
        given: &mut Reader<'_>,
        scenario: &mut Scenario,
        faults: &mut Faults,
    ) {
        let file = given.file().clone();
        if let Some(node) = given.node("counter") {
            self.counter(&file, node, &mut scenario.counter, faults);
        }
        if let Some(discovery_delays) = given.take("discovery", faults, |node| self.times(node)) {
            scenario.discovery_delays = discovery_delays;
        }
        if let Some(attempt_outcomes) = given.take("attempts", faults, |node| words(node, &FATES)) {
            scenario.attempt_outcomes = attempt_outcomes;
        }
        if let Some(seeds) = given.take("seeds", faults, |node| quantity::count(node, 1..=10_000)) {
            scenario.seeds = (1..=seeds).collect();
        }
        if let Some(start_offsets) = given.take("phase", faults, |node| self.times(node)) {
            scenario.start_offsets = start_offsets;
        }
        if let Some(spread) = given.take("spread", faults, quantity::share) {
            scenario.log_deviation = spread;
        }
        if let Some(end) = given.take("end", faults, |node| self.time(node)) {
            scenario.max_duration = end;
        }
        if let Some(node) = given.node("retry") {
            let mut map = Reader::new(&file, "given.retry", node, faults);
            let after = map.take("after", faults, |node| self.time(node));
            let elsewhere = map.take("elsewhere", faults, flag);
            map.end(faults);
            let (after, elsewhere) = (after.unwrap_or(200_000_000), elsewhere.unwrap_or(true));
            scenario.retry = Some(RetryPolicy {
                delay: after,
                next_limiter: elsewhere,
            });
        }
    }

    fn counter(
        &mut self,
        file: &Arc<str>,
        node: &Node,
        setup: &mut CounterSetup,
        faults: &mut Faults,
    ) {
        if let Content::Text(_) = node.content {
            match mode(node) {
                Ok(mode) => setup.mode = mode,
                Err(problem) => faults.add(file, node.place, "given.counter", problem),
            }
            return;
        }
        let mut map = Reader::new(file, "given.counter", node, faults);
        if let Some(mode) = map.take("is", faults, mode) {
            setup.mode = mode;
        }
        if let Some(attempt_outcomes) = map.take("calls", faults, |node| words(node, &CALL_FATES)) {
            setup.call_outcomes = attempt_outcomes;
        }
        if let Some(service) = map.take("call", faults, quantity::time) {
            setup.call_duration = service;
        }
        if let Some(parts) = map.take("parts", faults, |node| quantity::count(node, 1..=64)) {
            setup.shards = parts as u32;
        }
        map.end(faults);
    }
}

pub(crate) fn words<T: Copy>(node: &Node, known: &[(&str, T)]) -> Result<Vec<T>, String> {
    let words: Vec<T> = list(node)
        .iter()
        .map(|node| one_of(&text(node)?, known))
        .collect::<Result<_, _>>()?;
    if words.is_empty() {
        return Err("none; write one, or a list".to_owned());
    }
    Ok(words)
}

/// A counter's mode: `normal`, `silent`, `refusing`, `slow 5`.
pub(crate) fn mode(node: &Node) -> Result<CounterMode, String> {
    let word = text(node)?;
    if let Some(factor) = word.strip_prefix("slow ") {
        return match factor.trim().parse::<f64>() {
            Ok(factor) if (1.0..=1e6).contains(&factor) => Ok(CounterMode::Slow(factor)),
            _ => Err(format!("{factor:?} is not a multiple from 1 up")),
        };
    }
    one_of(
        &word,
        &[
            ("normal", CounterMode::Normal),
            ("silent", CounterMode::Silent),
            ("refusing", CounterMode::Refusing),
            ("slow 5", CounterMode::Slow(5.0)),
        ],
    )
}
