//! General rate-limiting mechanisms that are independent of requests, hosts and customers.

mod concurrency_limit;
mod decay;
mod mean;
mod token_bucket;

pub(crate) use concurrency_limit::ConcurrencyLimit;
pub(crate) use decay::remaining_fraction;
pub(crate) use mean::{ExponentialMean, WeightedMean};
pub(crate) use token_bucket::TokenBucket;
