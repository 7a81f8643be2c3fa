//! Nodes: each has a listener for every limiter, and the world's own model of cores, line, coldness and keys.

use crate::resp;
use crate::stage::{spawn, Stage};
use quartzcleat_decision::api::{Effect, Group, Nanos, Outcome, RequestId};
use quartzcleat_invariants::Fact;
use quartzcleat_simulation::host::{Arrival, AttemptKey, Host, HostStatus};
use quartzcleat_simulation::oracle::ChoicePoint;
use quartzcleat_simulation::scenario::{
    option_of_variant, AttemptOutcome, HostSetup, Scenario, ScenarioEvent,
};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

/// A node at its desk.
pub(crate) struct NodeDesk {
    pub(crate) model: Host,
    /// Where each limiter reaches it.
    pub(crate) addresses: Vec<SocketAddr>,
    listeners: Vec<TcpListener>,
    /// Told when the process ends, by its number.
    life: watch::Sender<u64>,
    /// Those that wait in the node's line for their turn.
    waiting: BTreeMap<AttemptKey, oneshot::Sender<()>>,
}

impl NodeDesk {
    pub(crate) async fn bind(setup: &HostSetup, limiters: usize, start: Nanos) -> io::Result<Self> {
        let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
        for _ in 0..limiters {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        if setup.absent {
            listeners.clear();
        }
        let (model, life, waiting) = (
            Host::new(setup, start),
            watch::Sender::new(0),
            BTreeMap::new(),
        );
        Ok(NodeDesk {
            model,
            addresses,
            listeners,
            life,
            waiting,
        })
    }
}

/// A node's process takes connections, where it runs.
pub(crate) fn open(stage: &Rc<Stage>, node: usize) {
    let (addresses, ready, life) = {
        let mut nodes = stage.nodes.borrow_mut();
        let desk = &mut nodes[node];
        if desk.model.status != HostStatus::Running {
            return;
        }
        (
            desk.addresses.clone(),
            std::mem::take(&mut desk.listeners),
            desk.life.subscribe(),
        )
    };
    let mut ready: Vec<Option<TcpListener>> = ready.into_iter().map(Some).collect();
    ready.resize_with(addresses.len(), || None);
    for (limiter, (address, listener)) in addresses.into_iter().zip(ready).enumerate() {
        let (stage, mut life) = (stage.clone(), life.clone());
        spawn(async move {
            let listener = match listener {
                Some(listener) => listener,
                None => loop {
                    // The address is free again once the process before it has closed.
                    match TcpListener::bind(address).await {
                        Ok(listener) => break listener,
                        Err(_) => sleep(Duration::from_millis(1)).await,
                    }
                },
            };
            loop {
                tokio::select! {
                    _ = life.changed() => break,
                    taken = listener.accept() => {
                        let Ok((stream, _)) = taken else { break };
                        let _ = stream.set_nodelay(true);
                        let (stage, mut life) = (stage.clone(), life.clone());
                        spawn(async move {
                            tokio::select! {
                                _ = life.changed() => {}
                                _ = converse(&stage, limiter, node, stream) => {}
                            }
                        });
                    }
                }
            }
            // A machine that vanished holds on to its sockets and says nothing.
            let vanished = stage.nodes.borrow()[node].model.status == HostStatus::Unreachable;
            if vanished {
                std::future::pending::<()>().await;
            }
            drop(listener);
        });
    }
}

/// A node's process or machine ends.
pub(crate) fn end(stage: &Rc<Stage>, node: usize, life: HostStatus) {
    {
        let mut nodes = stage.nodes.borrow_mut();
        let desk = &mut nodes[node];
        desk.model.stop(life);
        desk.waiting.clear();
        if life == HostStatus::Dead {
            desk.life.send_modify(|life| *life += 1);
        }
    }
    if life == HostStatus::Dead {
        for (request, attempt) in stage.flying(node) {
            stage.note(Fact::AttemptEnded {
                request,
                attempt,
                outcome: Outcome::Reset,
            });
        }
    }
}

async fn converse(
    stage: &Rc<Stage>,
    limiter: usize,
    node: usize,
    mut stream: TcpStream,
) -> io::Result<()> {
    let mut input = Vec::new();
    loop {
        while let Some((words, length)) = resp::command(&input)? {
            input.drain(..length);
            if stage.nodes.borrow()[node].model.status == HostStatus::Unreachable {
                return std::future::pending().await;
            }
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            match words.as_slice() {
                ["Q.ASK" | "Q.DO", _, id, _, ..] => {
                    let Some(id) = u64::from_str_radix(id, 16).ok().map(RequestId) else {
                        stream.write_all(b"-SYNTAX\r\n").await?;
                        continue;
                    };
                    if !attempt(stage, limiter, node, id, &mut stream).await? {
                        return Ok(());
                    }
                }
                ["PING"] => stream.write_all(b"+PONG\r\n").await?,
                ["INFO", "load"] => stream.write_all(b"-NOPERM\r\n").await?,
                _ => stream.write_all(b"-ERR no such command\r\n").await?,
            }
        }
        if !resp::more(&mut stream, &mut input).await? {
            return Ok(());
        }
    }
}

/// What an attempt gets.
enum Given {
    Value,
    Busy,
    Error,
    Break,
    Nothing,
}

/// Serves one attempt; false where its connection ends with it.
async fn attempt(
    stage: &Rc<Stage>,
    limiter: usize,
    node: usize,
    id: RequestId,
    stream: &mut TcpStream,
) -> io::Result<bool> {
    let (class, operation, number) = {
        let mut asked = stage.asked.borrow_mut();
        let Some(asked) = asked.get_mut(&id) else {
            // Nobody asked for this.
            return Ok(false);
        };
        asked.attempts += 1;
        (asked.class, asked.operation, asked.attempts - 1)
    };
    let warming_up = {
        let nodes = stage.nodes.borrow();
        nodes[node]
            .model
            .capacity_factor(&stage.scenario.ground_truth, stage.now())
            < 1.0
    };
    stage.note(Fact::AttemptSent {
        limiter,
        request: id,
        attempt: number,
        host: node,
        warming_up,
    });
    let attempt_outcomes = &stage.scenario.attempt_outcomes;
    let variant = stage.scenario.variant.unwrap_or(0);
    let fate = attempt_outcomes
        .get(option_of_variant(
            variant,
            ChoicePoint::Attempt,
            number as usize,
            attempt_outcomes.len(),
        ))
        .copied();
    let job = AttemptKey {
        limiter,
        request: id,
        attempt: number,
    };
    let given = tokio::select! {
        given = fare(stage, node, job, class, operation, fate.unwrap_or(AttemptOutcome::Normal)) => given,
        // The limiter gave the attempt up: what waits is dropped.
        _ = gone(stream) => {
            stage.nodes.borrow_mut()[node].model.cancel(job);
            stage.note(Fact::AttemptEnded { request: id, attempt: number, outcome: Outcome::Cancelled });
            return Ok(false);
        }
    };
    sleep(stage.way(limiter, node) * 2).await;
    let (outcome, text) = match given {
        Given::Value => {
            let cost = cost(&stage.scenario, operation);
            let figures = format!("cost={cost}");
            let figures = if cost > 0.0 {
                format!("${}\r\n{figures}", figures.len())
            } else {
                "$-1".to_owned()
            };
            if cost > 0.0 {
                stage.note(Fact::UnitsSettled {
                    request: id,
                    units: cost,
                });
            }
            (
                Outcome::Good,
                format!("*3\r\n$16\r\n{:016x}\r\n{figures}\r\n$-1\r\n", id.0),
            )
        }
        Given::Busy => (Outcome::Rejected, "-BUSY\r\n".to_owned()),
        Given::Error => (Outcome::Error, "-ERR failed\r\n".to_owned()),
        Given::Break => {
            stage.note(Fact::AttemptEnded {
                request: id,
                attempt: number,
                outcome: Outcome::Reset,
            });
            return Ok(false);
        }
        Given::Nothing => {
            // Held open and silent until the limiter closes it.
            gone(stream).await;
            stage.note(Fact::AttemptEnded {
                request: id,
                attempt: number,
                outcome: Outcome::Timeout,
            });
            return Ok(false);
        }
    };
    // Noted first: once the answer is written the limiter may send the next attempt before this task goes on.
    stage.note(Fact::AttemptEnded {
        request: id,
        attempt: number,
        outcome,
    });
    stream.write_all(text.as_bytes()).await?;
    Ok(true)
}

/// The true units of an errand, where the scenario has some.
fn cost(scenario: &Scenario, operation: u64) -> f64 {
    let ask = scenario.steps.iter().find_map(|step| match &step.event {
        ScenarioEvent::Request(ask) if ask.operation == operation => Some(ask),
        _ => None,
    });
    ask.map_or(0.0, |ask| ask.true_units)
}

/// Waits until the peer closes its connection.
async fn gone(stream: &TcpStream) {
    let mut byte = [0];
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(&mut byte) {
            // A limiter writes nothing behind an attempt; whatever does is as good as gone.
            Ok(_) => return,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

async fn fare(
    stage: &Rc<Stage>,
    node: usize,
    job: AttemptKey,
    class: usize,
    operation: u64,
    fate: AttemptOutcome,
) -> Given {
    match fate {
        AttemptOutcome::Rejected | AttemptOutcome::ConnectionRefused => return Given::Busy,
        AttemptOutcome::ResetBeforeExecution => return Given::Break,
        AttemptOutcome::RequestLost => return Given::Nothing,
        AttemptOutcome::Normal
        | AttemptOutcome::Error
        | AttemptOutcome::ResetAfterExecution
        | AttemptOutcome::AnswerLost
        | AttemptOutcome::Late => {}
    }
    let (now, ground_truth) = (stage.now(), &stage.scenario.ground_truth);
    let work = stage
        .scenario
        .work
        .get(class)
        .copied()
        .unwrap_or(100_000_000);
    let reached = stage.nodes.borrow_mut()[node]
        .model
        .receive(job, work, ground_truth, now);
    match reached {
        Arrival::Started => {}
        Arrival::Queued => {
            let (tell, told) = oneshot::channel();
            stage.nodes.borrow_mut()[node].waiting.insert(job, tell);
            if told.await.is_err() {
                return Given::Break;
            }
        }
        Arrival::Rejected => return Given::Busy,
        Arrival::ConnectionRefused => return Given::Break,
        Arrival::Lost => return Given::Nothing,
        Arrival::Overloads => {
            stage.note(Fact::HostOverloaded { host: node });
            end(stage, node, HostStatus::Dead);
            return Given::Break;
        }
    }
    let deduplicated = is_repeat(stage, class, operation, node);
    stage.note(Fact::Executed {
        host: node,
        request: job.request,
        deduplicated,
    });
    let takes = {
        let nodes = stage.nodes.borrow();
        if deduplicated {
            1_000_000
        } else {
            nodes[node]
                .model
                .execution_time(work, ground_truth, stage.now())
        }
    };
    let (started, runs) = (
        stage.nodes.borrow()[node].model.started,
        Duration::from_nanos(takes),
    );
    // Work goes on whatever becomes of its connection.
    let (tell, told) = oneshot::channel();
    let worker = stage.clone();
    spawn(async move {
        sleep(runs).await;
        let mut nodes = worker.nodes.borrow_mut();
        let desk = &mut nodes[node];
        if desk.model.started == started && desk.model.status == HostStatus::Running {
            while let Some(next) = desk.model.finish_job() {
                // One whose connection is gone makes room for the one behind it.
                if desk
                    .waiting
                    .remove(&next)
                    .is_some_and(|waits| waits.send(()).is_ok())
                {
                    break;
                }
            }
        }
        let _ = tell.send(());
    });
    match fate {
        AttemptOutcome::Error => return Given::Error,
        AttemptOutcome::ResetAfterExecution => return Given::Break,
        AttemptOutcome::AnswerLost => return Given::Nothing,
        _ => {}
    }
    let _ = told.await;
    if fate == AttemptOutcome::Late {
        let latency_objective = ground_truth
            .classes
            .get(class)
            .map_or(0, |class| class.latency_objective);
        sleep(Duration::from_nanos(latency_objective)).await;
    }
    if stage.nodes.borrow()[node].model.status == HostStatus::Unreachable {
        return Given::Nothing;
    }
    Given::Value
}

fn is_repeat(stage: &Rc<Stage>, class: usize, operation: u64, node: usize) -> bool {
    let Some(class) = stage
        .scenario
        .ground_truth
        .classes
        .get(class)
        .filter(|class| class.effect == Effect::Keyed)
    else {
        return false;
    };
    let process = &stage.scenario.processes.hosts[node];
    let group = match class.group {
        Group::All => 0,
        Group::Zone => process.zone + 1,
        Group::Cell => process.cell + 1,
    };
    let (now, mut keys) = (stage.now(), stage.keys.borrow_mut());
    let repeat = keys
        .get(&(group, operation))
        .is_some_and(|first| now < first + class.dedup_window);
    if !repeat {
        keys.insert((group, operation), now);
    }
    repeat
}
