//! Runs a scenario in real time: fakes and limiter processes on loopback, and the scenario's events between them.

use crate::client;
use crate::context::Context;
use crate::endpoints::{host_state, limiter_config};
use crate::events;
use crate::limiter::{Addresses, Limiter};
use crate::process::{ProcessFiles, Usage};
use crate::server::{self, accept_connections};
use crate::state::FakeHost;
use crate::task::spawn;
use quartzcleat_decision::api::{LimiterIndex, Nanos};
use quartzcleat_invariants::{Fact, HostIndex, Record};
use quartzcleat_simulation::oracle::ChoicePoint;
use quartzcleat_simulation::scenario::{Scenario, ScenarioEvent};
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long a limiter may take to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How often readiness and the end of a run are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a run goes on after the last answer, so that a surplus attempt or answer is observed.
const OBSERVATION_TIME: Duration = Duration::from_millis(60);

/// The records of a run and the resources that its limiters used.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The recorded events.
    pub records: Vec<Record>,
    /// The resources used by each limiter that ran to the end.
    pub usage: Vec<Usage>,
}

/// Returns a limiter's product configuration (YAML) for a start, by the limiter and the number of its starts before.
type ProductConfig = Box<dyn Fn(LimiterIndex, usize) -> Option<String>>;

/// Runs a scenario against real limiters: processes of `program`, which are started and ended here. Their
/// configurations are written to `folder`.
///
/// # Errors
/// Fails where loopback, files or processes fail. What limiters do wrong is in the records instead.
pub fn run(scenario: &Scenario, program: &Path, folder: &Path) -> io::Result<Vec<Record>> {
    run_measured(scenario, program, folder).map(|report| report.records)
}

/// Like [`run`], also measuring what the limiters use.
///
/// # Errors
/// As [`run`].
pub fn run_measured(scenario: &Scenario, program: &Path, folder: &Path) -> io::Result<RunReport> {
    run_with(scenario, program, folder, |_, _| None)
}

/// Like [`run_measured`], with product configurations: `product_config` is called for each start of a limiter, with the
/// limiter and the number of its starts before.
///
/// # Errors
/// As [`run`].
pub fn run_with(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    product_config: impl Fn(LimiterIndex, usize) -> Option<String> + 'static,
) -> io::Result<RunReport> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let harness = Harness {
        context: Rc::new(Context::new(scenario.clone())),
        program: program.to_owned(),
        folder: folder.to_owned(),
        product_config: Box::new(product_config),
    };
    LocalSet::new().block_on(&runtime, harness.run())
}

/// An event of the scenario at the time that its variant chooses.
struct ScheduledEvent {
    /// From the moment at which all limiters are ready.
    at: Duration,
    event: ScenarioEvent,
}

/// One run: the shared context, and what limiters are started with.
struct Harness {
    context: Rc<Context>,
    program: PathBuf,
    folder: PathBuf,
    product_config: ProductConfig,
}

impl Harness {
    async fn run(self) -> io::Result<RunReport> {
        self.bind_hosts().await?;
        for limiter in self.limiters() {
            self.prepare_limiter(limiter).await?;
        }
        for host in 0..self.context.scenario.hosts.len() {
            server::host::start_process(&self.context, HostIndex(host));
        }
        let start = self.start_limiters().await?;
        self.run_events(start).await?;
        self.wait_for_answers(start).await;
        Ok(self.finish().await)
    }

    fn limiters(&self) -> impl Iterator<Item = LimiterIndex> + use<> {
        self.context.scenario.processes.limiter_indices()
    }

    async fn bind_hosts(&self) -> io::Result<()> {
        let context = &self.context;
        let start = context.now();
        for (host, setup) in context.scenario.hosts.iter().enumerate() {
            let fake = FakeHost::bind(setup, self.limiters().count(), start).await?;
            context.hosts.borrow_mut().push(fake);
            if !setup.absent {
                context
                    .discovery
                    .borrow_mut()
                    .list_initially(HostIndex(host));
            }
        }
        Ok(())
    }

    /// Starts the counter and discovery for one limiter, and chooses the limiter's own address.
    async fn prepare_limiter(&self, limiter: LimiterIndex) -> io::Result<()> {
        let counter = TcpListener::bind("127.0.0.1:0").await?;
        let discovery = TcpListener::bind("127.0.0.1:0").await?;
        let addresses = Addresses {
            listen: TcpListener::bind((unused_ip(), 0)).await?.local_addr()?,
            discovery: discovery.local_addr()?,
            counter: counter.local_addr()?,
        };
        let files = ProcessFiles::in_folder(&self.folder, &format!("limiter-{limiter}"));
        let process = Limiter::new(&self.program, files, addresses);
        self.context.limiters.borrow_mut().push(process);
        spawn(accept_connections(
            self.context.clone(),
            limiter,
            counter,
            server::counter::serve_connection,
        ));
        spawn(accept_connections(
            self.context.clone(),
            limiter,
            discovery,
            server::discovery::serve_connection,
        ));
        Ok(())
    }

    /// Starts all limiters and waits until they are ready; returns the start of the run.
    async fn start_limiters(&self) -> io::Result<Instant> {
        for limiter in self.limiters() {
            self.start_limiter(limiter).await?;
        }
        for limiter in self.limiters() {
            self.record_known_hosts(limiter);
        }
        Ok(Instant::now())
    }

    async fn start_limiter(&self, limiter: LimiterIndex) -> io::Result<()> {
        let config = limiter_config(&self.context, limiter);
        let address = {
            let mut limiters = self.context.limiters.borrow_mut();
            let starting = &mut limiters[limiter.as_usize()];
            let product_config = (self.product_config)(limiter, starting.starts);
            starting.start(&config, product_config.as_deref())?;
            starting.addresses.listen
        };
        let ready = async {
            while client::ping(address).await.is_err() {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(READY_TIMEOUT, ready)
            .await
            .map_err(|_| io::Error::other(format!("limiter {limiter} is not ready")))
    }

    /// Records the hosts that a limiter's configuration names.
    fn record_known_hosts(&self, limiter: LimiterIndex) {
        let listed = self.context.discovery.borrow().listed();
        for host in listed {
            let state = host_state(&self.context, host);
            self.context.record(Fact::HostStateLearned {
                limiter,
                host,
                state,
            });
        }
    }

    /// The scenario's events in the order of their times.
    fn schedule(&self) -> Vec<ScheduledEvent> {
        let steps = &self.context.scenario.steps;
        let at = |options: &[Nanos]| {
            self.context
                .choose(ChoicePoint::Moment, 0, options)
                .unwrap_or(0)
        };
        let mut schedule: Vec<ScheduledEvent> = steps
            .iter()
            .map(|step| ScheduledEvent {
                at: Duration::from_nanos(at(&step.moments)),
                event: step.event.clone(),
            })
            .collect();
        // The sort is stable: events at the same time keep the scenario's order.
        schedule.sort_by_key(|scheduled| scheduled.at);
        schedule
    }

    async fn run_events(&self, start: Instant) -> io::Result<()> {
        for scheduled in self.schedule() {
            sleep_until(start + scheduled.at).await;
            self.apply(scheduled.event).await?;
        }
        Ok(())
    }

    async fn apply(&self, event: ScenarioEvent) -> io::Result<()> {
        if let Some(description) = event.describe(&self.context.scenario.processes) {
            self.context.remark(description);
        }
        if let ScenarioEvent::StartLimiter(limiter) = event {
            self.record_known_hosts(limiter);
            return self.start_limiter(limiter).await;
        }
        events::apply(&self.context, event).await;
        Ok(())
    }

    /// Waits until all clients have their answers, or until the scenario's end.
    async fn wait_for_answers(&self, start: Instant) {
        let end = start + Duration::from_nanos(self.context.scenario.max_duration);
        while self.context.waiting_clients.get() > 0 && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
        }
        sleep(OBSERVATION_TIME).await;
    }

    async fn finish(&self) -> RunReport {
        let mut limiters = std::mem::take(&mut *self.context.limiters.borrow_mut());
        let usage = limiters
            .iter()
            .map(|limiter| limiter.process.usage())
            .collect();
        for limiter in &mut limiters {
            limiter.process.kill().await;
        }
        RunReport {
            records: self.context.take_records(),
            usage,
        }
    }
}

/// A loopback address that no other limiter of this process has. Without it another socket could take a limiter's port
/// between the search for a free one and the limiter's start.
fn unused_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() % 64;
    Ipv4Addr::new(
        127,
        64 + process as u8,
        (number / 250 % 250) as u8,
        (number % 250 + 1) as u8,
    )
}
