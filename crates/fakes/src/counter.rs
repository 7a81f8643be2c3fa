//! The counter: `ADDGET`, answered in order on each connection, by the world's own model of totals and lines.

use crate::resp;
use crate::stage::{spawn, Stage};
use quartzcleat_decision::api::{Nanos, Outcome};
use quartzcleat_simulation::counter::Counter;
use quartzcleat_simulation::oracle::ChoicePoint;
use quartzcleat_simulation::scenario::{option_of_variant, CounterCallOutcome, CounterSetup};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// What the counter holds.
pub(crate) struct CounterDesk {
    pub(crate) model: Counter,
    /// Calls by limiter.
    calls: Vec<usize>,
}

impl CounterDesk {
    pub(crate) fn new(setup: &CounterSetup) -> Self {
        CounterDesk {
            model: Counter::new(setup),
            calls: Vec::new(),
        }
    }
}

/// Serves one limiter's connections for good.
pub(crate) async fn serve(stage: Rc<Stage>, limiter: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let stage = stage.clone();
        spawn(async move { drop(converse(&stage, limiter, stream).await) });
    }
}

async fn converse(stage: &Rc<Stage>, limiter: usize, mut stream: TcpStream) -> io::Result<()> {
    let mut input = Vec::new();
    loop {
        while let Some((words, length)) = resp::command(&input)? {
            input.drain(..length);
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            let text = match words.as_slice() {
                ["ADDGET", name, amount, life] => {
                    let (Ok(amount), Ok(life)) = (amount.parse::<f64>(), life.parse::<u64>())
                    else {
                        stream.write_all(b"-ERR no number\r\n").await?;
                        continue;
                    };
                    match call(stage, limiter, name, amount, life.saturating_mul(1_000_000)).await {
                        Some(text) => text,
                        // What never answers holds up what is behind it on its connection.
                        None => return std::future::pending().await,
                    }
                }
                ["PING"] => "+PONG\r\n".to_owned(),
                ["CLIENT" | "SELECT", ..] => "+OK\r\n".to_owned(),
                _ => "-ERR no such call\r\n".to_owned(),
            };
            stream.write_all(text.as_bytes()).await?;
        }
        if !resp::more(&mut stream, &mut input).await? {
            return Ok(());
        }
    }
}

/// One call's answer; `None` where none ever comes.
async fn call(
    stage: &Rc<Stage>,
    limiter: usize,
    name: &str,
    amount: f64,
    life: Nanos,
) -> Option<String> {
    let fate = {
        let mut desk = stage.counter.borrow_mut();
        let calls = desk.calls.len().max(limiter + 1);
        desk.calls.resize(calls, 0);
        let number = desk.calls[limiter];
        desk.calls[limiter] += 1;
        let call_outcomes = &stage.scenario.counter.call_outcomes;
        let variant = stage.scenario.variant.unwrap_or(0);
        call_outcomes
            .get(option_of_variant(
                variant,
                ChoicePoint::CounterCall,
                number,
                call_outcomes.len(),
            ))
            .copied()
            .unwrap_or(CounterCallOutcome::Normal)
    };
    match fate {
        CounterCallOutcome::Normal => {}
        CounterCallOutcome::RequestLost => return None,
        CounterCallOutcome::AnswerLost => {
            let now = stage.now();
            stage
                .counter
                .borrow_mut()
                .model
                .execute(name, amount, life, now);
            return None;
        }
        CounterCallOutcome::Rejected => return Some("-BUSY\r\n".to_owned()),
    }
    let way = Duration::from_nanos(stage.scenario.network.counter);
    sleep(way).await;
    let now = stage.now();
    let done = stage.counter.borrow_mut().model.enqueue(name, now)?;
    sleep(Duration::from_nanos(done.saturating_sub(now))).await;
    let now = stage.now();
    let reply = stage
        .counter
        .borrow_mut()
        .model
        .execute(name, amount, life, now);
    sleep(way).await;
    match reply.outcome {
        Outcome::Good => {
            let text = reply.total.to_string();
            Some(format!("${}\r\n{text}\r\n", text.len()))
        }
        Outcome::Rejected => Some("-BUSY\r\n".to_owned()),
        _ => None,
    }
}
