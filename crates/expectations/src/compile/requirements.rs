//! The requirements of an expectation: the requests that they apply to and their conditions, with formulas evaluated.

use super::aliases;
use super::reading::{index_of_name, process_names, ExclusiveKeys};
use super::Compiler;
use crate::error::ValueError;
use crate::requirement::{
    Bounds, Condition, Metric, RequestEvent, RequestFilter, RequestKind, Requirement,
};
use quartzcleat_config::reader::{one_of_renamed, text};
use quartzcleat_config::tree::{Content, Node};
use quartzcleat_config::{quantity, Faults, Reader};
use quartzcleat_decision::api::{HostState, Nanos};
use quartzcleat_invariants::HostIndex;
use std::sync::Arc;

/// The keys for the condition of a requirement.
const CONDITION_KEYS: ExclusiveKeys = ExclusiveKeys {
    keys: &[
        "never",
        "always",
        "attempts",
        "executions",
        "concurrent_attempts",
        "units",
        "forwarded",
        "served",
        "rejected",
        "failed",
        "cross_zone_attempts",
        "share",
        "answered",
        "retry_after",
    ],
    missing: "the requirement has no condition",
    remedy: "write a requirement for each",
};

/// The unit of bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BoundUnit {
    /// A time, in nanoseconds.
    Time,
    /// A plain number, or a share written as a percentage.
    Number,
}

/// Bounds, and the host whose share they limit; `None` if no host is named.
struct HostBounds {
    bounds: Bounds,
    host: Option<HostIndex>,
}

/// The position of a requirement in its file.
struct Location<'a> {
    file: &'a Arc<str>,
    path: String,
}

impl Compiler<'_> {
    pub(super) fn read_requirement(
        &mut self,
        file: &Arc<str>,
        index: usize,
        node: &Node,
        faults: &mut Faults,
    ) -> Option<Requirement> {
        let location = Location {
            file,
            path: format!("must.{index}"),
        };
        let mut map =
            Reader::new(file, &location.path, node, faults).with_aliases(aliases::REQUIREMENT_KEYS);
        let filter = self.read_filter(&mut map, faults);
        let kind = match CONDITION_KEYS.find_in(&map) {
            Ok(kind) => kind,
            Err(problem) => {
                faults.add(file, node.place, location.path, problem);
                return None;
            }
        };
        let grace = map.take("within", faults, |node| self.time(node));
        let condition = self.read_condition(kind, &mut map, grace.unwrap_or(0), &location, faults);
        map.end(faults);
        Some(Requirement {
            filter,
            condition: condition?,
            line: node.place.line,
        })
    }

    fn read_filter(&mut self, map: &mut Reader<'_>, faults: &mut Faults) -> RequestFilter {
        let kinds = [
            ("first", RequestKind::First),
            ("retries", RequestKind::Retry),
        ];
        RequestFilter {
            class: map.take("class", faults, |node| self.class(node)),
            partners: map.take("from", faults, |node| self.partners(node)),
            limiter: map.take("through", faults, |node| self.limiter(node)),
            operation: map.take("mark", faults, |node| self.operation(node)),
            after: map
                .take("after", faults, |node| self.time(node))
                .unwrap_or(0),
            until: map.take("until", faults, |node| self.time(node)),
            kind: map.take("requests", faults, |node| {
                one_of_renamed(&text(node)?, &kinds, aliases::REQUEST_KINDS)
            }),
        }
    }

    /// Reads a mark and returns the operation of the request that carries it.
    fn operation(&self, node: &Node) -> Result<u64, ValueError> {
        let name = text(node)?;
        let operation = self.operations.get(&name).copied();
        operation.ok_or(ValueError::UnknownMark { name })
    }

    fn read_condition(
        &mut self,
        kind: &'static str,
        map: &mut Reader<'_>,
        grace: Nanos,
        location: &Location<'_>,
        faults: &mut Faults,
    ) -> Option<Condition> {
        match kind {
            "never" => map
                .take("never", faults, |node| self.request_event(node, grace))
                .map(Condition::Never),
            "always" => map
                .take("always", faults, |node| {
                    match self.request_event(node, grace)? {
                        RequestEvent::ReachesUnavailableHost { .. }
                        | RequestEvent::ReachesHostTwice => Err(ValueError::NotForEveryRequest),
                        event => Ok(event),
                    }
                })
                .map(Condition::Always),
            "answered" => map
                .take("answered", faults, |node| self.time(node))
                .map(Condition::AnsweredWithin),
            "retry_after" => {
                let node = map.node("retry_after")?;
                let key = map.path("retry_after");
                let read = self.read_bounds(location.file, &key, node, BoundUnit::Time, faults);
                Some(Condition::RetryAfter(read.bounds))
            }
            kind => self.read_metric(kind, map, location, faults),
        }
    }

    fn read_metric(
        &mut self,
        kind: &'static str,
        map: &mut Reader<'_>,
        location: &Location<'_>,
        faults: &mut Faults,
    ) -> Option<Condition> {
        let node = map.node(kind)?;
        let key = map.path(kind);
        let HostBounds { bounds, host } =
            self.read_bounds(location.file, &key, node, BoundUnit::Number, faults);
        let metric = match kind {
            "attempts" => Metric::Attempts,
            "executions" => Metric::Executions,
            "concurrent_attempts" => Metric::AttemptsInFlight,
            "units" => Metric::ForwardedUnits,
            "forwarded" => Metric::Forwarded,
            "served" => Metric::Served,
            "rejected" => Metric::Rejected,
            "failed" => Metric::Failed,
            "cross_zone_attempts" => Metric::CrossZoneAttempts,
            _ => {
                let Some(host) = host else {
                    let problem = "missing; name a node";
                    faults.add(location.file, node.place, format!("{key}.of"), problem);
                    return None;
                };
                Metric::HostShare(host)
            }
        };
        Some(Condition::Metric { metric, bounds })
    }

    /// Reads the event of `never` or `always`. `grace` applies to attempts to a draining or lost host.
    fn request_event(&self, node: &Node, grace: Nanos) -> Result<RequestEvent, ValueError> {
        let keyword = text(node)?;
        if let Some(name) = keyword.strip_prefix("reaches node ") {
            let names = process_names(&self.processes.hosts);
            return index_of_name(name, &names, "node")
                .map(|host| RequestEvent::ReachesHost(HostIndex(host)));
        }
        let unavailable = |state| RequestEvent::ReachesUnavailableHost { state, grace };
        let events = [
            ("reaches a draining node", unavailable(HostState::Draining)),
            ("reaches a lost node", unavailable(HostState::Gone)),
            (
                "reaches a node in slow start",
                RequestEvent::ReachesWarmingUpHost,
            ),
            ("leaves its zone", RequestEvent::LeavesZone),
            ("reaches a node twice", RequestEvent::ReachesHostTwice),
            ("is rejected", RequestEvent::Rejected),
            (
                "is rejected without retry_after",
                RequestEvent::RejectedWithoutRetryAfter,
            ),
            ("is served", RequestEvent::Served),
            ("fails", RequestEvent::Failed),
        ];
        Ok(one_of_renamed(&keyword, &events, aliases::REQUEST_EVENTS)?)
    }

    /// Reads bounds, as `{at least: ..., at most: ...}` or as one value, which is the upper bound.
    fn read_bounds(
        &mut self,
        file: &Arc<str>,
        key: &str,
        node: &Node,
        unit: BoundUnit,
        faults: &mut Faults,
    ) -> HostBounds {
        let mut bounds = Bounds::default();
        if !matches!(node.content, Content::Map(_)) {
            match self.read_bound(node, unit, &mut bounds.is_share) {
                Ok(at_most) => bounds.at_most = Some(at_most),
                Err(problem) => faults.add(file, node.place, key, problem),
            }
            return HostBounds { bounds, host: None };
        }
        let mut map = Reader::new(file, key, node, faults);
        let is_share = &mut bounds.is_share;
        let at_least = map.take("at least", faults, |node| {
            self.read_bound(node, unit, is_share)
        });
        let at_most = map.take("at most", faults, |node| {
            self.read_bound(node, unit, is_share)
        });
        let host = map.take("of", faults, |node| self.host(node));
        if at_least.is_none() && at_most.is_none() {
            map.fault(
                "at most",
                "missing; write at least, at most or both",
                faults,
            );
        }
        let is_empty = |(at_least, at_most)| at_least > at_most;
        if at_least.zip(at_most).is_some_and(is_empty) {
            let problem = "greater than at most; no value can satisfy both";
            map.fault("at least", problem, faults);
        }
        map.end(faults);
        bounds.at_least = at_least;
        bounds.at_most = at_most;
        HostBounds { bounds, host }
    }

    /// Reads one bound. A percentage sets `is_share`.
    fn read_bound(
        &mut self,
        node: &Node,
        unit: BoundUnit,
        is_share: &mut bool,
    ) -> Result<f64, ValueError> {
        if unit == BoundUnit::Time {
            return self.time(node).map(|nanos| nanos as f64);
        }
        if node.text().is_some_and(|text| text.ends_with('%')) {
            *is_share = true;
            return Ok(quantity::share(node)?);
        }
        self.number(node)
    }
}
