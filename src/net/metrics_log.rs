//! Periodic logging of a limiter's metrics.

use super::engine::EngineDriver;
use super::memory::MemoryBudget;
use super::metrics::{Metrics, SharedMetrics};
use super::resp::upstream::UpstreamPool;
use super::task::spawn;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time;

/// The metrics of a limiter and the interval at which they are logged.
pub struct MetricsLog {
    interval: Duration,
    metrics: SharedMetrics,
}

impl MetricsLog {
    /// Creates a log with all counts at zero. Nothing is logged before [`start`](Self::start).
    pub fn new(interval: Duration, limiter_name: String) -> Self {
        MetricsLog {
            interval,
            metrics: Rc::new(RefCell::new(Metrics::new(limiter_name))),
        }
    }

    /// Returns the metrics, for the components that record them.
    pub fn metrics(&self) -> SharedMetrics {
        self.metrics.clone()
    }

    /// Spawns a task that logs the metrics immediately and then once per interval, with the state of the engine and the
    /// connections to hosts.
    pub fn start(
        &self,
        engine: Rc<EngineDriver>,
        upstream: Rc<UpstreamPool>,
        memory: Rc<MemoryBudget>,
    ) {
        let metrics = self.metrics.clone();
        let interval = self.interval;
        spawn(async move {
            let mut ticks = time::interval(interval);
            loop {
                ticks.tick().await;
                let now = engine.now();
                let status = engine.status();
                let connections = upstream.connections_by_host();
                metrics
                    .borrow_mut()
                    .log(now, &status, &connections, &memory);
            }
        });
    }
}
