//! A stage: stand-ins and limiter processes on loopback, and the scenario's steps played before them in real time.

use crate::client::{self, Client};
use crate::counter::{self, CounterDesk};
use crate::discovery::{self, DiscoveryDesk};
use crate::limiter::Process;
use crate::node::{self, NodeDesk};
use quartzcleat_decision::api::{HostEntry, HostId, HostState, Nanos, RequestId};
use quartzcleat_invariants::{Answer, Fact, Record};
use quartzcleat_simulation::host::HostStatus;
use quartzcleat_simulation::oracle::ChoicePoint;
use quartzcleat_simulation::scenario::{option_of_variant, Scenario, ScenarioEvent};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// All that plays share: the scenario, the clock, the records and each stand-in's state. One thread; nothing is
/// borrowed across a wait.
pub struct Stage {
    /// What is played.
    pub scenario: Scenario,
    begin: Instant,
    unix: Nanos,
    records: RefCell<Vec<Record>>,
    pub(crate) nodes: RefCell<Vec<NodeDesk>>,
    pub(crate) counter: RefCell<CounterDesk>,
    pub(crate) discovery: RefCell<DiscoveryDesk>,
    pub(crate) limiters: RefCell<Vec<Process>>,
    /// Requests by their id on the wire.
    pub(crate) asked: RefCell<BTreeMap<RequestId, Asked>>,
    /// Keys and when they first ran, by group.
    pub(crate) keys: RefCell<BTreeMap<(u32, u64), Nanos>>,
    pub(crate) open: Cell<usize>,
    /// Attempts that are at a node, and which.
    flying: RefCell<BTreeMap<(RequestId, u32), usize>>,
    /// What became of errands; `None` while a try is open.
    pub(crate) operations: RefCell<BTreeMap<u64, Option<Answer>>>,
    requests: Cell<u64>,
    ours: Ours,
}

/// What the stage knows of a request.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) class: usize,
    pub(crate) operation: u64,
    /// Attempts that reached a node.
    pub(crate) attempts: u32,
}

/// How long limiters may take to be ready.
const READY: Duration = Duration::from_secs(20);

/// A loopback address that no other limiter of this process has: between finding a free port and the limiter's
/// binding it, nobody else may take it.
fn own_address() -> Ipv4Addr {
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

pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) {
    drop(tokio::task::spawn_local(task));
}

/// Plays a scenario before real limiters: processes of `program`, started and ended here. `folder` takes their
/// configurations.
///
/// # Errors
/// Where loopback or the processes fail; what limiters do wrong is in the records.
pub fn play(scenario: &Scenario, program: &Path, folder: &Path) -> io::Result<Vec<Record>> {
    perform(scenario, program, folder).map(|performed| performed.records)
}

/// What a limiter's process used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// CPU time in nanoseconds.
    pub cpu_ns: u64,
    /// Its largest resident set in kilobytes.
    pub peak_kb: u64,
}

/// A play on sockets and what its limiters used.
#[derive(Clone, Debug, Default)]
pub struct Performed {
    /// What was seen.
    pub records: Vec<Record>,
    /// What each limiter that ran to the end used.
    pub usage: Vec<Usage>,
}

/// As [`play`], with what the limiters used.
///
/// # Errors
/// As there.
pub fn perform(scenario: &Scenario, program: &Path, folder: &Path) -> io::Result<Performed> {
    perform_with(scenario, program, folder, |_, _| None)
}

/// As [`perform`], with files of our own: `ours` is asked for each start of a limiter, by its number and how often it was
/// started before.
///
/// # Errors
/// As there.
pub fn perform_with(
    scenario: &Scenario,
    program: &Path,
    folder: &Path,
    ours: impl Fn(usize, usize) -> Option<String> + 'static,
) -> io::Result<Performed> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (scenario, program, folder) = (scenario.clone(), program.to_owned(), folder.to_owned());
    LocalSet::new().block_on(&runtime, async move {
        run(scenario, &program, folder, Box::new(ours)).await
    })
}

/// Our own file of a limiter, by its number and how often it was started before.
type Ours = Box<dyn Fn(usize, usize) -> Option<String>>;

async fn run(
    scenario: Scenario,
    program: &Path,
    folder: PathBuf,
    ours: Ours,
) -> io::Result<Performed> {
    let stage = Stage::prepare(scenario, program, folder, ours).await?;
    let began = stage.begin().await?;
    let (variant, steps) = (
        stage.scenario.variant.unwrap_or(0),
        stage.scenario.steps.len(),
    );
    let mut due: Vec<(Nanos, usize)> = (0..steps)
        .map(|index| {
            let at = &stage.scenario.steps[index].moments;
            (
                at.get(option_of_variant(variant, ChoicePoint::Moment, 0, at.len()))
                    .copied()
                    .unwrap_or(0),
                index,
            )
        })
        .collect();
    due.sort();
    for (at, index) in due {
        sleep_until(began + Duration::from_nanos(at)).await;
        let what = stage.scenario.steps[index].event.clone();
        stage.happen(what).await?;
    }
    // Until all is answered and a while longer, so that what should not come would be seen.
    let end = began + Duration::from_nanos(stage.scenario.max_duration);
    while stage.open.get() > 0 && Instant::now() < end {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(60)).await;
    let mut processes = std::mem::take(&mut *stage.limiters.borrow_mut());
    let usage = processes.iter().map(Process::usage).collect();
    for process in &mut processes {
        process.kill().await;
    }
    let records = std::mem::take(&mut *stage.records.borrow_mut());
    Ok(Performed { records, usage })
}

impl Stage {
    async fn prepare(
        scenario: Scenario,
        program: &Path,
        folder: PathBuf,
        ours: Ours,
    ) -> io::Result<Rc<Stage>> {
        let unix = SystemTime::UNIX_EPOCH
            .elapsed()
            .map_or(0, |age| age.as_nanos() as Nanos);
        let limiters = scenario.processes.limiters.len();
        let mut nodes = Vec::new();
        for setup in &scenario.hosts {
            nodes.push(NodeDesk::bind(setup, limiters, unix).await?);
        }
        let counter = CounterDesk::new(&scenario.counter);
        let discovery = DiscoveryDesk::new(limiters);
        let stage = Rc::new(Stage {
            begin: Instant::now(),
            unix,
            records: RefCell::default(),
            nodes: RefCell::new(nodes),
            counter: RefCell::new(counter),
            discovery: RefCell::new(discovery),
            limiters: RefCell::default(),
            asked: RefCell::default(),
            keys: RefCell::default(),
            open: Cell::new(0),
            flying: RefCell::default(),
            operations: RefCell::default(),
            requests: Cell::new(0),
            ours,
            scenario,
        });
        let listed: Vec<usize> = (0..stage.scenario.hosts.len())
            .filter(|node| !stage.scenario.hosts[*node].absent)
            .collect();
        for node in listed {
            stage.discovery.borrow_mut().hold(node);
        }
        for number in 0..limiters {
            let counter = TcpListener::bind("127.0.0.1:0").await?;
            let discovery = TcpListener::bind("127.0.0.1:0").await?;
            let listen = TcpListener::bind((own_address(), 0)).await?.local_addr()?;
            let process = Process::new(
                program,
                folder.join(format!("limiter-{number}.json")),
                listen,
                discovery.local_addr()?,
                counter.local_addr()?,
            );
            stage.limiters.borrow_mut().push(process);
            spawn(counter::serve(stage.clone(), number, counter));
            spawn(discovery::serve(stage.clone(), number, discovery));
        }
        for node in 0..stage.scenario.hosts.len() {
            node::open(&stage, node);
        }
        Ok(stage)
    }

    /// Starts the limiters and waits until all are ready; when the play begins.
    async fn begin(self: &Rc<Self>) -> io::Result<Instant> {
        for number in 0..self.scenario.processes.limiters.len() {
            self.start(number).await?;
        }
        // The counter turns nothing away from here on, and what follows is counted from this moment.
        for number in 0..self.scenario.processes.limiters.len() {
            let held = self.discovery.borrow().held();
            for node in held {
                let state = self.scenario.hosts[node].state;
                self.note(Fact::HostStateLearned {
                    limiter: number,
                    host: node,
                    state,
                });
            }
        }
        Ok(Instant::now())
    }

    async fn start(self: &Rc<Self>, number: usize) -> io::Result<()> {
        let config = self.config(number);
        let (address, spawned) = {
            let mut limiters = self.limiters.borrow_mut();
            let process = &mut limiters[number];
            let ours = (self.ours)(number, process.starts);
            (process.listen, process.start(&config, ours))
        };
        spawned?;
        let ready = timeout(READY, async {
            while client::ping(address).await.is_err() {
                sleep(Duration::from_millis(5)).await;
            }
        });
        ready
            .await
            .map_err(|_| io::Error::other(format!("limiter {number} is not ready")))
    }

    fn config(&self, number: usize) -> serde_json::Value {
        let mut settings = self.scenario.settings.clone();
        settings.me = number as u32;
        settings.limiter_count = self.scenario.processes.limiters.len() as u32;
        settings.zone = self.scenario.processes.limiters[number].zone;
        let limiters = self.limiters.borrow();
        let process = &limiters[number];
        let held = self.discovery.borrow().held();
        serde_json::json!({
            "name": self.scenario.processes.limiters[number].name,
            "listen": process.listen.to_string(),
            "discovery": process.discovery.to_string(),
            "counter": process.counter.to_string(),
            "seed": format!("{:016x}", 0x9e37_79b9 + number as u64),
            "limits": { "cores": 1.0, "memory_mb": 64, "sockets": 512 },
            "known": self.list(number, true, &held),
            "settings": quartzcleat_config::platform::encode(&settings, &self.scenario.processes.zones),
        })
    }

    /// Hosts as discovery tells them to a limiter.
    pub(crate) fn list(&self, limiter: usize, whole: bool, nodes: &[usize]) -> serde_json::Value {
        let desks = self.nodes.borrow();
        let entry = |node: &usize| {
            let (desk, process, entry) = (
                &desks[*node],
                &self.scenario.processes.hosts[*node],
                self.entry(*node, &desks),
            );
            serde_json::json!({
                "instanceId": process.name,
                "hostPort": desk.addresses[limiter].to_string(),
                "zone": self.scenario.processes.zones.get(process.zone as usize).map_or("a", String::as_str),
                "machineType": "node",
                "cell": process.cell,
                "lifecycle": match entry.state {
                    HostState::Ready => "SERVING",
                    HostState::Draining => "DRAINING",
                    HostState::Gone => "DELETED",
                },
                "weight": entry.weight,
                "startedAtMs": entry.started / 1_000_000,
            })
        };
        let instances: Vec<_> = nodes.iter().map(entry).collect();
        let generation = self.discovery.borrow().generation();
        serde_json::json!({"generation": generation, "reset": whole, "instances": instances})
    }

    fn entry(&self, node: usize, desks: &[NodeDesk]) -> HostEntry {
        let (process, setup, model) = (
            &self.scenario.processes.hosts[node],
            &self.scenario.hosts[node],
            &desks[node].model,
        );
        let state = match (model.status, model.draining) {
            (HostStatus::Dead, _) => HostState::Gone,
            (_, true) => HostState::Draining,
            _ => HostState::Ready,
        };
        let (host, cell, zone, weight) = (
            HostId(node as u32),
            process.cell,
            process.zone,
            setup.weight,
        );
        HostEntry {
            host,
            state,
            cell,
            zone,
            kind: 0,
            started: model.started,
            weight,
        }
    }

    /// The state of a host as discovery has it now.
    pub(crate) fn state(&self, node: usize) -> HostState {
        self.entry(node, &self.nodes.borrow()).state
    }

    /// The play's clock: Unix time, advanced by the monotonic clock.
    pub(crate) fn now(&self) -> Nanos {
        self.unix + self.begin.elapsed().as_nanos() as Nanos
    }

    /// An id that no request of this play had.
    pub(crate) fn request(&self) -> RequestId {
        self.requests.set(self.requests.get() + 1);
        RequestId(self.requests.get())
    }

    /// The attempts that are at a node.
    pub(crate) fn flying(&self, node: usize) -> Vec<(RequestId, u32)> {
        self.flying
            .borrow()
            .iter()
            .filter(|(_, at)| **at == node)
            .map(|(key, _)| *key)
            .collect()
    }

    pub(crate) fn note(&self, fact: Fact) {
        match &fact {
            Fact::AttemptSent {
                request,
                attempt,
                host,
                ..
            } => {
                self.flying.borrow_mut().insert((*request, *attempt), *host);
            }
            // Each ends once, whoever sees it first.
            Fact::AttemptEnded {
                request, attempt, ..
            } => {
                let first = self
                    .flying
                    .borrow_mut()
                    .remove(&(*request, *attempt))
                    .is_some();
                if !first {
                    return;
                }
            }
            _ => {}
        }
        let at = self.now();
        self.records.borrow_mut().push(Record { at, fact });
    }

    /// The one-way delay that stands for the way between a limiter and a host.
    pub(crate) fn way(&self, limiter: usize, node: usize) -> Duration {
        let (processes, net) = (&self.scenario.processes, &self.scenario.network);
        let same = processes.limiters[limiter].zone == processes.hosts[node].zone;
        Duration::from_nanos(if same { net.same_zone } else { net.cross_zone })
    }

    async fn happen(self: &Rc<Self>, what: ScenarioEvent) -> io::Result<()> {
        let host = |node: usize| self.scenario.processes.host(node).to_owned();
        match what {
            ScenarioEvent::Request(ask) => {
                self.open.set(self.open.get() + 1);
                let stage = self.clone();
                spawn(async move {
                    Client::new(stage.clone()).run(ask).await;
                    stage.open.set(stage.open.get() - 1);
                });
            }
            ScenarioEvent::DrainHost(node) => {
                self.note(Fact::Note(format!("{} begins to drain", host(node))));
                self.nodes.borrow_mut()[node].model.draining = true;
                self.changed(node);
            }
            ScenarioEvent::KillHost(node) => {
                self.note(Fact::Note(format!("{}'s process dies", host(node))));
                node::end(self, node, HostStatus::Dead);
                self.changed(node);
            }
            ScenarioEvent::IsolateHost(node) => {
                self.note(Fact::Note(format!("{}'s machine vanishes", host(node))));
                node::end(self, node, HostStatus::Unreachable);
            }
            ScenarioEvent::StartHost(node) => {
                self.begin_node(node);
                self.changed(node);
            }
            ScenarioEvent::ReplaceHost { old, new } => {
                self.note(Fact::Note(format!(
                    "{} is replaced by {} at its address",
                    host(old),
                    host(new)
                )));
                node::end(self, old, HostStatus::Dead);
                {
                    let mut nodes = self.nodes.borrow_mut();
                    nodes[new].addresses = nodes[old].addresses.clone();
                }
                self.changed(old);
                // The old process's sockets are closed once its tasks have seen their end.
                sleep(Duration::from_millis(1)).await;
                self.begin_node(new);
                self.changed(new);
            }
            ScenarioEvent::SetHostSpeed { host: node, speed } => {
                self.note(Fact::Note(format!(
                    "{} goes at {speed} of the yardstick",
                    host(node)
                )));
                self.nodes.borrow_mut()[node].model.speed = speed.max(1e-3);
            }
            ScenarioEvent::SetCounterMode(mode) => {
                self.note(Fact::Note(
                    format!("the counter is now {mode:?}").to_lowercase(),
                ));
                self.counter.borrow_mut().model.mode = mode;
            }
            ScenarioEvent::ClearCounter => {
                self.note(Fact::Note("the counter comes back empty".to_owned()));
                self.counter.borrow_mut().model.clear();
            }
            ScenarioEvent::SetDiscovery(on) => {
                self.note(Fact::Note(format!(
                    "discovery {}",
                    if on { "tells again" } else { "falls silent" }
                )));
                self.discovery.borrow_mut().speak(on);
            }
            ScenarioEvent::KillLimiter(number) => {
                self.note(Fact::LimiterDied { limiter: number });
                let mut process = self.limiters.borrow_mut()[number].take();
                process.kill().await;
                self.limiters.borrow_mut()[number] = process;
            }
            ScenarioEvent::StartLimiter(number) => {
                self.note(Fact::Note(format!(
                    "{} starts again",
                    self.scenario.processes.limiter(number)
                )));
                for node in self.discovery.borrow().held() {
                    self.note(Fact::HostStateLearned {
                        limiter: number,
                        host: node,
                        state: self.state(node),
                    });
                }
                self.start(number).await?;
            }
        }
        Ok(())
    }

    fn begin_node(self: &Rc<Self>, node: usize) {
        let now = self.now();
        self.nodes.borrow_mut()[node].model.start(now);
        self.note(Fact::HostStarted { host: node });
        node::open(self, node);
    }

    /// Discovery learns of a change, and tells each limiter after its lag.
    pub(crate) fn changed(self: &Rc<Self>, node: usize) {
        let discovery_delays = &self.scenario.discovery_delays;
        let variant = self.scenario.variant.unwrap_or(0);
        let lag = discovery_delays
            .get(option_of_variant(
                variant,
                ChoicePoint::DiscoveryDelay,
                0,
                discovery_delays.len(),
            ))
            .copied()
            .unwrap_or(0);
        let state = self.state(node);
        let number = self
            .discovery
            .borrow_mut()
            .change(node, state == HostState::Gone);
        let stage = self.clone();
        spawn(async move {
            sleep(Duration::from_nanos(lag)).await;
            stage.discovery.borrow_mut().publish(number);
        });
    }

    /// Where a limiter takes clients, while it runs.
    pub(crate) fn limiter(&self, number: usize) -> Option<SocketAddr> {
        let limiters = self.limiters.borrow();
        limiters
            .get(number)
            .filter(|process| process.runs())
            .map(|process| process.listen)
    }
}
