//! Rules of the decision engine, each by the behaviour that keeps it.

mod final_answers;
mod hosts;
mod load_shedding;
mod queueing;
mod retries;
mod returning_clients;
mod robustness;
mod settlement;
mod slow_start;
mod succession;
