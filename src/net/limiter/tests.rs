//! Test harness for all modules of the limiter: a limiter on the test's thread, and access to its components.

use super::*;
use crate::api::{Event, HostEntry, HostId, HostState};
use crate::net::config;
use std::future::Future;

/// Accessors for the tests of other modules.
impl Limiter {
    pub(crate) fn limits(&self) -> &Rc<Limits> {
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

/// Adds a host to the limiter's pool as ready, and returns its listener.
pub(crate) async fn listening_host(limiter: &Limiter, host: HostId) -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("a local address");
    let entry = HostEntry {
        host,
        state: HostState::Ready,
        ..HostEntry::default()
    };
    limiter.upstream().update_host(&entry, address);
    listener
}

/// A service of the limiter that listens on a free port before the limiter is configured with its address.
pub(crate) struct BoundService {
    listener: std::net::TcpListener,
}

impl BoundService {
    /// Binds a free port of the loopback address.
    pub(crate) fn bind() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        BoundService { listener }
    }

    /// Returns the address as it is written in a configuration.
    pub(crate) fn address(&self) -> String {
        let address = self.listener.local_addr();
        address.expect("the listener has an address").to_string()
    }

    /// Returns the listener for the runtime that calls this method.
    pub(crate) fn into_listener(self) -> TcpListener {
        let nonblocking = self.listener.set_nonblocking(true);
        nonblocking.expect("the mode is set");
        TcpListener::from_std(self.listener).expect("a runtime runs")
    }
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
