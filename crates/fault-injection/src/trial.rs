//! One run of a scenario: starts the links, the target and the limiters, and injects the faults of the seed's schedule.

use crate::limiter::Limiter;
use crate::limiter_config::{clock_line, product_config};
use crate::link::{DatagramLink, StreamLink};
use crate::network::{limiter_ip, Network};
use crate::scenario::{Fault, FaultKind, FaultTarget, Scenario};
use crate::target::Target;
use crate::testbed::{RunReport, Testbed};
use crate::verdict::{Mark, MarkEvent};
use quartzcleat_decision::api::LimiterIndex;
use quartzcleat_fakes::process::{ProcessFiles, Signal};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, sleep_until, Instant};

/// How long an action takes at the target.
const ACTION_TIME: Duration = Duration::from_millis(5);
/// The interval between resets while [`FaultKind::ResetConnections`] lasts.
const RESET_INTERVAL: Duration = ACTION_TIME;
/// The name of the file with the key that all limiters share.
const KEY_FILE: &str = "key";

/// A run whose limiters are started.
pub(crate) struct Trial {
    scenario: Scenario,
    seed: u64,
    network: Network,
    /// Each limiter's link to the target, by limiter index.
    target_links: Vec<Rc<StreamLink>>,
    clock_rng: RefCell<fastrand::Rng>,
    /// The limiters by index; `None` while a fault keeps one stopped. Empty after the end of the run.
    limiters: RefCell<Vec<Option<Limiter>>>,
    target: Rc<Target>,
    marks: RefCell<Vec<Mark>>,
}

impl Trial {
    /// Opens the links and the target, and starts all limiters.
    pub(crate) async fn start(
        scenario: &Scenario,
        seed: u64,
        testbed: &Testbed,
    ) -> std::io::Result<Rc<Trial>> {
        std::fs::create_dir_all(&testbed.folder)?;
        std::fs::write(testbed.folder.join(KEY_FILE), seed.to_be_bytes())?;
        let target = Target::new(testbed.checks_tokens, ACTION_TIME);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target_address = listener.local_addr()?;
        tokio::task::spawn_local(target.clone().serve(listener));
        let mut trial = Trial {
            scenario: scenario.clone(),
            seed,
            network: Network::open(scenario, seed).await?,
            target_links: Vec::new(),
            clock_rng: RefCell::new(fastrand::Rng::with_seed(seed.rotate_left(7))),
            limiters: RefCell::default(),
            target,
            marks: RefCell::default(),
        };
        for limiter in scenario.limiter_indices() {
            let link = StreamLink::open(target_address).await?;
            let mut started = trial.prepare_limiter(limiter, link.address(), testbed)?;
            started.start(&trial.random_clock_line())?;
            trial.target_links.push(link);
            trial.limiters.borrow_mut().push(Some(started));
        }
        Ok(Rc::new(trial))
    }

    fn prepare_limiter(
        &self,
        limiter: LimiterIndex,
        target: SocketAddr,
        testbed: &Testbed,
    ) -> std::io::Result<Limiter> {
        let key_file = testbed.folder.join(KEY_FILE);
        let product_config =
            product_config(&self.scenario, &key_file, limiter, &self.network, target)?;
        let files = ProcessFiles::in_folder(&testbed.folder, &limiter.to_string());
        let port = self.network.address(limiter).port();
        let listen = SocketAddr::from((limiter_ip(self.seed, limiter), port));
        let mut platform_config: serde_json::Value =
            serde_json::from_str(&testbed.platform_config)?;
        platform_config["listen"] = listen.to_string().into();
        std::fs::write(&files.platform_config, platform_config.to_string())?;
        let program = program_of(testbed, limiter);
        Ok(Limiter::new(program, files, product_config))
    }

    fn random_clock_line(&self) -> String {
        clock_line(&self.scenario.clocks, &mut self.clock_rng.borrow_mut())
    }

    /// Injects the faults of the schedule and returns the observations up to the scenario's end.
    pub(crate) async fn run(self: Rc<Self>) -> RunReport {
        let start = Instant::now();
        let mut rng = fastrand::Rng::with_seed(!self.seed);
        for fault in self.scenario.schedule(self.seed) {
            sleep_until(start + fault.at).await;
            for limiter in self.affected_limiters(fault.target, &mut rng) {
                tokio::task::spawn_local(self.clone().inject(limiter, fault));
            }
        }
        sleep_until(start + self.scenario.duration).await;
        self.finish(start).await
    }

    /// Returns the limiters that a fault affects. While no action was accepted, a random limiter stands for the holder.
    fn affected_limiters(&self, target: FaultTarget, rng: &mut fastrand::Rng) -> Vec<LimiterIndex> {
        let mut random = || LimiterIndex::from_usize(rng.usize(..self.scenario.limiters));
        match target {
            FaultTarget::All => self.scenario.limiter_indices().collect(),
            FaultTarget::Random => vec![random()],
            FaultTarget::LeaseHolder => {
                let holder = self.target.lease_holder();
                vec![holder.unwrap_or_else(random)]
            }
        }
    }

    /// Kills the limiters and collects the report.
    async fn finish(&self, start: Instant) -> RunReport {
        let mut report = RunReport::default();
        let limiters = std::mem::take(&mut *self.limiters.borrow_mut());
        for mut limiter in limiters.into_iter().flatten() {
            let usage = limiter.process.usage();
            report.cpu += Duration::from_nanos(usage.cpu_ns);
            report.peak_kb = report.peak_kb.max(usage.peak_kb);
            limiter.process.kill().await;
        }
        report.actions = self.target.actions();
        report.marks.clone_from(&self.marks.borrow());
        report.traffic = self.network.traffic();
        report.duration = start.elapsed();
        report
    }

    /// Injects a fault at a limiter and waits until it is over.
    async fn inject(self: Rc<Self>, limiter: LimiterIndex, fault: Fault) {
        self.mark(limiter, MarkEvent::Began(fault.kind));
        match fault.kind {
            FaultKind::Pause => return self.pause(limiter, fault.duration).await,
            FaultKind::Kill | FaultKind::Terminate => return self.restart(limiter, fault).await,
            FaultKind::DelayActions => {
                let _closed = self.target_links[limiter.as_usize()].to_target.close();
                sleep(fault.duration).await;
            }
            FaultKind::DelayAnswers => {
                let _closed = self.target_links[limiter.as_usize()].from_target.close();
                sleep(fault.duration).await;
            }
            FaultKind::ResetConnections => self.reset_connections(limiter, fault.duration).await,
            FaultKind::Isolate
            | FaultKind::DropOutbound
            | FaultKind::DropInbound
            | FaultKind::Partition => {
                let links = self.network.links_cut_by(fault.kind, limiter);
                let _cuts: Vec<_> = links.iter().map(DatagramLink::cut).collect();
                sleep(fault.duration).await;
            }
        }
        self.mark(limiter, MarkEvent::Over(fault.kind));
    }

    async fn pause(&self, limiter: LimiterIndex, duration: Duration) {
        self.signal(limiter, Signal::SIGSTOP);
        sleep(duration).await;
        // Marked before the process resumes, so that none of its later actions counts as made during the pause.
        self.mark(limiter, MarkEvent::Over(FaultKind::Pause));
        self.signal(limiter, Signal::SIGCONT);
    }

    async fn restart(&self, limiter: LimiterIndex, fault: Fault) {
        let stopped = self
            .limiters
            .borrow_mut()
            .get_mut(limiter.as_usize())
            .and_then(Option::take);
        // If another fault has stopped the limiter, that fault also restarts it.
        let Some(mut stopped) = stopped else { return };
        if fault.kind == FaultKind::Terminate {
            stopped.process.terminate().await;
        } else {
            stopped.process.kill().await;
        }
        sleep(fault.duration).await;
        let event = match stopped.start(&self.random_clock_line()) {
            Ok(()) => MarkEvent::Over(fault.kind),
            Err(_) => MarkEvent::StartFailed,
        };
        self.mark(limiter, event);
        // After the end of the run the list is empty, and the process is killed when it is dropped here.
        if let Some(slot) = self.limiters.borrow_mut().get_mut(limiter.as_usize()) {
            *slot = Some(stopped);
        }
    }

    async fn reset_connections(&self, limiter: LimiterIndex, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.target_links[limiter.as_usize()].reset_connections();
            sleep(RESET_INTERVAL).await;
        }
    }

    fn signal(&self, limiter: LimiterIndex, signal: Signal) {
        if let Some(Some(running)) = self.limiters.borrow().get(limiter.as_usize()) {
            running.process.signal(signal);
        }
    }

    /// Records a fault's event with the target's current time.
    fn mark(&self, limiter: LimiterIndex, event: MarkEvent) {
        let at = self.target.now();
        self.marks.borrow_mut().push(Mark { at, limiter, event });
    }
}

/// Returns the build that a limiter runs.
fn program_of(testbed: &Testbed, limiter: LimiterIndex) -> &Path {
    match &testbed.alternate_program {
        Some(alternate) if limiter.0 % 2 == 1 => alternate,
        _ => &testbed.program,
    }
}
