//! The requests of a step.

use super::{Compiler, MAX_REQUESTS};
use crate::error::ValueError;
use crate::requirement::RequestKind;
use quartzcleat_config::reader::text;
use quartzcleat_config::tree::Node;
use quartzcleat_config::{Faults, Reader};
use quartzcleat_decision::api::{ClassIndex, LimiterIndex, Nanos};
use quartzcleat_invariants::PartnerIndex;
use quartzcleat_simulation::scenario::ClientRequest;

/// A request and its delay after the moment of its step.
pub(super) struct DelayedRequest {
    pub(super) delay: Nanos,
    pub(super) request: ClientRequest,
}

/// The requests of a step as they are written. Lists are cycled through, one entry for each request.
struct RequestTemplate {
    kind: RequestKind,
    /// The class of first requests, or the mark of the operation that is retried.
    name: Option<String>,
    class: ClassIndex,
    /// The partners, cycled through; not empty.
    partners: Vec<PartnerIndex>,
    /// The limiters, cycled through and not empty; `None` for those of the partner.
    limiters: Option<Vec<LimiterIndex>>,
    /// The units, cycled through; `None` for 1.
    units: Option<Vec<f64>>,
    /// The true units; 0 if the stated ones are exact.
    true_units: f64,
    count: usize,
    /// The interval between requests; 0 sends all of them at once.
    interval: Nanos,
    /// How long the client waits, at most until the deadline of the class; `None` for that deadline.
    timeout: Option<Nanos>,
    /// The name by which retries and requirements refer to the operation; `None` if nothing refers to it.
    mark: Option<String>,
}

impl Compiler<'_> {
    /// Reads the requests of a step. Returns none, with faults, if one of them is invalid.
    pub(super) fn read_requests(
        &mut self,
        map: &mut Reader<'_>,
        kind: RequestKind,
        faults: &mut Faults,
    ) -> Vec<DelayedRequest> {
        let Some(template) = self.read_template(map, kind, faults) else {
            return Vec::new();
        };
        let mut requests = Vec::with_capacity(template.count);
        for index in 0..template.count {
            let Some(request) = self.build_request(&template, index, map, faults) else {
                return Vec::new();
            };
            requests.push(DelayedRequest {
                delay: template.interval * index as u64,
                request,
            });
        }
        requests
    }

    fn read_template(
        &mut self,
        map: &mut Reader<'_>,
        kind: RequestKind,
        faults: &mut Faults,
    ) -> Option<RequestTemplate> {
        let name = match kind {
            RequestKind::First => map.take("request", faults, text),
            RequestKind::Retry => map.take("retry", faults, text),
        };
        let class = match kind {
            RequestKind::First => map.take("request", faults, |node| self.class(node)),
            RequestKind::Retry => map.need("class", faults, |node| self.class(node)),
        };
        let partners: Option<Vec<PartnerIndex>> =
            map.need("from", faults, |node| self.partners(node));
        let limiters = map.take("through", faults, |node| self.limiters(node));
        let units = map.take("units", faults, |node| self.read_units(node));
        let true_units = map.take("true_units", faults, |node| self.number(node));
        if true_units.is_some() && !self.deployment.settings.units.are_estimates {
            let problem = "units are not estimates in these settings (familyInfo.costAfter)";
            map.fault("true_units", problem, faults);
        }
        let count = map.take("count", faults, |node| self.read_request_count(node));
        let interval = map.take("every", faults, |node| self.time(node));
        let timeout = map.take("timeout", faults, |node| self.time(node));
        let mark = map.take("mark", faults, text);
        let count = count.unwrap_or(1);
        if mark.is_some() && count > 1 {
            map.fault(
                "mark",
                "a mark names a single request, but count is above 1",
                faults,
            );
        }
        Some(RequestTemplate {
            kind,
            name,
            class: class?,
            partners: partners.filter(|partners| !partners.is_empty())?,
            limiters: limiters.filter(|limiters| !limiters.is_empty()),
            units,
            true_units: true_units.unwrap_or(0.0),
            count,
            interval: interval.unwrap_or(0),
            timeout,
            mark,
        })
    }

    /// Reads the units of requests: one number or a list, each above 0 and at most the largest request of the settings,
    /// which is unlimited if it is 0.
    fn read_units(&mut self, node: &Node) -> Result<Vec<f64>, ValueError> {
        let largest = self.deployment.settings.units.largest_request;
        let max = if largest > 0.0 { largest } else { f64::MAX };
        let units = self.numbers(node)?;
        let is_invalid = |units: &&f64| !(**units > 0.0 && **units <= max);
        match units.iter().find(is_invalid) {
            Some(&units) => Err(ValueError::UnitsOutOfRange { units, max }),
            None => Ok(units),
        }
    }

    /// Reads the number of requests, rounded up to a whole number.
    fn read_request_count(&mut self, node: &Node) -> Result<usize, ValueError> {
        let count = self.number(node)?.ceil();
        let max = MAX_REQUESTS;
        if (1.0..=max as f64).contains(&count) {
            Ok(count as usize)
        } else {
            Err(ValueError::CountOutOfRange { count, max })
        }
    }

    /// Builds the request of a step at `index`, counted from 0. Returns `None`, with a fault, if it is invalid.
    fn build_request(
        &mut self,
        template: &RequestTemplate,
        index: usize,
        map: &Reader<'_>,
        faults: &mut Faults,
    ) -> Option<ClientRequest> {
        let partner_index = cyclic(&template.partners, index);
        let partner = &self.partners[partner_index.0];
        let limiters = template.limiters.as_ref().unwrap_or(&partner.limiters);
        let limiter = cyclic(limiters, index);
        if !partner.limiters.contains(&limiter) {
            let limiter = self.processes.limiter(limiter);
            let partner = &self.processes.partners[partner_index.0];
            map.fault(
                "through",
                format!("{limiter} is not in the limiter set of {partner}"),
                faults,
            );
            return None;
        }
        let plan = partner.plan;
        let limiter_set = partner.limiter_set;
        let operation = self.operation_of(template, map, faults)?;
        let deadline = self.deployment.settings.classes[template.class.as_usize()].deadline;
        Some(ClientRequest {
            operation,
            class: template.class,
            partner: partner_index,
            plan,
            units: template
                .units
                .as_ref()
                .map_or(1.0, |units| cyclic(units, index)),
            true_units: template.true_units,
            limiter,
            limiter_set,
            timeout: template.timeout.unwrap_or(deadline).min(deadline),
            retry: template.kind == RequestKind::Retry,
        })
    }

    /// Returns the operation of a request: the one that a retry names, that of its mark, or a new one.
    fn operation_of(
        &mut self,
        template: &RequestTemplate,
        map: &Reader<'_>,
        faults: &mut Faults,
    ) -> Option<u64> {
        match (template.kind, &template.name, &template.mark) {
            (RequestKind::Retry, Some(name), _) => {
                let operation = self.operations.get(name).copied();
                if operation.is_none() {
                    let problem = format!("no earlier request is marked {name:?}");
                    map.fault("retry", problem, faults);
                }
                operation
            }
            (RequestKind::First, _, Some(mark)) => Some(self.operation_for_mark(mark)),
            _ => {
                let generated_mark = format!("#{}", self.operations.len());
                Some(self.operation_for_mark(&generated_mark))
            }
        }
    }

    /// Returns the operation of a mark; assigns the next number if the mark is new.
    fn operation_for_mark(&mut self, mark: &str) -> u64 {
        let next = self.operations.len() as u64 + 1;
        *self.operations.entry(mark.to_owned()).or_insert(next)
    }
}

/// Returns the value at `index`, cycling through `values`, which must not be empty.
fn cyclic<T: Copy>(values: &[T], index: usize) -> T {
    values[index % values.len()]
}
