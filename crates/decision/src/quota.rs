//! Quota enforcement by a sliding window over two counts of each customer, which all limiters share through the
//! counter service. Refers to requests only by their identifiers and is independent of hosts.

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
