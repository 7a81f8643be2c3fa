//! Clients: each request on a connection of its own, its one answer awaited, and a retry where the scenario has one.

use crate::resp::{self, Reply};
use crate::stage::{Asked, Stage};
use quartzcleat_decision::api::{Effect, Nanos, RequestId};
use quartzcleat_invariants::{Answer, Fact};
use quartzcleat_simulation::scenario::ClientRequest;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Asks whether a limiter is ready.
pub(crate) async fn ping(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(&resp::write(&["PING"])).await?;
    match answer(&mut stream).await? {
        Some(Reply::Line(line)) if line == "+PONG" => Ok(()),
        other => Err(io::Error::other(format!("{other:?}"))),
    }
}

async fn answer(stream: &mut TcpStream) -> io::Result<Option<Reply>> {
    let mut input = Vec::new();
    loop {
        if let Some((reply, _)) = resp::reply(&input)? {
            return Ok(Some(reply));
        }
        if !resp::more(stream, &mut input).await? {
            return Ok(None);
        }
    }
}

/// A client.
pub(crate) struct Client {
    stage: Rc<Stage>,
}

impl Client {
    pub(crate) fn new(stage: Rc<Stage>) -> Self {
        Client { stage }
    }

    /// Asks, and retries once where the scenario's clients do.
    pub(crate) async fn run(&self, ask: ClientRequest) {
        if ask.retry {
            // A retry waits for the answer of the try before it.
            let known = |mark: u64| self.stage.operations.borrow().get(&mark).copied();
            while known(ask.operation) == Some(None) {
                sleep(Duration::from_millis(1)).await;
            }
            if known(ask.operation) == Some(Some(Answer::Served)) {
                return;
            }
        }
        let Some(first) = self.ask(&ask).await else {
            return;
        };
        let Some(retry) = self.stage.scenario.retry.clone() else {
            return;
        };
        if first == Answer::Served || ask.retry {
            return;
        }
        let told = if let Answer::Rejected(after) = first {
            after
        } else {
            0
        };
        sleep(Duration::from_nanos(retry.delay.max(told))).await;
        let mut again = ClientRequest {
            retry: true,
            ..ask.clone()
        };
        if retry.next_limiter && ask.limiter_set.count > 1 {
            let limiters = self.stage.scenario.processes.limiters.len();
            again.limiter = ask.limiter_set.next_after(ask.limiter, limiters);
        }
        self.ask(&again).await;
    }

    /// One try: its answer, or `None` where no limiter took it.
    async fn ask(&self, ask: &ClientRequest) -> Option<Answer> {
        let stage = &self.stage;
        let Some(address) = stage.limiter(ask.limiter) else {
            stage.note(Fact::Note(format!(
                "{} takes no connection",
                stage.scenario.processes.limiter(ask.limiter)
            )));
            return None;
        };
        let id = stage.request();
        let class = &stage.scenario.settings.classes[ask.class];
        let plan = stage
            .scenario
            .settings
            .plans
            .get(ask.plan as usize)
            .map_or("", |plan| plan.name.as_str());
        let mut facts = format!(
            "c={},t={plan},d={}",
            class.name,
            ask.timeout.div_ceil(1_000_000)
        );
        if class.effect == Effect::Keyed {
            facts.push_str(&format!(",k={:016x}", ask.operation));
        }
        facts.push_str(&format!(
            ",units={},spread={},first={}",
            ask.units, ask.limiter_set.count, ask.limiter_set.first
        ));
        let verb = if class.effect == Effect::Retryable {
            "Q.ASK"
        } else {
            "Q.DO"
        };
        let (customer, number) = (
            format!("{:016x}", ask.partner + 1),
            format!("{:016x}", id.0),
        );
        let command = resp::write(&[verb, &customer, &number, &facts]);
        stage.operations.borrow_mut().insert(ask.operation, None);
        stage.asked.borrow_mut().insert(
            id,
            Asked {
                class: ask.class,
                operation: ask.operation,
                attempts: 0,
            },
        );
        let answered = self.exchange(address, &command, id, ask).await;
        let answer = match answered {
            Ok(answer) => answer,
            Err(_) => {
                // A limiter that died took its connections along; one that lives and closes without an answer
                // leaves the request unanswered in the records.
                if stage.limiter(ask.limiter).is_none() {
                    stage.note(Fact::ClientLeft { request: id });
                }
                None
            }
        };
        stage
            .operations
            .borrow_mut()
            .insert(ask.operation, answer.or(Some(Answer::Failed)));
        answer
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        command: &[u8],
        id: RequestId,
        ask: &ClientRequest,
    ) -> io::Result<Option<Answer>> {
        let stage = &self.stage;
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let deadline: Nanos = stage.now() + ask.timeout;
        // Noted before it is written: the limiter may act on it before this task goes on.
        stage.note(Fact::RequestReceived {
            request: id,
            limiter: ask.limiter,
            operation: ask.operation,
            class: ask.class,
            partner: ask.partner,
            units: ask.units,
            deadline,
        });
        stream.write_all(command).await?;
        // A while longer than it would wait, so that a late answer is seen to be late.
        let patience = Duration::from_nanos(ask.timeout) + Duration::from_millis(500);
        let reply = timeout(patience, answer(&mut stream)).await;
        let Ok(reply) = reply else { return Ok(None) };
        let answer = match reply? {
            Some(Reply::Bulk(value)) if value == format!("{:016x}", id.0) => Answer::Served,
            Some(Reply::Bulk(_)) | None => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(Reply::Line(line)) => match line.strip_prefix("-BUSY") {
                Some(after) => {
                    Answer::Rejected(after.trim().parse::<u64>().unwrap_or(0) * 1_000_000)
                }
                None => Answer::Failed,
            },
        };
        stage.note(Fact::Answered {
            request: id,
            answer,
        });
        Ok(Some(answer))
    }
}
