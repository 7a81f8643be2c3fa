//! The steps of an expectation: events and the moments at which they happen.

use super::aliases;
use super::given::counter_mode;
use super::reading::ExclusiveKeys;
use super::Compiler;
use crate::requirement::RequestKind;
use quartzcleat_config::reader::{one_of_renamed, text};
use quartzcleat_config::tree::Node;
use quartzcleat_config::{quantity, Faults, Reader};
use quartzcleat_invariants::HostIndex;
use quartzcleat_simulation::scenario::{ScenarioEvent, Step};
use std::sync::Arc;

/// The keys for the event of a step.
const EVENT_KEYS: ExclusiveKeys = ExclusiveKeys {
    keys: &[
        "request",
        "retry",
        "drain",
        "crash",
        "isolate",
        "start",
        "replace",
        "slow",
        "counter",
        "discovery",
        "stop",
        "restart",
    ],
    missing: "the step has no event",
    remedy: "write a step for each",
};

impl Compiler<'_> {
    /// Reads a step and adds it to `steps`; a step with several requests adds one for each of them.
    pub(super) fn read_step(
        &mut self,
        file: &Arc<str>,
        index: usize,
        node: &Node,
        steps: &mut Vec<Step>,
        faults: &mut Faults,
    ) {
        let path = format!("when.{index}");
        let mut map = Reader::new(file, &path, node, faults).with_aliases(aliases::STEP_KEYS);
        let moments = map.take("at", faults, |node| self.times(node));
        let moments = moments.unwrap_or_else(|| vec![0]);
        let reorder_group = map.take("order", faults, |node| match text(node)?.as_str() {
            "free" => Ok(0),
            _ => quantity::count(node, 1..=100).map(|group| group as u32),
        });
        let kind = match EVENT_KEYS.find_in(&map) {
            Ok(kind) => kind,
            Err(problem) => {
                faults.add(file, node.place, path, problem);
                return;
            }
        };
        let request_kind = match kind {
            "request" => Some(RequestKind::First),
            "retry" => Some(RequestKind::Retry),
            _ => None,
        };
        if let Some(request_kind) = request_kind {
            for delayed in self.read_requests(&mut map, request_kind, faults) {
                let delay = delayed.delay;
                steps.push(Step {
                    moments: moments.iter().map(|moment| moment + delay).collect(),
                    event: ScenarioEvent::Request(delayed.request),
                    reorder_group,
                });
            }
        } else if let Some(event) = self.read_event(kind, &mut map, faults) {
            steps.push(Step {
                moments,
                event,
                reorder_group,
            });
        }
        map.end(faults);
    }

    /// Reads an event other than a request: one of a host, a limiter, the counter or discovery.
    fn read_event(
        &self,
        kind: &'static str,
        map: &mut Reader<'_>,
        faults: &mut Faults,
    ) -> Option<ScenarioEvent> {
        let host_event: fn(HostIndex) -> ScenarioEvent = match kind {
            "drain" => ScenarioEvent::DrainHost,
            "crash" => ScenarioEvent::KillHost,
            "isolate" => ScenarioEvent::IsolateHost,
            "start" => ScenarioEvent::StartHost,
            "replace" => return self.read_replacement(map, faults),
            "slow" => {
                let host = map.take("slow", faults, |node| self.host(node));
                let speed = map.need("to", faults, quantity::number);
                return Some(ScenarioEvent::SetHostSpeed {
                    host: host?,
                    speed: speed?,
                });
            }
            "counter" => {
                return map.take("counter", faults, |node| match text(node)?.as_str() {
                    "empty" => Ok(ScenarioEvent::ClearCounter),
                    _ => counter_mode(node).map(ScenarioEvent::SetCounterMode),
                });
            }
            "discovery" => {
                let keywords = [("silent", false), ("notifying", true)];
                let is_notifying = map.take("discovery", faults, |node| {
                    one_of_renamed(&text(node)?, &keywords, aliases::DISCOVERY_MODES)
                });
                return is_notifying.map(ScenarioEvent::SetDiscovery);
            }
            "stop" => {
                let limiter = map.take("stop", faults, |node| self.limiter(node));
                return limiter.map(ScenarioEvent::KillLimiter);
            }
            _ => {
                let limiter = map.take("restart", faults, |node| self.limiter(node));
                return limiter.map(ScenarioEvent::StartLimiter);
            }
        };
        map.take(kind, faults, |node| self.host(node))
            .map(host_event)
    }

    fn read_replacement(&self, map: &mut Reader<'_>, faults: &mut Faults) -> Option<ScenarioEvent> {
        let old = map.take("replace", faults, |node| self.host(node));
        let new = map.need("by", faults, |node| self.host(node));
        let (old, new) = (old?, new?);
        if !self.hosts[new.0].absent || old == new {
            map.fault(
                "by",
                "must be another node that is not running yet; declare it with absent: true",
                faults,
            );
            return None;
        }
        Some(ScenarioEvent::ReplaceHost { old, new })
    }
}
