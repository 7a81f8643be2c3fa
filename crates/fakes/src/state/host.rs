//! A fake host: its listener for each limiter, and the simulation's model of cores, queue, slow start and deduplication
//! keys.

use quartzcleat_decision::api::Nanos;
use quartzcleat_simulation::host::{AttemptKey, Host, HostStatus};
use quartzcleat_simulation::scenario::HostSetup;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

/// The state of one fake host.
pub(crate) struct FakeHost {
    pub(crate) model: Host,
    /// The host's address for each limiter, by limiter index.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Listeners for the first process, bound in advance. Empty if the host is absent at the start of the run, and after
    /// its first start.
    listeners: Vec<TcpListener>,
    /// The number of processes that have ended.
    ended_processes: watch::Sender<u64>,
    /// The sender that starts each attempt in the host's queue.
    queued: BTreeMap<AttemptKey, oneshot::Sender<()>>,
}

/// The address at which a host's process serves one limiter.
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    /// The listener if it is already bound; otherwise the process binds the address itself.
    pub(crate) listener: Option<TcpListener>,
    /// Changes when the process ends.
    pub(crate) process_ended: watch::Receiver<u64>,
}

impl FakeHost {
    pub(crate) async fn bind(setup: &HostSetup, limiters: usize, start: Nanos) -> io::Result<Self> {
        let mut addresses = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..limiters {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        if setup.absent {
            listeners.clear();
        }
        Ok(FakeHost {
            model: Host::new(setup, start),
            addresses,
            listeners,
            ended_processes: watch::Sender::new(0),
            queued: BTreeMap::new(),
        })
    }

    /// Returns the endpoints of a process that starts, one for each limiter.
    pub(crate) fn take_endpoints(&mut self) -> Vec<Endpoint> {
        let mut listeners = std::mem::take(&mut self.listeners).into_iter();
        let process_ended = self.ended_processes.subscribe();
        self.addresses
            .iter()
            .map(|address| Endpoint {
                address: *address,
                listener: listeners.next(),
                process_ended: process_ended.clone(),
            })
            .collect()
    }

    /// Ends the host's process (`Dead`) or its machine (`Unreachable`). Sockets are closed only when the process ends.
    pub(crate) fn end(&mut self, status: HostStatus) {
        self.model.stop(status);
        self.queued.clear();
        if status == HostStatus::Dead {
            self.ended_processes.send_modify(|count| *count += 1);
        }
    }

    /// Queues an attempt. The receiver resolves when the attempt starts, and fails when the host ends.
    pub(crate) fn enqueue(&mut self, attempt: AttemptKey) -> oneshot::Receiver<()> {
        let (start, started) = oneshot::channel();
        self.queued.insert(attempt, start);
        started
    }

    /// Finishes an attempt's work in the process that started at `started`, and starts the next queued attempt whose
    /// connection is open. Does nothing if that process is not running any more.
    pub(crate) fn finish_job(&mut self, started: Nanos) {
        if self.model.started != started || self.model.status != HostStatus::Running {
            return;
        }
        while let Some(next) = self.model.finish_job() {
            let start = self.queued.remove(&next);
            if start.is_some_and(|start| start.send(()).is_ok()) {
                return;
            }
        }
    }
}
