//! The target of acts: checks tokens as any target should, and writes the truth with one clock.

use quartzcleat_lease::{BeginError, ExclusiveFence, FencingToken};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

/// An act as the target saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// When its line was whole, and when it was answered.
    pub from: Duration,
    /// See `from`.
    pub to: Duration,
    /// What it carried.
    pub token: FencingToken,
    /// Whether it was let in.
    pub accepted: bool,
}

/// The target.
pub struct Target {
    began: Instant,
    acts: Cell<ExclusiveFence>,
    ended: Notify,
    /// Whether it checks tokens and does one act at a time; without, the trial shows what that is for.
    checks: bool,
    /// How long an act takes here.
    takes: Duration,
    /// All acts, in the order in which they were let in or refused.
    pub seen: RefCell<Vec<Seen>>,
}

impl Target {
    /// A target that has seen nothing.
    pub fn new(checks: bool, takes: Duration) -> Rc<Self> {
        let (acts, ended, seen) = (Cell::default(), Notify::new(), RefCell::default());
        Rc::new(Target {
            began: Instant::now(),
            acts,
            ended,
            checks,
            takes,
            seen,
        })
    }

    /// Time since the target began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// The limiter whose act was let in last.
    pub fn holder(&self) -> Option<usize> {
        let seen = self.seen.borrow();
        seen.iter()
            .rev()
            .find(|act| act.accepted)
            .map(|act| act.token.proposer as usize)
    }

    /// Serves acts.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let target = self.clone();
            tokio::task::spawn_local(async move {
                // A caller that was paused may take long to write its line.
                let _ = timeout(Duration::from_secs(30), target.hear(stream)).await;
            });
        }
    }

    async fn hear(&self, stream: TcpStream) -> std::io::Result<()> {
        let (reader, mut writer) = stream.into_split();
        let mut line = String::new();
        BufReader::new(reader.take(256))
            .read_line(&mut line)
            .await?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |index: usize| words.get(index).and_then(|word| word.parse::<u64>().ok());
        let (Some("ACT"), Some(round), Some(proposer), Some(incarnation)) =
            (words.first().copied(), number(2), number(3), number(4))
        else {
            return writer.write_all(b"ERR no act\n").await;
        };
        let token = FencingToken {
            round,
            proposer: proposer as u32,
            incarnation: incarnation as u32,
        };
        let begun = if self.checks {
            self.begin(token).await
        } else {
            Ok(())
        };
        let from = self.now();
        let index = self.seen.borrow().len();
        self.seen.borrow_mut().push(Seen {
            from,
            to: from,
            token,
            accepted: begun.is_ok(),
        });
        if let Err(FencingToken {
            round,
            proposer,
            incarnation,
        }) = begun
        {
            return writer
                .write_all(format!("OUTDATED {round} {proposer} {incarnation}\n").as_bytes())
                .await;
        }
        sleep(self.takes).await;
        let to = self.now();
        self.seen.borrow_mut()[index].to = to;
        let mut acts = self.acts.get();
        acts.end();
        self.acts.set(acts);
        self.ended.notify_waiters();
        writer.write_all(b"OK\n").await
    }

    /// Begins an act when no other is under way; the greatest token seen where it is never to be.
    async fn begin(&self, token: FencingToken) -> Result<(), FencingToken> {
        loop {
            let ended = self.ended.notified();
            let mut acts = self.acts.get();
            match acts.begin(token) {
                Ok(()) => {
                    self.acts.set(acts);
                    return Ok(());
                }
                Err(BeginError::Stale(stale)) => return Err(stale.highest),
                Err(BeginError::InProgress) => ended.await,
            }
        }
    }
}
