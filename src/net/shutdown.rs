//! The planned end: all goes on while the front still sends, then connections close between requests, and the
//! program ends once all that was taken is answered.

use super::task::spawn;
use super::Node;
use std::cell::Cell;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// How far the end of the program has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    #[default]
    Serving,
    /// Connections close between requests.
    Closing,
    /// New requests get back-off answers.
    LastCall,
}

/// The phase, for those who wait for its change, and the number of clients' connections.
pub struct Shutdown {
    phase: watch::Sender<Phase>,
    asked: Cell<Option<Instant>>,
    connections: watch::Sender<usize>,
}

impl Default for Shutdown {
    fn default() -> Self {
        let (phase, connections) = (watch::Sender::new(Phase::Serving), watch::Sender::new(0));
        Shutdown { phase, asked: Cell::default(), connections }
    }
}

impl Shutdown {
    /// The phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// A handle that tells of changes of the phase.
    pub fn changes(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Counts a client's connection in or out.
    pub fn count(&self, change: isize) {
        self.connections.send_modify(|count| *count = count.saturating_add_signed(change));
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

/// Waits for SIGTERM and goes through the phases.
pub fn watch(node: &Rc<Node>) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("cannot wait for SIGTERM: {e}"))?;
    let node = node.clone();
    spawn(async move {
        term.recv().await;
        let (limits, asked) = (&node.limits, Instant::now());
        node.shutdown.asked.set(Some(asked));
        sleep_until(asked + limits.linger).await;
        node.shutdown.phase.send_replace(Phase::Closing);
        sleep_until(asked + limits.last_call).await;
        node.shutdown.phase.send_replace(Phase::LastCall);
    });
    Ok(())
}

/// Waits until every connection is closed and every request answered, or the time is up.
pub async fn finish(node: &Rc<Node>) {
    let end = node.shutdown.asked.get().unwrap_or_else(Instant::now) + node.limits.end;
    let mut connections = node.shutdown.connection_changes();
    let _ = timeout_at(end, connections.wait_for(|count| *count == 0)).await;
    // A client that went away leaves its relays to end by themselves; nothing is owed for them.
    while node.core.borrow().count_open() > 0 && Instant::now() < end {
        sleep(node.limits.last_moment).await;
    }
}
