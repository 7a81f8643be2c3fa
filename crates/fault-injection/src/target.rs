//! The target of the limiters' actions. It checks fencing tokens as any target should, and records the history with one
//! clock.

use quartzcleat_decision::api::LimiterIndex;
use quartzcleat_lease::{BeginError, ExclusiveFence, FencingToken};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// The time limit of a connection. It is long because a limiter may be paused before it writes its line.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_LINE_BYTES: u64 = 256;

/// An action as the target observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Action {
    /// When the action was accepted or refused, as the time since the target's start.
    pub from: Duration,
    /// When it ended, as the time since the target's start. Equal to `from` if it was refused, or while it is in
    /// progress.
    pub to: Duration,
    /// The fencing token of the action.
    pub token: FencingToken,
    /// Whether the target accepted it.
    pub accepted: bool,
}

/// The service that the lease holder acts on, with the history of actions.
pub struct Target {
    start: Instant,
    fence: Cell<ExclusiveFence>,
    action_ended: Notify,
    /// Whether tokens are checked and actions executed one at a time. Without the check, a run shows which violations
    /// it prevents.
    checks_tokens: bool,
    /// How long an action takes.
    action_time: Duration,
    /// All actions, in the order in which they were accepted or refused.
    actions: RefCell<Vec<Action>>,
}

impl Target {
    /// Creates a target with an empty history.
    pub fn new(checks_tokens: bool, action_time: Duration) -> Rc<Self> {
        Rc::new(Target {
            start: Instant::now(),
            fence: Cell::default(),
            action_ended: Notify::new(),
            checks_tokens,
            action_time,
            actions: RefCell::default(),
        })
    }

    /// Returns the time since the target's start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the history so far.
    pub fn actions(&self) -> Vec<Action> {
        self.actions.borrow().clone()
    }

    /// Returns the limiter whose action was accepted last, or `None` if none was accepted yet.
    pub fn lease_holder(&self) -> Option<LimiterIndex> {
        let actions = self.actions.borrow();
        let last = actions.iter().rev().find(|action| action.accepted)?;
        Some(LimiterIndex(last.token.proposer))
    }

    /// Accepts connections and serves them in separate tasks. Each connection carries one action.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let target = self.clone();
            tokio::task::spawn_local(async move {
                // A connection that fails or times out is closed, which the limiter observes.
                let _ = timeout(CONNECTION_TIMEOUT, target.serve_connection(stream)).await;
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        let (reader, mut writer) = stream.into_split();
        let mut line = String::new();
        BufReader::new(reader.take(MAX_LINE_BYTES))
            .read_line(&mut line)
            .await?;
        let Some(token) = parse_action(&line) else {
            return writer.write_all(b"ERR no act\n").await;
        };
        let begun = self.begin(token).await;
        let index = self.record_begin(token, begun.is_ok());
        if let Err(highest) = begun {
            let answer = format!(
                "OUTDATED {} {} {}\n",
                highest.round, highest.proposer, highest.incarnation
            );
            return writer.write_all(answer.as_bytes()).await;
        }
        sleep(self.action_time).await;
        self.end(index);
        writer.write_all(b"OK\n").await
    }

    /// Adds an action to the history and returns its index there.
    fn record_begin(&self, token: FencingToken, accepted: bool) -> usize {
        let now = self.now();
        let mut actions = self.actions.borrow_mut();
        actions.push(Action {
            from: now,
            to: now,
            token,
            accepted,
        });
        actions.len() - 1
    }

    /// Ends the accepted action at `index` of the history.
    fn end(&self, index: usize) {
        let now = self.now();
        self.actions.borrow_mut()[index].to = now;
        let mut fence = self.fence.get();
        fence.end();
        self.fence.set(fence);
        self.action_ended.notify_waiters();
    }

    /// Waits until no other action is in progress and begins an action.
    ///
    /// # Errors
    /// Returns the highest token seen if `token` is stale.
    async fn begin(&self, token: FencingToken) -> Result<(), FencingToken> {
        if !self.checks_tokens {
            return Ok(());
        }
        loop {
            let action_ended = self.action_ended.notified();
            let mut fence = self.fence.get();
            match fence.begin(token) {
                Ok(()) => {
                    self.fence.set(fence);
                    return Ok(());
                }
                Err(BeginError::Stale(stale)) => return Err(stale.highest),
                Err(BeginError::InProgress) => action_ended.await,
            }
        }
    }
}

/// Parses the token of a line `ACT <task> <round> <proposer> <incarnation>`. Returns `None` if the line is malformed.
fn parse_action(line: &str) -> Option<FencingToken> {
    let words: Vec<&str> = line.split_whitespace().collect();
    if words.first() != Some(&"ACT") {
        return None;
    }
    let number = |index: usize| words.get(index)?.parse::<u64>().ok();
    Some(FencingToken {
        round: number(2)?,
        proposer: number(3)? as u32,
        incarnation: number(4)? as u32,
    })
}
