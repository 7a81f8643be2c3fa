//! Quota: each customer's count in two windows over all limiters, and the verdict on it. Knows neither
//! requests nor hosts.

mod counter;
mod limits;
mod state;
mod tracker;
mod verdict;
mod window;

pub(crate) use counter::MIN_CALL_RATIO;
pub(crate) use state::*;
pub(crate) use verdict::COUNTER_WAIT_OBJECTIVE_FRACTION;
