//! The limiter process: owns its components, starts them, serves clients, and shuts down gracefully.

use super::admin::{self, AdminContext};
use super::config::{Config, Limits};
use super::counter::{self, CounterClient};
use super::discovery::{self, Backoff, DiscoveryClient, EndpointList};
use super::engine::EngineDriver;
use super::hot_restart::listener_handover::redirect_to_second;
use super::hot_restart::{HandoffStatus, HotRestart, LocalProcess};
use super::leases;
use super::memory::MemoryBudget;
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

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// The components of one limiter. They run on a single thread, and no `RefCell` borrow is held across an await point.
pub struct Limiter {
    /// Limits on sizes, counts and times.
    limits: Rc<Limits>,
    /// The decision engine and the open requests.
    engine: Rc<EngineDriver>,
    /// The hosts and the connections to them.
    upstream: Rc<UpstreamPool>,
    /// The counter client.
    counter: Rc<CounterClient>,
    /// The discovery client and the endpoint list.
    discovery: Rc<DiscoveryClient>,
    /// The phase of the shutdown and the number of client connections.
    shutdown: Rc<Shutdown>,
    /// The exchange with the other process of this limiter while a new version takes over.
    hot_restart: Rc<HotRestart>,
    /// The components that the admin interface reads and changes.
    admin: Rc<AdminContext>,
    /// The active configuration, and its reload.
    reloader: Rc<ConfigReloader>,
    /// The stages that a request passes through.
    pipeline: Rc<Pipeline>,
    /// The log of the metrics; `None` unless the configuration sets an interval for it.
    metrics_log: Option<MetricsLog>,
}

/// The configuration that is used only to start the limiter.
struct StartOptions {
    listen: SocketAddr,
    admin: Option<SocketAddr>,
    known_hosts: Value,
    lease: Option<LeaseConfig>,
    backoff: Backoff,
}

impl Limiter {
    /// Creates a limiter without any connections, and wires up its components.
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
        let memory = MemoryBudget::new(&limits);
        let pipeline = Pipeline::new(&limits, &engine, &upstream, &counter, &shutdown, &memory);
        let discovery = DiscoveryClient::new(&limits, &engine, &upstream, addresses, endpoints)
            .with_memory(&memory)
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
            &memory,
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

    /// Starts all components, serves clients until the process is asked to terminate, and shuts down gracefully.
    async fn run(self, options: StartOptions) -> Result<(), StartError> {
        // First, so that no signal arrives before its handler is installed.
        self.watch_signals()?;
        if let Some(lease) = options.lease {
            self.start_leases(lease).await?;
        }
        // An endpoint list handed over by another process takes precedence over the one in the configuration.
        self.hot_restart.poll_other_processes();
        self.discovery.restore(&options.known_hosts)?;
        self.start_service_clients(options.backoff);
        let admin_listener = match options.admin {
            Some(address) => Some(bind_admin(address).await?),
            None => None,
        };
        if self.hot_restart.is_other_serving() {
            self.await_handoff().await;
        }
        let address = options.listen;
        let listener =
            bind_listener(address).map_err(|source| StartError::Listen { address, source })?;
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
            hot_restart.poll_other_processes();
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

    /// Starts the counter client, the discovery client, and the log of the metrics.
    fn start_service_clients(&self, backoff: Backoff) {
        counter::start(&self.counter);
        if let Some(metrics_log) = &self.metrics_log {
            let memory = self.pipeline.memory().clone();
            metrics_log.start(self.engine.clone(), self.upstream.clone(), memory);
        }
        spawn(discovery::follow(self.discovery.clone(), backoff));
        if !self.limits.discovery.is_polled {
            spawn(discovery::check(self.discovery.clone()));
        }
    }

    /// Waits, for a bounded time, for the endpoint list and the handoff from the other process of this limiter. A
    /// process that accepted clients without them would reject requests that the other one still serves.
    async fn await_handoff(&self) {
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

    /// Waits until every connection is closed and every request is answered. Requests that are still open at the answer
    /// deadline are failed, so that SIGKILL finds none of them unanswered.
    async fn finish(&self) {
        let Some(deadlines) = self.shutdown.deadlines() else {
            return;
        };
        self.await_answers(deadlines.answers).await;
        let unanswered = self.engine.open_request_ids();
        for id in &unanswered {
            complete::fail_if_open(&self.pipeline, *id);
        }
        self.await_connections(deadlines.exit).await;
        self.await_responses().await;
        tracing::info!(
            failed_requests = unanswered.len(),
            open_connections = self.shutdown.connections(),
            "shutdown finished"
        );
    }

    /// Waits until every connection is closed and every request is answered, until `deadline` at the latest.
    async fn await_answers(&self, deadline: Instant) {
        self.await_connections(deadline).await;
        // Attempts whose client has disconnected are not waited for: they end on their own, and no client needs them.
        while self.engine.open_request_count() > 0 && Instant::now() < deadline {
            sleep(self.limits.requests.deadline_margin).await;
        }
    }

    /// Waits for the responses in progress, each of which ends when its host or its client makes no progress any more, and
    /// then for their connections to close.
    async fn await_responses(&self) {
        let in_progress = self.shutdown.responses();
        if in_progress == 0 {
            return;
        }
        tracing::info!(in_progress, "shutdown waits for responses");
        let mut responses = self.shutdown.subscribe_responses();
        // An error is impossible: the sender lives as long as the limiter.
        let _ = responses.wait_for(|count| *count == 0).await;
        self.await_connections(Instant::now() + self.limits.downstream.linger_timeout)
            .await;
    }

    /// Waits until every connection is closed, until `deadline` at the latest.
    async fn await_connections(&self, deadline: Instant) {
        let mut connections = self.shutdown.subscribe_connections();
        // The caller handles what is still open at the deadline.
        let _ = timeout_at(deadline, connections.wait_for(|count| *count == 0)).await;
    }
}

/// Runs a limiter until the process is asked to terminate.
///
/// # Errors
/// Returns an error if a component cannot start: the runtime, a signal handler, a listening socket, the endpoint list
/// of the configuration, the leases or the usage export.
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
    let result = TcpListener::bind(address).await;
    result.map_err(|source| StartError::ListenAdmin { address, source })
}

/// Binds the listening socket for clients, on an address that another process of this limiter may also listen on.
fn bind_listener(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = if listen.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Without SO_REUSEPORT no other process can listen on the address, but this one still can.
    if let Err(e) = socket.set_reuseport(true) {
        tracing::info!(error = %e, "listening address cannot be shared");
    }
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}
