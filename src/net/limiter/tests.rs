//! The harness of the tests of all parts: a limiter on a thread of its own, and access to its parts.

use super::*;
use crate::api::Event;
use crate::net::config;
use std::future::Future;

/// Access to the parts, for tests of other modules.
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

    /// Ends as the process does.
    pub(crate) async fn end(&self) {
        self.finish().await;
    }
}

/// Runs a test on a limiter with the example's settings, some of whose text is changed. Events for the decision engine
/// stay in its queue, for the test to look at.
pub(crate) fn with_limiter<F: Future<Output = ()>>(
    changes: &[(&str, &str)],
    test: impl FnOnce(Rc<Limiter>) -> F,
) {
    let mut text = include_str!("../../../examples/toy.json").to_owned();
    for (from, to) in changes {
        assert!(text.contains(from), "the example holds {from}");
        text = text.replace(from, to);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), async {
        let config = config::parse(&text, |_| None).expect("the configuration is sound");
        let limiter = Rc::new(Limiter::new(config));
        limiter.engine.pause();
        test(limiter).await;
    });
}

/// Waits for the next event that the decision engine would handle.
pub(crate) async fn next(limiter: &Rc<Limiter>) -> Event {
    loop {
        if let Some(event) = limiter.engine.take_event() {
            return event;
        }
        sleep(limiter.limits.requests.deadline_margin).await;
    }
}
