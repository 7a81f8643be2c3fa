//! One limiter process: owns its parts, starts them, serves clients, and ends in order.

use super::admin::{self, AdminContext};
use super::config::{Config, Limits};
use super::counter::{self, CounterClient};
use super::discovery::{self, Backoff, DiscoveryClient, EndpointList};
use super::engine::EngineDriver;
use super::hot_restart::listener_handover::redirect_to_second;
use super::hot_restart::{HandoffStatus, HotRestart, LocalProcess};
use super::leases;
use super::metrics_log::MetricsLog;
use super::reload::{ActiveConfig, ConfigReloader};
use super::resp::downstream::{self, Downstream};
use super::resp::upstream::UpstreamPool;
use super::shutdown::{self, Shutdown};
use super::stages::{complete, Pipeline};
use super::start_error::StartError;
use super::task::spawn;
use quartzcleat_config::lease::LeaseConfig;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket};
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
    /// The parts that the admin interface reads and changes.
    admin: Rc<AdminContext>,
    /// The configuration in force.
    reloader: Rc<ConfigReloader>,
    /// The stages that a request passes.
    pipeline: Rc<Pipeline>,
    /// The metrics for operators; `None` where the configuration does not ask for them.
    metrics_log: Option<MetricsLog>,
}

/// How a limiter starts, beyond the parts that it consists of.
struct StartOptions {
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    known_hosts: Value,
    lease: Option<LeaseConfig>,
    backoff: Backoff,
}

impl Limiter {
    /// A limiter that has received nothing and is connected to nothing yet. Each part is given the parts that it works
    /// with.
    pub fn new(config: Config) -> Self {
        let has_admin = config.admin.is_some();
        let new_metrics_log = |interval| MetricsLog::new(interval, config.name.clone());
        let metrics_log = config.metrics_interval.map(new_metrics_log);
        let metrics = metrics_log.as_ref().map(MetricsLog::metrics);
        let active_config = ActiveConfig::new(config.file, &config.settings, config.addresses);
        let endpoints = EndpointList::new(config.zone_names, config.machine_kind_names);
        let process = LocalProcess::new(config.name, config.listen, has_admin);

        let limits = Rc::new(config.limits);
        let upstream = UpstreamPool::new(config.settings.discovery.report_source, metrics.clone());
        let upstream = Rc::new(upstream);
        let engine = EngineDriver::new(config.settings, config.seed, &limits, metrics.clone());
        let engine = Rc::new(engine);
        let shutdown = Rc::new(Shutdown::new(&limits));
        let addresses = active_config.subscribe_addresses();
        let counter = Rc::new(CounterClient::new(&limits, &engine, addresses.clone()));
        let pipeline = Pipeline::new(&limits, &engine, &upstream, &counter, &shutdown);
        let discovery = DiscoveryClient::new(&limits, &engine, &upstream, addresses, endpoints)
            .with_metrics(metrics)
            .with_name_records(has_admin);
        let discovery = Rc::new(discovery);
        let hot_restart = HotRestart::new(&limits, &engine, &discovery, &shutdown, process);
        let hot_restart = Rc::new(hot_restart);
        let admin = Rc::new(AdminContext::new(
            &limits,
            &discovery,
            &shutdown,
            &hot_restart,
        ));
        let reloader = ConfigReloader::new(&limits, &engine, &upstream, &discovery, active_config);
        Limiter {
            limits,
            engine,
            upstream,
            counter,
            discovery,
            shutdown,
            hot_restart,
            admin,
            reloader: Rc::new(reloader),
            pipeline,
            metrics_log,
        }
    }

    /// Starts all parts, serves clients until the process is asked to end, and ends in order.
    async fn run(self, options: StartOptions) -> Result<(), StartError> {
        // First, so that no signal finds the process without a handler.
        self.watch_signals()?;
        if let Some(lease) = options.lease {
            self.start_leases(lease).await?;
        }
        // The list that another process hands over takes precedence over that of the configuration.
        self.hot_restart.look();
        self.discovery.restore(&options.known_hosts)?;
        self.start_clients(options.backoff);
        let admin_listener = match options.admin {
            Some(address) => Some(bind_admin(address).await?),
            None => None,
        };
        if self.hot_restart.is_other_serving() {
            self.catch_up().await;
        }
        let address = options.listen;
        let listener = open(address).map_err(|source| StartError::Listen { address, source })?;
        if let Some(admin_listener) = admin_listener {
            self.start_admin(admin_listener);
        }
        let context = self.pipeline.frontend_context();
        let downstream = Rc::new(Downstream::new(context, self.reloader.catalog()));
        downstream::accept(&downstream, listener, redirect_to_second).await;
        self.finish().await;
        Ok(())
    }

    fn watch_signals(&self) -> Result<(), StartError> {
        let hot_restart = self.hot_restart.clone();
        shutdown::watch(&self.shutdown, move || {
            // Another process may have started a moment ago.
            hot_restart.look();
            hot_restart.successor()
        })?;
        self.reloader.watch()?;
        Ok(())
    }

    async fn start_leases(&self, lease: LeaseConfig) -> Result<(), StartError> {
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
        if let Some(metrics_log) = &self.metrics_log {
            metrics_log.start(self.engine.clone(), self.upstream.clone());
        }
        spawn(discovery::follow(self.discovery.clone(), backoff));
        if !self.limits.discovery.is_polled {
            spawn(discovery::check(self.discovery.clone()));
        }
    }

    /// Waits, for a bounded time, for the endpoint list and for the handoff of the other process of this limiter. A
    /// process that took clients without them would reject requests that the other one still serves.
    async fn catch_up(&self) {
        self.hot_restart.publish();
        let until = Instant::now() + self.limits.hot_restart.discovery_timeout;
        while !self.discovery.has_answered() && Instant::now() < until {
            sleep(self.limits.requests.deadline_margin).await;
        }
        let until = Instant::now() + self.limits.hot_restart.handoff_timeout;
        while self.hot_restart.take_handoff() == HandoffStatus::Awaited && Instant::now() < until {
            sleep(self.limits.requests.deadline_margin).await;
        }
    }

    fn start_admin(&self, listener: TcpListener) {
        self.hot_restart.start_serving();
        spawn(admin::accept(self.admin.clone(), listener));
    }

    /// Waits until every connection is closed and every request answered. Requests that are still open shortly before
    /// the process has to be gone are failed, so that none stays unanswered.
    async fn finish(&self) {
        let last = self
            .shutdown
            .last_answers(&self.limits)
            .unwrap_or_else(Instant::now);
        let mut connections = self.shutdown.subscribe_connections();
        // Requests that are still open past the time are failed below.
        let _ = timeout_at(last, connections.wait_for(|count| *count == 0)).await;
        // The attempts of a client that has gone end by themselves; no client waits for them.
        while self.engine.open_request_count() > 0 && Instant::now() < last {
            sleep(self.limits.requests.deadline_margin).await;
        }
        for id in self.engine.open_request_ids() {
            complete::give_up(&self.pipeline, id);
        }
        let end = last + self.limits.shutdown.final_answer_margin.get();
        // Past the time the process ends, and the connections that are left end with it.
        let _ = timeout_at(end, connections.wait_for(|count| *count == 0)).await;
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
fn open(listen: SocketAddr) -> io::Result<TcpListener> {
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
