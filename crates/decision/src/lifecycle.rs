//! Request lifecycle: arrival, admission, queueing, attempts, retries and the final answer. Calls
//! `admission`, `quota` and `hosts`, which depend neither on it nor on each other. Uses neither sockets nor
//! clocks.

mod abandoned_runs;
mod arrival;
mod attempt;
mod completion;
mod deadlines;
mod dispatch;
mod queue;
mod release;
mod request;
mod retry;
mod retry_budget;

pub(crate) use arrival::Arrival;
pub(crate) use attempt::{AttemptEnd, AttemptKey};

use crate::admission::LoadShedder;
use crate::api::{Nanos, Settings};
use crate::context::Context;
use crate::hosts::HostPool;
use crate::quota::QuotaTracker;
use abandoned_runs::AbandonedRuns;
use attempt::InFlightAttempt;
use queue::DispatchQueue;
use request::RequestTable;
use retry_budget::RetryBudget;
use std::collections::BTreeMap;

/// Pending requests and the state of the modules that decide on them.
#[derive(Debug)]
pub(crate) struct RequestLifecycle {
    requests: RequestTable,
    attempts: BTreeMap<AttemptKey, InFlightAttempt>,
    abandoned_runs: AbandonedRuns,
    queue: DispatchQueue,
    retry_budget: RetryBudget,
    shedder: LoadShedder,
    quotas: QuotaTracker,
    hosts: HostPool,
}

impl RequestLifecycle {
    pub(crate) fn new(settings: &Settings, now: Nanos) -> Self {
        RequestLifecycle {
            requests: RequestTable::default(),
            attempts: BTreeMap::new(),
            abandoned_runs: AbandonedRuns::default(),
            queue: DispatchQueue::default(),
            retry_budget: RetryBudget::new(),
            shedder: LoadShedder::new(now),
            quotas: QuotaTracker::new(now),
            hosts: HostPool::new(settings),
        }
    }

    /// Removes records of customers, hosts and abandoned requests that are no longer in use.
    pub(crate) fn remove_unused(&mut self, context: &Context) {
        self.abandoned_runs.remove_expired(context.now());
        self.quotas.remove_unused(context);
        self.hosts.remove_unused();
    }

    /// Returns the known hosts.
    pub(crate) fn hosts(&self) -> &HostPool {
        &self.hosts
    }

    /// Returns the known hosts, mutably.
    pub(crate) fn hosts_mut(&mut self) -> &mut HostPool {
        &mut self.hosts
    }

    /// Returns the quotas of the customers.
    pub(crate) fn quotas(&self) -> &QuotaTracker {
        &self.quotas
    }

    /// Returns the quotas of the customers, mutably.
    pub(crate) fn quotas_mut(&mut self) -> &mut QuotaTracker {
        &mut self.quotas
    }

    /// Returns the load shedder.
    pub(crate) fn shedder(&self) -> &LoadShedder {
        &self.shedder
    }

    /// Returns the load shedder, mutably.
    pub(crate) fn shedder_mut(&mut self) -> &mut LoadShedder {
        &mut self.shedder
    }

    /// Returns the number of requests that wait for capacity.
    pub(crate) fn queued_count(&self) -> usize {
        self.queue.len()
    }
}
