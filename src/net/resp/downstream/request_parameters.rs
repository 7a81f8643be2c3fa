//! The parameters of a request: `name=value` pairs separated by commas.

use super::command_error::CommandError;
use super::request_catalog::{CatalogClass, RequestCatalog};
use crate::api::{LimiterIndex, PlanIndex};
use std::ops::Range;
use std::time::Duration;

/// The wait of a request, and its position in the command.
#[derive(Debug)]
pub(super) struct WaitParameter {
    /// How long the client waits; more than zero, in whole milliseconds.
    pub(super) wait: Duration,
    /// The range of its value in the command, in bytes.
    pub(super) range: Range<usize>,
}

/// The parameters of a request in which no required one is missing.
#[derive(Debug)]
pub(super) struct RequestParameters<'a> {
    /// `c`: the class.
    pub(super) class: &'a CatalogClass,
    /// `t`: the plan.
    pub(super) plan: PlanIndex,
    /// `d`: how long the client waits.
    pub(super) wait: WaitParameter,
    /// `units`: the units that the request takes from the quota; more than zero.
    pub(super) units: f64,
    /// `spread`: the number of limiters through which the customer's requests may arrive; at least 1.
    pub(super) spread: u32,
    /// `first`: the first of these limiters.
    pub(super) first_limiter: LimiterIndex,
    /// `k`: whether there is an idempotency key.
    pub(super) has_key: bool,
    /// `r`: whether the request is a retry by the client.
    pub(super) is_retry: bool,
}

impl<'a> RequestParameters<'a> {
    /// Parses parameters that start at byte `start` of the command. Values that are malformed or out of range count as
    /// missing. If a name occurs more than once, the last value is used, except that `r` stays set once it was `1`.
    ///
    /// # Errors
    /// A parameter is not of the form `name=value`, or a required parameter is missing.
    pub(super) fn parse(
        text: &str,
        start: usize,
        catalog: &'a RequestCatalog,
    ) -> Result<Self, CommandError> {
        let mut received = ReceivedParameters::default();
        let mut position = start;
        for parameter in text.split(',') {
            let (name, value) = parameter
                .split_once('=')
                .ok_or(CommandError::ParameterWithoutValue)?;
            let value_range = position + name.len() + 1..position + parameter.len();
            received.apply(name, value, value_range, catalog);
            position += parameter.len() + 1;
        }
        received.require_all()
    }
}

/// The parameters received so far; `None` for those that are missing or invalid.
#[derive(Default)]
struct ReceivedParameters<'a> {
    class: Option<&'a CatalogClass>,
    plan: Option<PlanIndex>,
    wait: Option<WaitParameter>,
    has_key: bool,
    is_retry: bool,
    units: Option<f64>,
    spread: Option<u32>,
    first_limiter: Option<LimiterIndex>,
}

impl<'a> ReceivedParameters<'a> {
    fn apply(&mut self, name: &str, value: &str, range: Range<usize>, catalog: &'a RequestCatalog) {
        let number = value.parse::<u32>().ok();
        match name {
            "c" => self.class = catalog.class(value),
            "t" => self.plan = catalog.plan(value),
            "d" => {
                let wait = number.filter(|wait_ms| *wait_ms > 0);
                self.wait = wait.map(|wait_ms| WaitParameter {
                    wait: Duration::from_millis(wait_ms.into()),
                    range,
                });
            }
            "k" => self.has_key = !value.is_empty(),
            "units" => {
                let units = value.parse().ok();
                self.units = units.filter(|units| catalog.accepts_units(*units));
            }
            "spread" => self.spread = number.filter(|spread| catalog.accepts_spread(*spread)),
            "first" => {
                let limiter = number.map(LimiterIndex);
                self.first_limiter = limiter.filter(|limiter| catalog.accepts_limiter(*limiter));
            }
            "r" if value == "1" => self.is_retry = true,
            _ => {}
        }
    }

    fn require_all(self) -> Result<RequestParameters<'a>, CommandError> {
        Ok(RequestParameters {
            class: self.class.ok_or(CommandError::Class)?,
            plan: self.plan.ok_or(CommandError::Plan)?,
            wait: self.wait.ok_or(CommandError::Wait)?,
            units: self.units.ok_or(CommandError::Units)?,
            spread: self.spread.ok_or(CommandError::Spread)?,
            first_limiter: self.first_limiter.ok_or(CommandError::FirstLimiter)?,
            has_key: self.has_key,
            is_retry: self.is_retry,
        })
    }
}
