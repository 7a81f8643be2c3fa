//! Sending clients away, at staff's word or at the program's planned end: the doors decide how far that has come, and
//! here their phases are told to those who wait for them. At the end all goes on while the front still sends, then
//! connections close between requests, and the program ends once all that was taken is answered.

use super::config::Limits;
use super::stages::complete;
use super::task::spawn;
use super::{hot_restart, Limiter};
use crate::api::Nanos;
use quartzcleat_admin::{Doors, Switch, Times};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::SystemTime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout, timeout_at, Instant};

pub use quartzcleat_admin::Phase;

/// The doors, their phase for those who wait for its change, and the number of clients' connections.
pub struct Shutdown {
    doors: RefCell<Doors>,
    news: Notify,
    phase: watch::Sender<Phase>,
    ending: watch::Sender<bool>,
    asked: Cell<Option<Instant>>,
    connections: watch::Sender<usize>,
}

/// Unix time by the system's clock, which two processes on one machine share.
pub fn unix() -> Nanos {
    SystemTime::UNIX_EPOCH
        .elapsed()
        .map_or(0, |age| age.as_nanos() as Nanos)
}

impl Shutdown {
    /// Open doors.
    pub fn new(limits: &Limits) -> Self {
        let times = Times {
            linger: limits.linger.as_nanos() as Nanos,
            last_call: limits.last_call.as_nanos() as Nanos,
        };
        Shutdown {
            doors: RefCell::new(Doors::new(times)),
            news: Notify::new(),
            phase: watch::Sender::default(),
            ending: watch::Sender::default(),
            asked: Cell::default(),
            connections: watch::Sender::default(),
        }
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// A handle that tells of changes of the phase.
    pub fn changes(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// A handle that tells when no further clients are to be taken, for good.
    pub fn end(&self) -> watch::Receiver<bool> {
        self.ending.subscribe()
    }

    /// Whether the front is told that clients are welcome.
    pub fn welcome(&self) -> bool {
        self.doors.borrow().welcome()
    }

    /// Whether another process takes the clients, now that this one is to end.
    pub fn relieved(&self) -> bool {
        self.doors.borrow().relieved()
    }

    /// The latest word of staff on draining.
    pub fn switch(&self) -> Switch {
        self.doors.borrow().switch()
    }

    /// Says a word to the doors; what it returns.
    pub fn say<T>(&self, word: impl FnOnce(&mut Doors) -> T) -> T {
        let said = word(&mut self.doors.borrow_mut());
        self.step();
        self.news.notify_one();
        said
    }

    /// Tells of the phase of this moment; when the next one begins, from now.
    fn step(&self) -> Option<Nanos> {
        let now = unix();
        let (phase, next) = self.doors.borrow().phase(now);
        self.phase
            .send_if_modified(|held| std::mem::replace(held, phase) != phase);
        let over = phase >= Phase::Closing && self.doors.borrow().ending();
        self.ending
            .send_if_modified(|held| std::mem::replace(held, over) != over);
        next.map(|next| next.saturating_sub(now))
    }

    /// When the last answers are given, once the end was asked for.
    pub fn last_answers(&self, limits: &Limits) -> Option<Instant> {
        self.asked
            .get()
            .map(|asked| asked + limits.end.get() - limits.last_answers.get())
    }

    /// Counts a client's connection in or out.
    pub fn count(&self, change: isize) {
        self.connections
            .send_modify(|count| *count = count.saturating_add_signed(change));
    }

    /// How many connections clients hold.
    pub fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// A handle that tells of changes of that number.
    pub fn connection_changes(&self) -> watch::Receiver<usize> {
        self.connections.subscribe()
    }
}

/// Goes through the phases, and waits for SIGTERM.
///
/// # Errors
/// The signal handler cannot be installed.
pub fn watch(limiter: &Rc<Limiter>) -> Result<(), String> {
    let mut term =
        signal(SignalKind::terminate()).map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let (phases, ended) = (limiter.clone(), limiter.clone());
    spawn(async move {
        let shutdown = &phases.shutdown;
        loop {
            match shutdown.step() {
                None => shutdown.news.notified().await,
                // A little later than it is due: a step that comes too early would find nothing changed.
                Some(next) => {
                    let pause = std::time::Duration::from_nanos(next + 1_000_000);
                    drop(timeout(pause, shutdown.news.notified()).await);
                }
            }
        }
    });
    spawn(async move {
        term.recv().await;
        ended.shutdown.asked.set(Some(Instant::now()));
        // Another process may have come a moment ago.
        hot_restart::look(&ended);
        let relieved = ended.hot_restart.relieved();
        tracing::info!(relieved, "asked to end");
        ended.shutdown.say(|doors| doors.end(unix(), relieved));
    });
    Ok(())
}

/// Waits until every connection is closed and every request answered. Shortly before the time is up, whatever is still
/// open is failed. Guards against requests that go unanswered with the program.
pub async fn finish(limiter: &Rc<Limiter>) {
    let last = limiter
        .shutdown
        .last_answers(&limiter.limits)
        .unwrap_or_else(Instant::now);
    let mut connections = limiter.shutdown.connection_changes();
    let _ = timeout_at(last, connections.wait_for(|count| *count == 0)).await;
    // A client that went away leaves its relays to end by themselves; nothing is owed for them.
    while limiter.engine.borrow().count_open() > 0 && Instant::now() < last {
        sleep(limiter.limits.last_moment).await;
    }
    let open = limiter.engine.borrow().open_ids();
    open.into_iter()
        .for_each(|id| complete::give_up(limiter, id));
    let end = last + limiter.limits.last_answers.get();
    let _ = timeout_at(end, connections.wait_for(|count| *count == 0)).await;
}

#[cfg(test)]
mod tests;
