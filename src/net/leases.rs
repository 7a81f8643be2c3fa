//! Leases at work: the votes and bids of `quartzcleat_lease` on datagrams, and the tasks of whoever holds one. Off
//! without a section `lease` in our own file. Decides nothing itself.

use super::peers::{Datagram, DatagramKind, DropReason, Peers};
use super::shutdown::{unix, Phase, Shutdown};
use super::task::spawn;
use super::usage_export::{self, Exporter, Heard, UsageRecorder, MOST_AT_ONCE};
use quartzcleat_config::lease::{Clock, Does, Lease, Task};
use quartzcleat_lease::{
    stagger_delay, Acceptor, Body, FencingToken, LeaseTiming, Message, Nanos, PermittedOperation,
    Proposer, ProposerConfig, SharedKey, MAX_MESSAGE_BYTES,
};
use quartzcleat_usage_export::Message as Told;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// The longest answer of a target, in bytes.
const ANSWER: u64 = 128;
/// The longest time until bids are looked at again.
const LOOK: Nanos = 1_000_000_000;
/// How often the own address is tried again while the process before this one still has it.
const AGAIN: Duration = Duration::from_millis(200);

/// How often it is looked whether the last act is over, before a lease is given up.
const ACTS_END: Duration = Duration::from_millis(2);

/// This process's clock, as leases are reckoned by it. It runs wrong where a trial's file says so: the same in all that
/// is decided, which a clock set by the trial's supervisor from outside could not be.
struct Ticks {
    began: Instant,
    rate: f64,
}

impl Ticks {
    fn new(clock: Clock) -> Self {
        Ticks {
            began: Instant::now(),
            rate: 1.0 + clock.fast as f64 / 1_000.0,
        }
    }

    fn now(&self) -> Nanos {
        (self.began.elapsed().as_nanos() as f64 * self.rate) as Nanos
    }

    /// When this clock will show a time.
    fn at(&self, shown: Nanos) -> Instant {
        self.began + Duration::from_nanos((shown as f64 / self.rate) as Nanos)
    }
}

/// Votes, bids and acts of this process.
struct Leases {
    ticks: Ticks,
    peers: Peers,
    me: u32,
    limiters: u32,
    voters: Vec<u32>,
    voter: RefCell<Acceptor>,
    bids: RefCell<Vec<Proposer>>,
    /// Whether each task's lease was held when last looked.
    held: RefCell<Vec<Option<FencingToken>>>,
    /// Acts under way.
    acting: Cell<usize>,
    news: Notify,
    names: Vec<String>,
    /// The export of use: its task, and what is held of the sink and of the own use.
    export: Option<(usize, Task, Exporter, Rc<UsageRecorder>)>,
}

/// The spool of this limiter, where use is exported.
///
/// # Errors
/// Where it cannot be written.
pub fn usage_recorder(lease: &Lease) -> Result<Option<Rc<UsageRecorder>>, String> {
    let spool = lease.tasks.iter().find_map(|task| match &task.does {
        Does::Export { spool, .. } => Some(spool),
        Does::Beat(_) => None,
    });
    spool
        .map(|spool| UsageRecorder::open(&lease.me, spool, lease.die).map(Rc::new))
        .transpose()
}

/// Starts voting, bidding and acting; once the process before this one has left its address, if there is one. Two
/// processes of one limiter are one voter: the later one is quiet as after any start.
///
/// # Errors
/// Where the key cannot be read or the own address is not to be had; what to do about it.
pub async fn start(
    lease: Lease,
    shutdown: &Shutdown,
    usage_recorder: Option<Rc<UsageRecorder>>,
) -> Result<(), String> {
    let secret = std::fs::read(&lease.key);
    let secret =
        secret.map_err(|e| format!("lease.key: cannot read {}: {e}", lease.key.display()))?;
    if secret.is_empty() {
        return Err(format!(
            "lease.key: {} is empty; put some random bytes there",
            lease.key.display()
        ));
    }
    let key = SharedKey::new(&secret);
    let mut phases = shutdown.subscribe_phase();
    let me = lease
        .limiters
        .keys()
        .position(|name| *name == lease.me)
        .unwrap_or_default() as u32;
    let addresses: Vec<_> = lease.limiters.values().copied().collect();
    match Peers::bind(key.clone(), me, addresses.clone()).await {
        Ok(peers) => begin(lease, peers, me, phases, usage_recorder),
        Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
            tracing::info!("leases wait until {} is free", addresses[me as usize]);
            spawn(async move {
                while *phases.borrow_and_update() == Phase::Serving {
                    sleep(AGAIN).await;
                    if let Ok(peers) = Peers::bind(key.clone(), me, addresses.clone()).await {
                        return begin(lease, peers, me, phases, usage_recorder);
                    }
                }
            });
        }
        Err(e) => {
            return Err(format!(
                "lease.limiters.{}: cannot listen on {}: {e}",
                lease.me, addresses[me as usize]
            ))
        }
    }
    Ok(())
}

fn begin(
    lease: Lease,
    peers: Peers,
    me: u32,
    mut phases: watch::Receiver<Phase>,
    usage_recorder: Option<Rc<UsageRecorder>>,
) {
    let names: Vec<String> = lease.limiters.keys().cloned().collect();
    let number = |name: &String| {
        names
            .iter()
            .position(|other| other == name)
            .unwrap_or_default() as u32
    };
    let terms = LeaseTiming {
        duration: lease.length.as_nanos() as Nanos,
        drift_per_mille: lease.drift,
    };
    if lease.clock != Clock::default() {
        tracing::warn!(
            "lease.clock: the clocks of this process are wrong on purpose, as in a trial"
        );
    }
    let round = unix().saturating_add_signed(lease.clock.ahead) / 1_000_000;
    // Another for each process of this limiter.
    let boot = (unix() >> 10) as u32 ^ std::process::id().rotate_left(16);
    let bid = |task: &Task| {
        let config = ProposerConfig {
            timing: terms,
            task: task.name.clone(),
            node_id: me,
            incarnation: boot,
            acceptor_count: lease.voters.len(),
            initial_round: round,
        };
        let mut bidder = Proposer::new(config, 0);
        // All ranks have had their turn within a lease.
        bidder.set_stagger_delay(
            0,
            stagger_delay(&task.name, &lease.me, &names, terms.duration / 32),
        );
        bidder
    };
    let exports = |(index, task): (usize, &Task)| match (&task.does, &usage_recorder) {
        (Does::Export { sink, .. }, Some(usage_recorder)) => Some((
            index,
            task.clone(),
            Exporter::new(sink),
            usage_recorder.clone(),
        )),
        _ => None,
    };
    let export = lease.tasks.iter().enumerate().find_map(exports);
    let leases = Rc::new(Leases {
        ticks: Ticks::new(lease.clock),
        peers,
        me,
        limiters: names.len() as u32,
        voters: lease.voters.iter().map(number).collect(),
        voter: RefCell::new(Acceptor::new(terms, 0)),
        bids: RefCell::new(lease.tasks.iter().map(bid).collect()),
        held: RefCell::new(vec![None; lease.tasks.len()]),
        acting: Cell::default(),
        news: Notify::new(),
        names: names.clone(),
        export,
    });
    for (index, task) in lease.tasks.into_iter().enumerate() {
        match task.does {
            Does::Beat(target) => spawn(leases.clone().work(index, task, target)),
            Does::Export { .. } => spawn(leases.clone().export()),
        }
    }
    spawn(leases.clone().listen());
    spawn(leases.clone().bid());
    spawn(async move {
        if phases
            .wait_for(|phase| *phase != Phase::Serving)
            .await
            .is_ok()
        {
            leases.give_up().await;
        }
    });
}

impl Leases {
    fn now(&self) -> Nanos {
        self.ticks.now()
    }

    async fn listen(self: Rc<Self>) {
        loop {
            let Datagram {
                kind,
                sender,
                payload: bytes,
            } = self.peers.receive().await;
            if kind == DatagramKind::UsageExport {
                match (Told::read(&bytes), self.names.get(sender as usize)) {
                    (Ok(told), Some(name)) => self.hear_of_use(sender, name, told),
                    _ => self.peers.count_drop(DropReason::Malformed),
                }
                continue;
            }
            let message = Message::decode(&bytes)
                .ok()
                .filter(|_| kind == DatagramKind::Lease && bytes.len() <= MAX_MESSAGE_BYTES);
            match message {
                Some(message) => self.hear(sender, &message),
                None => self.peers.count_drop(DropReason::Malformed),
            }
        }
    }

    /// Takes a message of another limiter's or the own one's.
    fn hear(self: &Rc<Self>, sender: u32, message: &Message) {
        match message.body {
            // Nobody bids in another's name.
            Body::Prepare | Body::Propose | Body::Release if message.ballot.proposer != sender => {
                self.peers.count_drop(DropReason::Unauthorized);
            }
            Body::Prepare | Body::Propose | Body::Release => {
                if message.body == Body::Release {
                    let now = self.now();
                    self.bids
                        .borrow_mut()
                        .iter_mut()
                        .for_each(|bid| bid.handle_release(now, message));
                    self.news.notify_one();
                }
                if !self.voters.contains(&self.me) {
                    return;
                }
                let answer = self.voter.borrow_mut().handle(self.now(), message);
                if let Some(body) = answer {
                    self.say(
                        sender,
                        &Message {
                            body,
                            ..message.clone()
                        },
                    );
                }
            }
            Body::Promise | Body::Reject { .. } | Body::Accepted
                if self.voters.contains(&sender) =>
            {
                let now = self.now();
                let more: Vec<Message> = {
                    let mut bids = self.bids.borrow_mut();
                    bids.iter_mut()
                        .filter_map(|bid| bid.handle_response(now, sender, message))
                        .collect()
                };
                more.iter().for_each(|message| self.ask(message));
                self.look();
                self.news.notify_one();
            }
            _ => self.peers.count_drop(DropReason::Unauthorized),
        }
    }

    fn say(self: &Rc<Self>, to: u32, message: &Message) {
        if to == self.me {
            return self.hear(to, message);
        }
        let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
        message.encode(&mut bytes);
        self.peers.send(to, DatagramKind::Lease, &bytes);
    }

    /// Sends a message to all voters.
    fn ask(self: &Rc<Self>, message: &Message) {
        for voter in &self.voters {
            self.say(*voter, message);
        }
    }

    /// Bids where that is due.
    async fn bid(self: Rc<Self>) {
        loop {
            let now = self.now();
            let asked: Vec<Message> = self
                .bids
                .borrow_mut()
                .iter_mut()
                .filter_map(|bid| bid.tick(now))
                .collect();
            asked.iter().for_each(|message| self.ask(message));
            self.look();
            let due = self
                .bids
                .borrow()
                .iter()
                .map(Proposer::next_deadline)
                .min()
                .unwrap_or(Nanos::MAX);
            // Some of it may be due already: its answers have to be heard first.
            let until = due.clamp(now + 1_000_000, now + LOOK);
            tokio::select! {
                () = sleep_until(self.ticks.at(until)) => {}
                () = self.news.notified() => {}
            }
        }
    }

    /// Tells the log what has changed hands.
    fn look(&self) {
        let now = self.now();
        for (held, bid) in self
            .held
            .borrow_mut()
            .iter_mut()
            .zip(self.bids.borrow().iter())
        {
            let token = bid.guard(now).map(|guard| guard.token());
            if *held != token {
                let (task, round) = (bid.task(), token.map(|token| token.round));
                tracing::info!(
                    task,
                    round,
                    "lease {}",
                    if round.is_some() { "taken" } else { "over" }
                );
                *held = token;
            }
        }
    }

    /// Cuts batches of the own use, and fetches all limiters' while the lease of the export is held.
    async fn export(self: Rc<Self>) {
        let Some((index, task, exporter, usage_recorder)) = &self.export else {
            return;
        };
        let mut looked = 0;
        loop {
            sleep(task.every).await;
            let now = self.now();
            if now >= looked + usage_export::LOOK {
                looked = now;
                usage_recorder.adopt();
            }
            usage_recorder.cut();
            let guard = self.bids.borrow()[*index].guard(now);
            let Some(token) = guard.map(|guard| guard.token()) else {
                continue;
            };
            if let Err(e) = exporter.begin(token) {
                tracing::warn!(task = task.name, "the sink cannot be read: {e}");
                continue;
            }
            for _ in 0..MOST_AT_ONCE {
                let Some(written) = usage_recorder.first() else {
                    break;
                };
                let (epoch, number) = (written.source.epoch, written.batch.number);
                if !self.write(&written) {
                    break;
                }
                usage_recorder.exported(epoch, number);
            }
            for limiter in (0..self.limiters).filter(|limiter| *limiter != self.me) {
                self.peers
                    .send(limiter, DatagramKind::UsageExport, &Told::Want.write());
            }
        }
    }

    /// Writes a batch to the sink, where the guard allows it.
    fn write(&self, written: &quartzcleat_usage_export::Written) -> bool {
        let Some((index, task, exporter, usage_recorder)) = &self.export else {
            return false;
        };
        let now = self.now();
        let guard = self.bids.borrow()[*index].guard(now);
        let act = guard.and_then(|guard| guard.permit(now, task.longest.as_nanos() as Nanos));
        let Some(act) = act else { return false };
        match exporter.write(act, written, usage_recorder) {
            Ok(()) => true,
            Err(e) => {
                tracing::warn!(
                    task = task.name,
                    "a batch cannot be written to the sink: {e}"
                );
                false
            }
        }
    }

    /// Takes a message of the export.
    fn hear_of_use(&self, sender: u32, name: &str, told: Told) {
        let Some((.., usage_recorder)) = &self.export else {
            return;
        };
        match usage_export::hear(usage_recorder, name, told) {
            Heard::Answer(answer) => {
                self.peers
                    .send(sender, DatagramKind::UsageExport, &answer.write());
            }
            Heard::Batch(written) => {
                let (epoch, number) = (written.source.epoch, written.batch.number);
                if self.write(&written) {
                    self.peers.send(
                        sender,
                        DatagramKind::UsageExport,
                        &Told::Have { epoch, number }.write(),
                    );
                    self.peers
                        .send(sender, DatagramKind::UsageExport, &Told::Want.write());
                }
            }
            Heard::Nothing => {}
        }
    }

    /// Acts for the fleet, while the lease is held.
    async fn work(self: Rc<Self>, index: usize, task: Task, target: SocketAddr) {
        let mut number = 0u64;
        loop {
            sleep(task.every).await;
            let now = self.now();
            let guard = self.bids.borrow()[index].guard(now);
            let Some(act) =
                guard.and_then(|guard| guard.permit(now, task.longest.as_nanos() as Nanos))
            else {
                continue;
            };
            number += 1;
            self.acting.set(self.acting.get() + 1);
            let done = timeout_at(
                self.ticks.at(act.deadline),
                beat(&task.name, target, act, number),
            )
            .await;
            self.acting.set(self.acting.get() - 1);
            match done {
                Ok(Ok(None)) => {}
                Ok(Ok(Some(seen))) => {
                    tracing::warn!(
                        task = task.name,
                        "a later holder has acted: the lease is dropped"
                    );
                    self.bids.borrow_mut()[index].handle_stale_token(self.now(), seen);
                }
                Ok(Err(e)) => tracing::warn!(task = task.name, "the target does not answer: {e}"),
                Err(_) => tracing::warn!(task = task.name, "an act did not end in time"),
            }
        }
    }

    /// Gives all leases up, once the acts under way are over: nothing new is begun meanwhile.
    async fn give_up(self: Rc<Self>) {
        let now = self.now();
        let given: Vec<Message> = self
            .bids
            .borrow_mut()
            .iter_mut()
            .filter_map(|bid| bid.release(now))
            .collect();
        while self.acting.get() > 0 {
            sleep(ACTS_END).await;
        }
        // The voters first: who bids next asks them.
        given.iter().for_each(|message| self.ask(message));
        let others = (0..self.limiters).filter(|limiter| !self.voters.contains(limiter));
        others.for_each(|limiter| given.iter().for_each(|message| self.say(limiter, message)));
        self.look();
    }
}

/// One act: a line with the token, which the target checks. What it has seen where that is greater.
async fn beat(
    task: &str,
    target: SocketAddr,
    act: PermittedOperation,
    number: u64,
) -> std::io::Result<Option<FencingToken>> {
    let FencingToken {
        round,
        proposer,
        incarnation,
    } = act.token;
    let mut stream = BufReader::new(TcpStream::connect(target).await?);
    let line = format!("ACT {task} {round} {proposer} {incarnation} {number}\n");
    stream.write_all(line.as_bytes()).await?;
    let mut answer = String::new();
    stream.take(ANSWER).read_line(&mut answer).await?;
    let words: Vec<&str> = answer.split_whitespace().collect();
    let spoilt = || {
        std::io::Error::other(format!(
            "{answer:?} is neither OK nor OUTDATED with a token"
        ))
    };
    match words.as_slice() {
        ["OK"] => Ok(None),
        ["OUTDATED", round, bidder, boot] => match (round.parse(), bidder.parse(), boot.parse()) {
            (Ok(round), Ok(proposer), Ok(incarnation)) => Ok(Some(FencingToken {
                round,
                proposer,
                incarnation,
            })),
            _ => Err(spoilt()),
        },
        _ => Err(spoilt()),
    }
}
