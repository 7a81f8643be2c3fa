//! One limiter process: owns its parts, starts them, serves clients, and ends in order.

use super::admin::{self, AdminContext};
use super::config::{Addresses, Config, Limits};
use super::counter::{self, CounterClient};
use super::discovery::{self, Backoff, DiscoveryClient, DiscoveryParts, EndpointList};
use super::engine::EngineDriver;
use super::hot_restart::{HotRestart, HotRestartParts};
use super::leases;
use super::metrics::{self, Metrics, SharedMetrics};
use super::reload::{ConfigReloader, ReloadParts};
use super::resp::downstream::{self, Downstream};
use super::resp::upstream::UpstreamPool;
use super::shutdown::{self, Shutdown};
use super::stages::{complete, Pipeline, PipelineParts};
use super::start_error::StartError;
use super::task::spawn;
use crate::api::Settings;
use quartzcleat_config::lease::Lease;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout_at, Instant};

#[cfg(test)]
pub(crate) mod tests;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// All parts of one limiter. One thread runs them; nothing is borrowed across an await.
pub struct Limiter {
    /// Sizes, counts and times.
    limits: Rc<Limits>,
    /// The decision engine, and the open requests.
    engine: Rc<EngineDriver>,
    /// Hosts and the connections to them.
    upstream: Rc<UpstreamPool>,
    /// The connections to the counter.
    counter: Rc<CounterClient>,
    /// The endpoint list.
    discovery: Rc<DiscoveryClient>,
    /// The phase of the shutdown, and the number of client connections.
    shutdown: Rc<Shutdown>,
    /// The other process of this limiter, while a new version takes over.
    hot_restart: Rc<HotRestart>,
    /// What the admin interface reads and changes.
    admin: Rc<AdminContext>,
    /// The configuration in force.
    reloader: Rc<ConfigReloader>,
    /// The stages that a request passes.
    pipeline: Rc<Pipeline>,
    /// What is counted for operators, and how often it is logged; `None` where the configuration does not ask for it.
    metrics: Option<MetricsLog>,
}

/// Metrics and the interval at which they are logged.
struct MetricsLog {
    every: Duration,
    metrics: SharedMetrics,
}

/// How a limiter starts, beyond the parts that it consists of.
struct StartOptions {
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    known_hosts: Value,
    lease: Option<Lease>,
    backoff: Backoff,
}

impl Limiter {
    /// A limiter that has received nothing and is connected to nothing yet.
    pub fn new(config: Config) -> Self {
        let metrics = config.metrics_interval.map(|every| MetricsLog {
            every,
            metrics: Rc::new(RefCell::new(Metrics::new(config.name.clone()))),
        });
        let addresses = watch::Sender::new(config.addresses);
        let has_admin = config.admin.is_some();
        let (name, listen) = (config.name, config.listen);
        let base = BaseParts::new(
            config.limits,
            &config.settings,
            config.seed,
            metrics.as_ref().map(|log| log.metrics.clone()),
        );
        let counter = base.new_counter(&addresses);
        let pipeline = base.new_pipeline(&counter);
        let endpoints = EndpointList::new(config.zone_names, config.machine_kind_names);
        let discovery = base.new_discovery(&addresses, endpoints, has_admin);
        let hot_restart_parts = base.hot_restart_parts(&discovery);
        let hot_restart = HotRestart::new(hot_restart_parts, &name, listen, has_admin);
        let hot_restart = Rc::new(hot_restart);
        let admin = base.new_admin(&discovery, &hot_restart);
        let reload_parts = base.reload_parts(&discovery, addresses);
        let reloader = ConfigReloader::new(reload_parts, config.file, &config.settings);
        Limiter {
            limits: base.limits,
            engine: base.engine,
            upstream: base.upstream,
            counter,
            discovery,
            shutdown: base.shutdown,
            hot_restart,
            admin,
            reloader: Rc::new(reloader),
            pipeline,
            metrics,
        }
    }

    /// Starts all parts, serves clients until the process is asked to end, and ends in order.
    async fn run(self, options: StartOptions) -> Result<(), StartError> {
        // First, so that no signal finds the process without a handler.
        self.watch_signals()?;
        if let Some(lease) = options.lease {
            self.start_leases(lease).await?;
        }
        // What another process knows goes before the list of the configuration.
        self.hot_restart.look();
        self.discovery.restore(&options.known_hosts)?;
        self.start_clients(options.backoff);
        let admin_listener = match options.admin {
            Some(address) => Some(bind_admin(address).await?),
            None => None,
        };
        if self.hot_restart.other_serves() {
            self.catch_up().await;
        }
        let address = options.listen;
        let listener = open(address).map_err(|source| StartError::Listen { address, source })?;
        if let Some(admin_listener) = admin_listener {
            self.start_admin(admin_listener);
        }
        let context = self.pipeline.frontend_context();
        let downstream = Rc::new(Downstream::new(context, self.reloader.catalog()));
        downstream::accept(&downstream, listener).await;
        self.finish().await;
        Ok(())
    }

    fn watch_signals(&self) -> Result<(), StartError> {
        let hot_restart = self.hot_restart.clone();
        shutdown::watch(&self.shutdown, move || {
            // Another process may have started a moment ago.
            hot_restart.look();
            hot_restart.successor_serves()
        })?;
        self.reloader.watch()
    }

    async fn start_leases(&self, lease: Lease) -> Result<(), StartError> {
        let usage_recorder = leases::open_usage_recorder(&lease)?;
        if let Some(usage_recorder) = &usage_recorder {
            self.pipeline.record_usage(usage_recorder.clone());
        }
        leases::start(lease, &self.shutdown, usage_recorder).await?;
        Ok(())
    }

    /// Starts the clients of the counter and of discovery, and the log of the metrics.
    fn start_clients(&self, backoff: Backoff) {
        counter::start(&self.counter);
        if let Some(MetricsLog { every, metrics }) = &self.metrics {
            let (engine, upstream) = (self.engine.clone(), self.upstream.clone());
            metrics::start(metrics.clone(), *every, engine, upstream);
        }
        spawn(discovery::follow(self.discovery.clone(), backoff));
        if !self.limits.discovery.is_polled {
            spawn(discovery::check(self.discovery.clone()));
        }
    }

    /// Waits, for a bounded time, for the endpoint list and for what the other process of this limiter hands over. A
    /// process that took clients without them would reject requests that the other one still serves.
    async fn catch_up(&self) {
        self.hot_restart.publish();
        let until = Instant::now() + self.limits.hot_restart.discovery_timeout;
        while !self.discovery.has_answered() && Instant::now() < until {
            sleep(self.limits.requests.deadline_margin).await;
        }
        let until = Instant::now() + self.limits.hot_restart.handoff_timeout;
        while !self.hot_restart.take_handoff() && Instant::now() < until {
            sleep(self.limits.requests.deadline_margin).await;
        }
    }

    fn start_admin(&self, listener: TcpListener) {
        self.hot_restart.start_serving();
        spawn(admin::accept(self.admin.clone(), listener));
    }

    /// Waits until every connection is closed and every request answered. Shortly before the process has to be gone,
    /// whatever is still open is failed, so that no request stays unanswered.
    async fn finish(&self) {
        let last = self
            .shutdown
            .last_answers(&self.limits)
            .unwrap_or_else(Instant::now);
        let mut connections = self.shutdown.subscribe_connections();
        // Past the time, what is still open is failed below.
        let _ = timeout_at(last, connections.wait_for(|count| *count == 0)).await;
        // The attempts of a client that has gone end by themselves; no answer is due for them.
        while self.engine.requests().borrow().count() > 0 && Instant::now() < last {
            sleep(self.limits.requests.deadline_margin).await;
        }
        let open = self.engine.requests().borrow().ids();
        for id in open {
            complete::give_up(&self.pipeline, id);
        }
        let end = last + self.limits.shutdown.final_answer_margin.get();
        // Past the time the process ends with whatever connections are left.
        let _ = timeout_at(end, connections.wait_for(|count| *count == 0)).await;
    }
}

/// The parts that most others are given.
struct BaseParts {
    limits: Rc<Limits>,
    engine: Rc<EngineDriver>,
    upstream: Rc<UpstreamPool>,
    shutdown: Rc<Shutdown>,
    metrics: Option<SharedMetrics>,
}

impl BaseParts {
    fn new(limits: Limits, settings: &Settings, seed: u64, metrics: Option<SharedMetrics>) -> Self {
        let engine = EngineDriver::new(settings.clone(), seed, &limits, metrics.clone());
        BaseParts {
            engine: Rc::new(engine),
            upstream: Rc::new(UpstreamPool::new(settings.discovery.report_source)),
            shutdown: Rc::new(Shutdown::new(&limits)),
            limits: Rc::new(limits),
            metrics,
        }
    }

    fn new_counter(&self, addresses: &watch::Sender<Addresses>) -> Rc<CounterClient> {
        Rc::new(CounterClient::new(
            self.limits.clone(),
            self.engine.clone(),
            addresses.subscribe(),
        ))
    }

    fn new_pipeline(&self, counter: &Rc<CounterClient>) -> Rc<Pipeline> {
        Pipeline::new(PipelineParts {
            limits: self.limits.clone(),
            engine: self.engine.clone(),
            upstream: self.upstream.clone(),
            counter: counter.clone(),
            shutdown: self.shutdown.clone(),
            metrics: self.metrics.clone(),
        })
    }

    fn new_discovery(
        &self,
        addresses: &watch::Sender<Addresses>,
        endpoints: EndpointList,
        records_names: bool,
    ) -> Rc<DiscoveryClient> {
        let parts = DiscoveryParts {
            limits: self.limits.clone(),
            engine: self.engine.clone(),
            upstream: self.upstream.clone(),
            addresses: addresses.subscribe(),
            metrics: self.metrics.clone(),
        };
        Rc::new(DiscoveryClient::new(parts, endpoints, records_names))
    }

    fn hot_restart_parts(&self, discovery: &Rc<DiscoveryClient>) -> HotRestartParts {
        HotRestartParts {
            limits: self.limits.clone(),
            engine: self.engine.clone(),
            discovery: discovery.clone(),
            shutdown: self.shutdown.clone(),
        }
    }

    fn new_admin(
        &self,
        discovery: &Rc<DiscoveryClient>,
        hot_restart: &Rc<HotRestart>,
    ) -> Rc<AdminContext> {
        Rc::new(AdminContext {
            limits: self.limits.clone(),
            discovery: discovery.clone(),
            shutdown: self.shutdown.clone(),
            hot_restart: hot_restart.clone(),
        })
    }

    fn reload_parts(
        &self,
        discovery: &Rc<DiscoveryClient>,
        addresses: watch::Sender<Addresses>,
    ) -> ReloadParts {
        ReloadParts {
            limits: self.limits.clone(),
            engine: self.engine.clone(),
            upstream: self.upstream.clone(),
            discovery: discovery.clone(),
            addresses,
        }
    }
}

/// Serves until the process is asked to end.
///
/// # Errors
/// A part cannot start: the runtime, a signal handler, a listening socket, the leases or the usage export.
pub fn serve(config: Config) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let options = StartOptions {
        listen: config.listen,
        admin: config.admin,
        known_hosts: config.known_hosts.clone(),
        lease: config.lease.clone(),
        backoff: Backoff::from_limits(&config.limits, config.seed),
    };
    LocalSet::new().block_on(&runtime, async { Limiter::new(config).run(options).await })
}

async fn bind_admin(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::ListenAdmin { address, source })
}

/// Listens for clients, beside another process of this limiter if there is one.
fn open(listen: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if listen.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Where this is not to be had, no other process can listen there, and this one still can.
    if let Err(e) = socket.set_reuseport(true) {
        tracing::info!(error = %e, "listening address cannot be shared");
    }
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}
