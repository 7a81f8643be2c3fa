//! The state of this limiter's leases, and the messages between its acceptor, its proposers and the other limiters.

use super::clock::LeaseClock;
use crate::net::peers::{DatagramKind, DropReason, Peers};
use crate::net::unix_time;
use quartzcleat_config::lease::{LeaseConfig, Task};
use quartzcleat_lease::{
    stagger_delay, Acceptor, Body, FencingToken, Guard, LeaseTiming, Message, Nanos,
    PermittedOperation, Proposer, ProposerConfig, MAX_MESSAGE_BYTES,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

const NANOS_PER_MILLISECOND: Nanos = 1_000_000;

/// Number of stagger delay steps per lease duration. The delays of all ranks fit into one lease.
const STAGGER_STEPS_PER_LEASE: Nanos = 32;

/// Interval at which [`LeaseNode::release_all`] checks whether the operations in progress have ended.
const OPERATIONS_END_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The lease acceptor and proposers of this process.
pub(super) struct LeaseNode {
    clock: LeaseClock,
    peers: Rc<Peers>,
    /// Indices of the limiters that are acceptors.
    acceptors: Vec<u32>,
    acceptor: RefCell<Acceptor>,
    /// One proposer per task, in the order of the configuration.
    proposers: RefCell<Vec<Proposer>>,
    /// Token of each task's lease when [`LeaseNode::log_changes`] last ran; `None` if the lease was not held.
    logged_tokens: RefCell<Vec<Option<FencingToken>>>,
    operations_in_progress: Cell<usize>,
    /// Notified when a proposer's deadline may have changed.
    deadline_changed: Notify,
}

impl LeaseNode {
    pub(super) fn new(lease: &LeaseConfig, peers: Rc<Peers>) -> Self {
        let timing = LeaseTiming {
            duration: lease.duration.as_nanos() as Nanos,
            drift_per_mille: lease.drift_per_mille,
        };
        LeaseNode {
            clock: LeaseClock::new(lease.clock_fault),
            proposers: RefCell::new(new_proposers(lease, peers.node_id(), timing)),
            peers,
            acceptors: lease
                .acceptors
                .iter()
                .map(|name| index_of_limiter(lease, name))
                .collect(),
            acceptor: RefCell::new(Acceptor::new(timing, 0)),
            logged_tokens: RefCell::new(vec![None; lease.tasks.len()]),
            operations_in_progress: Cell::default(),
            deadline_changed: Notify::new(),
        }
    }

    pub(super) fn now(&self) -> Nanos {
        self.clock.now()
    }

    pub(super) fn instant_at(&self, time: Nanos) -> Instant {
        self.clock.instant_at(time)
    }

    /// Waits until a proposer's deadline may have changed.
    pub(super) async fn deadline_changed(&self) {
        self.deadline_changed.notified().await;
    }

    /// Returns the guard of a task's lease; `None` if the lease is not held.
    pub(super) fn guard(&self, task_index: usize) -> Option<Guard> {
        self.proposers.borrow()[task_index].guard(self.now())
    }

    /// Permits an operation of a task. Returns `None` if the lease is not held or expires before the operation's
    /// maximum duration has passed.
    pub(super) fn permit(&self, task_index: usize, task: &Task) -> Option<PermittedOperation> {
        let now = self.now();
        let guard = self.proposers.borrow()[task_index].guard(now)?;
        guard.permit(now, task.max_operation_duration.as_nanos() as Nanos)
    }

    /// Counts an operation as in progress until the returned value is dropped.
    pub(super) fn begin_operation(&self) -> OperationInProgress<'_> {
        let count = &self.operations_in_progress;
        count.set(count.get() + 1);
        OperationInProgress { count }
    }

    pub(super) fn handle_stale_token(&self, task_index: usize, highest: FencingToken) {
        self.proposers.borrow_mut()[task_index].handle_stale_token(self.now(), highest);
    }

    /// Begins the rounds that are due and returns the time of the next deadline; [`Nanos::MAX`] if there is none.
    pub(super) fn propose(&self, now: Nanos) -> Nanos {
        let requests: Vec<Message> = self
            .proposers
            .borrow_mut()
            .iter_mut()
            .filter_map(|proposer| proposer.tick(now))
            .collect();
        self.send_to_acceptors(&requests);
        self.log_changes();
        self.proposers
            .borrow()
            .iter()
            .map(Proposer::next_deadline)
            .min()
            .unwrap_or(Nanos::MAX)
    }

    /// Handles a message from another limiter or from this one. Drops it if the sender may not send it.
    pub(super) fn handle_message(&self, sender: u32, message: &Message) {
        match message.body {
            Body::Prepare | Body::Propose | Body::Release => {
                // A ballot may only be used by the proposer that it names.
                if message.ballot.proposer == sender {
                    self.handle_request(sender, message);
                } else {
                    self.peers.count_drop(DropReason::Unauthorized);
                }
            }
            Body::Promise | Body::Reject { .. } | Body::Accepted => {
                if self.acceptors.contains(&sender) {
                    self.handle_response(sender, message);
                } else {
                    self.peers.count_drop(DropReason::Unauthorized);
                }
            }
        }
    }

    /// Releases all leases once the operations in progress have ended. No new operations are permitted meanwhile.
    pub(super) async fn release_all(&self) {
        let now = self.now();
        let releases: Vec<Message> = self
            .proposers
            .borrow_mut()
            .iter_mut()
            .filter_map(|proposer| proposer.release(now))
            .collect();
        while self.operations_in_progress.get() > 0 {
            sleep(OPERATIONS_END_POLL_INTERVAL).await;
        }
        // The acceptors come first because the next proposer needs their promises.
        self.send_to_acceptors(&releases);
        for limiter in 0..self.peers.limiter_count() {
            if self.acceptors.contains(&limiter) {
                continue;
            }
            for release in &releases {
                self.send(limiter, release);
            }
        }
        self.log_changes();
    }

    fn handle_request(&self, sender: u32, message: &Message) {
        if message.body == Body::Release {
            self.handle_release(message);
        }
        if !self.acceptors.contains(&self.peers.node_id()) {
            return;
        }
        let response = self.acceptor.borrow_mut().handle(self.now(), message);
        if let Some(body) = response {
            let response = Message {
                body,
                ..message.clone()
            };
            self.send(sender, &response);
        }
    }

    fn handle_release(&self, message: &Message) {
        let now = self.now();
        for proposer in self.proposers.borrow_mut().iter_mut() {
            proposer.handle_release(now, message);
        }
        self.deadline_changed.notify_one();
    }

    fn handle_response(&self, sender: u32, message: &Message) {
        let now = self.now();
        let requests: Vec<Message> = self
            .proposers
            .borrow_mut()
            .iter_mut()
            .filter_map(|proposer| proposer.handle_response(now, sender, message))
            .collect();
        self.send_to_acceptors(&requests);
        self.log_changes();
        self.deadline_changed.notify_one();
    }

    fn send_to_acceptors(&self, messages: &[Message]) {
        for message in messages {
            for acceptor in &self.acceptors {
                self.send(*acceptor, message);
            }
        }
    }

    /// Sends a message to a limiter. A message to this limiter is handled immediately, without the socket.
    fn send(&self, recipient: u32, message: &Message) {
        if recipient == self.peers.node_id() {
            return self.handle_message(recipient, message);
        }
        let mut bytes = Vec::with_capacity(MAX_MESSAGE_BYTES);
        message.encode(&mut bytes);
        self.peers.send(recipient, DatagramKind::Lease, &bytes);
    }

    /// Logs the leases that were acquired, released or expired since the last call.
    fn log_changes(&self) {
        let now = self.now();
        let proposers = self.proposers.borrow();
        let mut logged_tokens = self.logged_tokens.borrow_mut();
        for (logged, proposer) in logged_tokens.iter_mut().zip(proposers.iter()) {
            let token = proposer.guard(now).map(|guard| guard.token());
            if *logged == token {
                continue;
            }
            *logged = token;
            let task = proposer.task();
            if let Some(token) = token {
                tracing::info!(task, round = token.round, "lease acquired");
            } else {
                tracing::info!(task, "lease ended");
            }
        }
    }
}

/// Returns a limiter's index in the order of names. The configuration guarantees that the name exists.
pub(super) fn index_of_limiter(lease: &LeaseConfig, name: &str) -> u32 {
    lease
        .limiters
        .keys()
        .position(|limiter| limiter == name)
        .unwrap_or_default() as u32
}

fn new_proposers(lease: &LeaseConfig, node_id: u32, timing: LeaseTiming) -> Vec<Proposer> {
    let limiters: Vec<String> = lease.limiters.keys().cloned().collect();
    let wall_clock_offset = lease.clock_fault.wall_clock_offset_nanos;
    let initial_round =
        unix_time::now().saturating_add_signed(wall_clock_offset) / NANOS_PER_MILLISECOND;
    let incarnation = new_incarnation();
    let step = timing.duration / STAGGER_STEPS_PER_LEASE;
    lease
        .tasks
        .iter()
        .map(|task| {
            let config = ProposerConfig {
                timing,
                task: task.name.clone(),
                node_id,
                incarnation,
                acceptor_count: lease.acceptors.len(),
                initial_round,
            };
            let delay = stagger_delay(&task.name, &lease.limiter, &limiters, step);
            let mut proposer = Proposer::new(config, 0);
            proposer.set_stagger_delay(0, delay);
            proposer
        })
        .collect()
}

/// Returns a number that differs between the processes of this limiter, derived from the Unix time in units of 1024 ns
/// and the process id.
fn new_incarnation() -> u32 {
    (unix_time::now() >> 10) as u32 ^ std::process::id().rotate_left(16)
}

/// A guard that counts an operation as in progress until it is dropped.
pub(super) struct OperationInProgress<'a> {
    count: &'a Cell<usize>,
}

impl Drop for OperationInProgress<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
