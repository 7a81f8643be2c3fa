//! An expectation with something varied, to see whether its verdict depends on it.

use crate::compile::Compiled;
use quartzcleat_simulation::scenario::{ClientRequest, ScenarioEvent, Step};

/// Something about an expectation that is varied, to see whether its verdict depends on it.
#[derive(Clone, Debug, PartialEq)]
pub enum Vary {
    /// Without this step.
    Without(usize),
    /// With so many times the requests.
    Requests(f64),
}

/// The same expectation with something varied.
pub fn varied(compiled: &Compiled, vary: &Vary) -> Compiled {
    let mut compiled = compiled.clone();
    match vary {
        Vary::Without(index) => drop(compiled.scenario.steps.remove(*index)),
        Vary::Requests(factor) if *factor >= 1.0 => {
            // Each request is followed by further ones of other errands, a little later.
            let asks: Vec<Step> = compiled.scenario.steps.clone();
            let mut mark = 1_000_000;
            for step in asks {
                let ScenarioEvent::Request(ask) = &step.event else {
                    continue;
                };
                for number in 1..*factor as u64 {
                    mark += 1;
                    let ask = ClientRequest {
                        operation: mark,
                        ..ask.clone()
                    };
                    let at = step
                        .moments
                        .iter()
                        .map(|at| at + number * 1_000_000)
                        .collect();
                    compiled.scenario.steps.push(Step {
                        moments: at,
                        event: ScenarioEvent::Request(ask),
                        reorder_group: None,
                    });
                }
            }
            compiled
                .scenario
                .steps
                .sort_by_key(|step| step.moments.first().copied().unwrap_or(0));
        }
        Vary::Requests(factor) => {
            let (mut seen, mut kept) = (0.0, 0.0);
            compiled.scenario.steps.retain(|step| {
                if !matches!(step.event, ScenarioEvent::Request(_)) {
                    return true;
                }
                seen += 1.0;
                let keep = kept < seen * factor;
                kept += f64::from(u8::from(keep));
                keep
            });
        }
    }
    compiled
}
