//! Quota over two windows, and the verdicts while the counter is degraded. With a rate of 12.5 and a burst of 40 the
//! window is 4 s long and refills by 50 units; the credit at its start is 22 at most. The tests start at the edge of a
//! window.

#[path = "../common/mod.rs"]
mod common;

mod call_sampling;
mod counting;
mod degraded_counter;
