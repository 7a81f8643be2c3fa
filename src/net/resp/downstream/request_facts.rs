//! The facts of a request: `name=value`, separated by commas.

use super::command_error::CommandError;
use super::request_catalog::{CatalogClass, RequestCatalog};
use crate::api::{LimiterIndex, PlanIndex};
use std::ops::Range;
use std::time::Duration;

/// The wait of a request, and its place in the command.
#[derive(Debug)]
pub(super) struct WaitFact {
    /// The wait.
    pub(super) wait: Duration,
    /// The range of its digits.
    pub(super) range: Range<usize>,
}

/// The facts of a request that has all facts that it needs.
#[derive(Debug)]
pub(super) struct RequestFacts<'a> {
    /// `c`: the class.
    pub(super) class: &'a CatalogClass,
    /// `t`: the plan.
    pub(super) plan: PlanIndex,
    /// `d`: how long the client waits.
    pub(super) wait: WaitFact,
    /// `units`: the units that the request takes from the quota.
    pub(super) units: f64,
    /// `spread`: how many limiters the customer's requests may arrive through.
    pub(super) spread: u32,
    /// `first`: the first of these limiters.
    pub(super) first_limiter: LimiterIndex,
    /// `k`: there is an idempotency key.
    pub(super) has_key: bool,
    /// `r`: the request is a client's retry.
    pub(super) is_retry: bool,
}

impl<'a> RequestFacts<'a> {
    /// Parses facts that start at `start` in the command. Values that are malformed or out of range count as missing.
    /// Where a name occurs twice the last one counts.
    ///
    /// # Errors
    /// A fact has no value, or one that each request needs is missing.
    pub(super) fn parse(
        text: &str,
        start: usize,
        catalog: &'a RequestCatalog,
    ) -> Result<Self, CommandError> {
        let mut received = ReceivedFacts::default();
        let mut position = start;
        for fact in text.split(',') {
            let (name, value) = fact.split_once('=').ok_or(CommandError::FactWithoutValue)?;
            let value_range = position + name.len() + 1..position + fact.len();
            received.apply(name, value, value_range, catalog);
            position += fact.len() + 1;
        }
        received.require_all()
    }
}

/// The facts that were received, each of which may be missing.
#[derive(Default)]
struct ReceivedFacts<'a> {
    class: Option<&'a CatalogClass>,
    plan: Option<PlanIndex>,
    wait: Option<WaitFact>,
    has_key: bool,
    is_retry: bool,
    units: Option<f64>,
    spread: Option<u32>,
    first_limiter: Option<LimiterIndex>,
}

impl<'a> ReceivedFacts<'a> {
    fn apply(&mut self, name: &str, value: &str, range: Range<usize>, catalog: &'a RequestCatalog) {
        let number = value.parse::<u32>().ok();
        match name {
            "c" => self.class = catalog.class(value),
            "t" => self.plan = catalog.plan(value),
            "d" => {
                let wait = number.filter(|wait_ms| *wait_ms > 0);
                self.wait = wait.map(|wait_ms| WaitFact {
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

    fn require_all(self) -> Result<RequestFacts<'a>, CommandError> {
        Ok(RequestFacts {
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
