//! What happens: steps, and the requests that they stand for.

use crate::compile::{Ground, MOST_REQUESTS};
use crate::given::mode;
use crate::installation::{place_of, process};
use quartzcleat_config::reader::{list, text};
use quartzcleat_config::tree::Node;
use quartzcleat_config::{quantity, Faults, Reader};
use quartzcleat_decision::api::Nanos;
use quartzcleat_simulation::scenario::{ClientRequest, ScenarioEvent, Step};
use std::sync::Arc;

impl Ground<'_> {
    fn mark(&mut self, name: &str) -> u64 {
        let next = self.marks.len() as u64 + 1;
        *self.marks.entry(name.to_owned()).or_insert(next)
    }

    pub(crate) fn step(
        &mut self,
        file: &Arc<str>,
        index: usize,
        node: &Node,
        steps: &mut Vec<Step>,
        faults: &mut Faults,
    ) {
        let path = format!("when.{index}");
        let mut map = Reader::new(file, &path, node, faults);
        let at = map
            .take("at", faults, |node| self.times(node))
            .unwrap_or_else(|| vec![0]);
        let free = map.take("order", faults, |node| match text(node)?.as_str() {
            "free" => Ok(0),
            _ => quantity::count(node, 1..=100).map(|n| n as u32),
        });
        let mut push = |at: Vec<Nanos>, what: ScenarioEvent| {
            steps.push(Step {
                moments: at,
                event: what,
                reorder_group: free,
            })
        };
        let host =
            |ground: &Self, node: &Node| process(&ground.processes.hosts, &text(node)?, "node");
        let limiter = |ground: &Self, node: &Node| {
            process(&ground.processes.limiters, &text(node)?, "limiter")
        };
        let kinds = [
            "request",
            "retry",
            "drain",
            "die",
            "vanish",
            "start",
            "replace",
            "slow",
            "counter",
            "discovery",
            "stop",
            "restart",
        ];
        let found: Vec<&str> = kinds
            .into_iter()
            .filter(|kind| node.get(kind).is_some())
            .collect();
        let [kind] = found.as_slice() else {
            let problem = if found.is_empty() {
                format!("nothing happens here; one of {}", kinds.join(", "))
            } else {
                format!("{} at once; write a step for each", found.join(" and "))
            };
            faults.add(file, node.place, path, problem);
            return;
        };
        match *kind {
            "request" | "retry" => {
                let asks = self.asks(&mut map, *kind == "retry", faults);
                for (offset, ask) in asks {
                    push(
                        at.iter().map(|at| at + offset).collect(),
                        ScenarioEvent::Request(ask),
                    );
                }
            }
            "drain" => {
                if let Some(node) = map.take("drain", faults, |node| host(self, node)) {
                    push(at, ScenarioEvent::DrainHost(node));
                }
            }
            "die" => {
                if let Some(node) = map.take("die", faults, |node| host(self, node)) {
                    push(at, ScenarioEvent::KillHost(node));
                }
            }
            "vanish" => {
                if let Some(node) = map.take("vanish", faults, |node| host(self, node)) {
                    push(at, ScenarioEvent::IsolateHost(node));
                }
            }
            "start" => {
                if let Some(node) = map.take("start", faults, |node| host(self, node)) {
                    push(at, ScenarioEvent::StartHost(node));
                }
            }
            "replace" => {
                let old = map.take("replace", faults, |node| host(self, node));
                let new = map.need("by", faults, |node| host(self, node));
                if let (Some(old), Some(new)) = (old, new) {
                    if self.nodes[new].absent && old != new {
                        push(at, ScenarioEvent::ReplaceHost { old, new });
                    } else {
                        map.fault("by", "is there already; give it absent: true", faults);
                    }
                }
            }
            "slow" => {
                let node = map.take("slow", faults, |node| host(self, node));
                let to = map.need("to", faults, quantity::number);
                if let (Some(node), Some(to)) = (node, to) {
                    push(
                        at,
                        ScenarioEvent::SetHostSpeed {
                            host: node,
                            speed: to,
                        },
                    );
                }
            }
            "counter" => {
                let what = map.take("counter", faults, |node| match text(node)?.as_str() {
                    "empty" => Ok(ScenarioEvent::ClearCounter),
                    _ => mode(node).map(ScenarioEvent::SetCounterMode),
                });
                if let Some(what) = what {
                    push(at, what);
                }
            }
            "discovery" => {
                let words = [("silent", false), ("tells", true)];
                if let Some(on) = map.word("discovery", &words, faults) {
                    push(at, ScenarioEvent::SetDiscovery(on));
                }
            }
            "stop" => {
                if let Some(number) = map.take("stop", faults, |node| limiter(self, node)) {
                    push(at, ScenarioEvent::KillLimiter(number));
                }
            }
            _ => {
                if let Some(number) = map.take("restart", faults, |node| limiter(self, node)) {
                    push(at, ScenarioEvent::StartLimiter(number));
                }
            }
        }
        map.end(faults);
    }

    /// The requests of one step, with how long after it each comes.
    fn asks(
        &mut self,
        map: &mut Reader<'_>,
        retry: bool,
        faults: &mut Faults,
    ) -> Vec<(Nanos, ClientRequest)> {
        let key = if retry { "retry" } else { "request" };
        let name = map.take(key, faults, text);
        let classes = self.processes.classes.clone();
        let class = if retry {
            map.need("class", faults, |node| {
                place_of(&text(node)?, &classes, "class")
            })
        } else {
            map.take("request", faults, |node| {
                place_of(&text(node)?, &classes, "class")
            })
        };
        let partners = self.processes.partners.clone();
        let from = map.need("from", faults, |node| {
            list(node)
                .iter()
                .map(|node| place_of(&text(node)?, &partners, "partner"))
                .collect::<Result<Vec<_>, _>>()
        });
        let limiters = self.processes.limiters.clone();
        let through = map.take("through", faults, |node| {
            list(node)
                .iter()
                .map(|node| process(&limiters, &text(node)?, "limiter"))
                .collect::<Result<Vec<_>, _>>()
        });
        let top = if self.day.settings.largest_request > 0.0 {
            self.day.settings.largest_request
        } else {
            f64::MAX
        };
        let units = map.take("units", faults, |node| {
            let units: Vec<f64> = list(node)
                .iter()
                .map(|node| self.number(node))
                .collect::<Result<_, _>>()?;
            match units
                .iter()
                .find(|units| !(**units > 0.0 && **units <= top))
            {
                Some(wrong) => Err(format!(
                    "{wrong} is not above 0 and up to {top} (familyInfo.unitsTop)"
                )),
                None => Ok(units),
            }
        });
        let cost = map.take("cost", faults, |node| self.number(node));
        if cost.is_some() && !self.day.settings.settled_later {
            map.fault(
                "cost",
                "units are no guess on this day (familyInfo.costAfter)",
                faults,
            );
        }
        let count = map.take("count", faults, |node| {
            let count = self.number(node)?.ceil();
            if (1.0..=MOST_REQUESTS as f64).contains(&count) {
                Ok(count as usize)
            } else {
                Err(format!("{count} is not from 1 to {MOST_REQUESTS}"))
            }
        });
        let every = map
            .take("every", faults, |node| self.time(node))
            .unwrap_or(0);
        let wait = map.take("wait", faults, |node| self.time(node));
        let mark = map.take("mark", faults, text);
        let count = count.unwrap_or(1);
        if mark.is_some() && count > 1 {
            map.fault("mark", "names one request, and there are several", faults);
        }
        let (Some(class), Some(from)) = (class, from.filter(|from| !from.is_empty())) else {
            return Vec::new();
        };
        let mut asks = Vec::with_capacity(count);
        for number in 0..count {
            let partner = from[number % from.len()];
            let of = &self.partners[partner];
            let (plan, spread) = (of.plan, of.spread);
            let set = of.through.clone();
            let through = match through.as_deref() {
                Some(through) if !through.is_empty() => through[number % through.len()],
                _ => set[number % set.len()],
            };
            if !set.contains(&through) {
                let problem = format!(
                    "{} is not of {}'s set",
                    self.processes.limiter(through),
                    self.processes.partners[partner]
                );
                map.fault("through", problem, faults);
                return Vec::new();
            }
            let mark = match (retry, &name, &mark) {
                (true, Some(name), _) => match self.marks.get(name) {
                    Some(mark) => *mark,
                    None => {
                        map.fault(
                            "retry",
                            format!("no request before it is marked {name:?}"),
                            faults,
                        );
                        return Vec::new();
                    }
                },
                (false, _, Some(mark)) => self.mark(mark),
                _ => {
                    let next = self.marks.len();
                    self.mark(&format!("#{next}"))
                }
            };
            let deadline = self.day.settings.classes[class].deadline;
            let wait = wait.unwrap_or(deadline).min(deadline);
            let units = units
                .as_deref()
                .map_or(1.0, |units| units[number % units.len()]);
            asks.push((
                every * number as u64,
                ClientRequest {
                    operation: mark,
                    class,
                    partner,
                    plan,
                    units,
                    true_units: cost.unwrap_or(0.0),
                    limiter: through,
                    limiter_set: spread,
                    timeout: wait,
                    retry,
                },
            ));
        }
        asks
    }
}
