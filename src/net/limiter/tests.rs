//! Test harness for all modules of the limiter: a limiter on the test's thread, and access to its components.

use super::*;
use crate::api::Event;
use crate::net::config;
use std::future::Future;

/// Accessors for the tests of other modules.
impl Limiter {
    pub(crate) fn limits(&self) -> &Limits {
        &self.limits
    }

    pub(crate) fn engine(&self) -> &EngineDriver {
        &self.engine
    }

    pub(crate) fn upstream(&self) -> &UpstreamPool {
        &self.upstream
    }

    pub(crate) fn counter(&self) -> &Rc<CounterClient> {
        &self.counter
    }

    pub(crate) fn discovery(&self) -> &Rc<DiscoveryClient> {
        &self.discovery
    }

    pub(crate) fn shutdown(&self) -> &Rc<Shutdown> {
        &self.shutdown
    }

    pub(crate) fn admin(&self) -> &AdminContext {
        &self.admin
    }

    pub(crate) fn reloader(&self) -> &Rc<ConfigReloader> {
        &self.reloader
    }

    pub(crate) fn pipeline(&self) -> &Rc<Pipeline> {
        &self.pipeline
    }

    /// Shuts down as the process does.
    pub(crate) async fn end(&self) {
        self.finish().await;
    }
}

/// Runs a test on a limiter with the settings of `examples/toy.json`, in whose text each pair of `changes` replaces the
/// first string by the second. Events for the decision engine stay in its queue, where the test reads them.
pub(crate) fn with_limiter<F: Future<Output = ()>>(
    changes: &[(&str, &str)],
    test: impl FnOnce(Rc<Limiter>) -> F,
) {
    let mut text = include_str!("../../../examples/toy.json").to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "the example contains {from}");
        text = text.replace(from, to);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let config = config::parse(&text, |_| None).expect("the configuration is valid");
        let limiter = Rc::new(Limiter::new(config));
        limiter.engine.pause();
        test(limiter).await;
    });
}

/// Waits for the next event in the decision engine's queue and removes it.
pub(crate) async fn next_event(limiter: &Rc<Limiter>) -> Event {
    loop {
        if let Some(event) = limiter.engine.take_event() {
            return event;
        }
        sleep(limiter.limits.requests.deadline_margin).await;
    }
}
