//! Quota: each customer's count in two windows over all limiters, and the verdict on it. Knows neither
//! requests beyond their ids nor hosts.

mod call_sampler;
mod claim;
mod counter_calls;
mod counts;
mod limits;
mod record;
mod tracker;
mod verdict;
mod window;

pub(crate) use claim::{Correction, QuotaClaim, Verdict, VerdictBasis};
pub(crate) use counter_calls::CounterReply;
pub(crate) use tracker::{time_to_next_window, QuotaTracker};
