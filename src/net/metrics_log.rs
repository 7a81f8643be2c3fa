//! Logs the metrics of a limiter at an interval.

use super::engine::EngineDriver;
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
    /// Metrics in which nothing is counted yet.
    pub fn new(interval: Duration, limiter_name: String) -> Self {
        MetricsLog {
            interval,
            metrics: Rc::new(RefCell::new(Metrics::new(limiter_name))),
        }
    }

    /// The metrics, for the parts that count.
    pub fn metrics(&self) -> SharedMetrics {
        self.metrics.clone()
    }

    /// Logs the metrics at the interval from now on, with the state of the engine and of the connections to hosts.
    pub fn start(&self, engine: Rc<EngineDriver>, upstream: Rc<UpstreamPool>) {
        let metrics = self.metrics.clone();
        let interval = self.interval;
        spawn(async move {
            let mut ticks = time::interval(interval);
            loop {
                ticks.tick().await;
                let now = engine.now();
                let status = engine.status();
                let connections = upstream.connections_by_host();
                metrics.borrow_mut().log(now, &status, &connections);
            }
        });
    }
}
