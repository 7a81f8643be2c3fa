//! Quota enforcement by a sliding window over two counts of each customer, which all limiters share through the
//! counter service. Refers to requests only by their identifiers and is independent of hosts.

mod call_sampler;
mod claim;
mod counter_calls;
mod counts;
mod customer_table;
mod decision;
mod limits;
mod record;
mod tracker;
mod window;

pub(crate) use claim::{Correction, DecisionBasis, QuotaClaim, QuotaDecision};
pub(crate) use counter_calls::CounterReply;
pub(crate) use customer_table::CustomerAdmission;
pub(crate) use tracker::{time_to_next_window, QuotaTracker};
