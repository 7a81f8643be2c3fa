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
/// How long a run continues after the last answer, so that a surplus attempt or answer is recorded.
const OBSERVATION_TIME: Duration = Duration::from_millis(60);

/// The records of a run and the resources that its limiters used.
#[derive(Clone, Debug, Default)]
pub struct RunReport {
    /// The recorded events.
    pub records: Vec<Record>,
    /// The resources used by each limiter, by index; zero for one that is not running at the end.
    pub usage: Vec<Usage>,
}

/// A function that returns the product configuration (YAML) for a start of a limiter, given the number of its earlier
/// starts; `None` starts the limiter without one.
type ProductConfig = Box<dyn Fn(LimiterIndex, usize) -> Option<String>>;

/// Runs a scenario against real limiters: processes of `program`, which this function starts and ends. Writes their
/// configurations to `folder`.
///
/// # Errors
/// Returns an error if a socket, file or process operation fails, or if a limiter is not ready in time. Wrong
/// behaviour of limiters is not an error: the records show it.
pub fn run(scenario: &Scenario, program: &Path, folder: &Path) -> io::Result<Vec<Record>> {
    run_measured(scenario, program, folder).map(|report| report.records)
}

/// Like [`run`], and also measures the resources that the limiters use.
///
/// # Errors
/// As [`run`].
pub fn run_measured(scenario: &Scenario, program: &Path, folder: &Path) -> io::Result<RunReport> {
    run_with(scenario, program, folder, |_, _| None)
}

/// Like [`run_measured`], with product configurations: `product_config` is called for each start of a limiter, with the
/// limiter and the number of its earlier starts. It returns `None` for a start without one.
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

/// An event at the time that the scenario's variant chooses for it.
struct ScheduledEvent {
    /// Time since all limiters were ready.
    at: Duration,
    event: ScenarioEvent,
}

/// One run: the shared context, and the program, files and configurations that limiters are started with.
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

    /// Starts the counter and discovery listeners for one limiter, and chooses the limiter's own address.
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

    /// Starts all limiters and waits until they are ready. Returns the start time of the run.
    async fn start_limiters(&self) -> io::Result<Instant> {
        for limiter in self.limiters() {
            self.start_limiter(limiter).await?;
        }
        for limiter in self.limiters() {
            self.record_known_hosts(limiter);
        }
        Ok(Instant::now())
    }

    /// Starts one limiter and waits until it answers `PING`.
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
        timeout(READY_TIMEOUT, ready).await.map_err(|_| {
            io::Error::other(format!(
                "limiter {limiter} did not become ready within {} s",
                READY_TIMEOUT.as_secs()
            ))
        })
    }

    /// Records that a limiter learns the state of each listed host from its configuration.
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

    /// Returns the scenario's events sorted by time.
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
            self.context.record_note(description);
        }
        if let ScenarioEvent::StartLimiter(limiter) = event {
            self.record_known_hosts(limiter);
            return self.start_limiter(limiter).await;
        }
        events::apply(&self.context, event).await;
        Ok(())
    }

    /// Waits until no client waits for an answer, at most until the scenario's end, and then for [`OBSERVATION_TIME`].
    async fn wait_for_answers(&self, start: Instant) {
        let end = start + Duration::from_nanos(self.context.scenario.max_duration);
        while self.context.waiting_clients.get() > 0 && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
        }
        sleep(OBSERVATION_TIME).await;
    }

    /// Kills the limiters and collects the report.
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

/// Returns a loopback address that this process has given to no other limiter. On a shared address another socket could
/// take the limiter's port after it was found to be free and before the limiter binds it.
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
