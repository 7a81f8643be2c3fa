//! Sending clients away, at staff's word or at the program's planned end: the doors decide how far that has come, and
//! here their phases are told to those who wait for them. At the end all goes on while the front still sends, then
//! connections close between requests, and the program ends once all that was taken is answered.

use super::config::Limits;
use super::task::spawn;
use crate::api::Nanos;
use quartzcleat_admin::{Doors, Switch, Times};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, Instant};

pub use quartzcleat_admin::Phase;

/// How long after a phase is due the step to it is taken.
const STEP_MARGIN: Duration = Duration::from_millis(1);

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
            linger: limits.shutdown.drain_delay.as_nanos() as Nanos,
            last_call: limits.shutdown.reject_after.as_nanos() as Nanos,
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

    /// Steps through the phases for good.
    async fn follow_phases(self: Rc<Self>) {
        loop {
            match self.step() {
                None => self.news.notified().await,
                // A step that comes before the phase is due would find nothing changed.
                Some(next) => {
                    let pause = Duration::from_nanos(next) + STEP_MARGIN;
                    // Whether it is the time or a notification, the next step looks at both.
                    let _ = timeout(pause, self.news.notified()).await;
                }
            }
        }
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
        self.asked.get().map(|asked| {
            asked + limits.shutdown.timeout.get() - limits.shutdown.final_answer_margin.get()
        })
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

/// Goes through the phases, and waits for SIGTERM. `other_serves` tells then whether another process of this limiter
/// takes the clients.
///
/// # Errors
/// The signal handler cannot be installed.
pub fn watch(
    shutdown: &Rc<Shutdown>,
    other_serves: impl FnOnce() -> bool + 'static,
) -> Result<(), String> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    spawn(shutdown.clone().follow_phases());
    let shutdown = shutdown.clone();
    spawn(async move {
        terminate.recv().await;
        shutdown.asked.set(Some(Instant::now()));
        let relieved = other_serves();
        tracing::info!(relieved, "asked to end");
        shutdown.say(|doors| doors.end(unix(), relieved));
    });
    Ok(())
}

#[cfg(test)]
mod tests;
