//! The usage export task: cuts batches of this limiter's usage and, while the lease is held, writes the batches of all
//! limiters to the sink.

use super::node::LeaseNode;
use crate::net::peers::{DatagramKind, Peers};
use crate::net::usage_export::{handle_message, Exporter, MessageEffect, UsageRecorder};
use quartzcleat_config::lease::Task;
use quartzcleat_lease::Nanos;
use quartzcleat_usage_export::{Message, SinkRecord};
use std::rc::Rc;
use tokio::time::sleep;

/// Maximum number of own batches written per interval before the other limiters are asked for theirs.
const MAX_OWN_BATCHES: usize = 64;

/// Minimum time between two scans for spools of terminated processes, in nanoseconds.
const ORPHAN_SCAN_INTERVAL: Nanos = 2_000_000_000;

/// The state of this limiter's tenure, which is a period of holding the lease with the sink open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TenureState {
    /// This limiter holds the lease, and the sink is open.
    Begun,
    /// This limiter does not hold the lease, or the sink cannot be opened.
    NotHeld,
}

/// The outcome of writing a batch to the sink.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    /// The sink contains the batch.
    InSink,
    /// The lease did not permit the write, or the write failed.
    NotWritten,
}

/// The usage export of this limiter.
pub(super) struct ExportTask {
    pub(super) node: Rc<LeaseNode>,
    pub(super) peers: Rc<Peers>,
    /// Names of all limiters, by index.
    pub(super) limiters: Vec<String>,
    pub(super) task_index: usize,
    pub(super) task: Task,
    pub(super) exporter: Exporter,
    pub(super) usage_recorder: Rc<UsageRecorder>,
}

impl ExportTask {
    /// Runs until the process ends.
    pub(super) async fn run(self: Rc<Self>) {
        let mut scanned_at = 0;
        loop {
            sleep(self.task.interval).await;
            let now = self.node.now();
            if now >= scanned_at + ORPHAN_SCAN_INTERVAL {
                scanned_at = now;
                self.usage_recorder.adopt_orphaned_spools();
            }
            self.usage_recorder.cut_batches();
            match self.begin_tenure() {
                TenureState::Begun => {
                    self.write_own_batches();
                    self.fetch_from_others();
                }
                TenureState::NotHeld => {}
            }
        }
    }

    /// Handles a message from another limiter's usage export. A batch that is in the sink afterwards is acknowledged,
    /// and the next one is fetched.
    pub(super) fn handle_message(&self, sender: u32, message: Message) {
        let Some(sender_name) = self.limiters.get(sender as usize) else {
            return;
        };
        match handle_message(&self.usage_recorder, sender_name, message) {
            MessageEffect::Respond(response) => self.send(sender, &response),
            MessageEffect::Write(record) => match self.write(&record) {
                WriteOutcome::InSink => {
                    self.acknowledge(sender, &record);
                    self.send(sender, &Message::Fetch);
                }
                WriteOutcome::NotWritten => {}
            },
            MessageEffect::None => {}
        }
    }

    fn acknowledge(&self, sender: u32, record: &SinkRecord) {
        let acknowledgement = Message::Acknowledge {
            epoch: record.source.epoch,
            sequence: record.batch.sequence,
        };
        self.send(sender, &acknowledgement);
    }

    /// Begins a tenure if the lease is held and this tenure has not begun yet.
    fn begin_tenure(&self) -> TenureState {
        let Some(guard) = self.node.guard(self.task_index) else {
            return TenureState::NotHeld;
        };
        match self.exporter.begin_tenure(guard.token()) {
            Ok(()) => TenureState::Begun,
            Err(error) => {
                tracing::warn!(task = self.task.name, %error, "sink cannot be read");
                TenureState::NotHeld
            }
        }
    }

    fn write_own_batches(&self) {
        for _ in 0..MAX_OWN_BATCHES {
            let Some(record) = self.usage_recorder.first_pending_batch() else {
                return;
            };
            match self.write(&record) {
                WriteOutcome::InSink => self
                    .usage_recorder
                    .acknowledge(record.source.epoch, record.batch.sequence),
                WriteOutcome::NotWritten => return,
            }
        }
    }

    fn fetch_from_others(&self) {
        for limiter in 0..self.peers.limiter_count() {
            if limiter != self.peers.node_id() {
                self.send(limiter, &Message::Fetch);
            }
        }
    }

    /// Writes a batch to the sink if the lease permits it.
    fn write(&self, record: &SinkRecord) -> WriteOutcome {
        let Some(operation) = self.node.permit(self.task_index, &self.task) else {
            return WriteOutcome::NotWritten;
        };
        match self.exporter.write(operation, record, &self.usage_recorder) {
            Ok(()) => WriteOutcome::InSink,
            Err(error) => {
                tracing::warn!(task = self.task.name, %error, "batch cannot be written to the sink");
                WriteOutcome::NotWritten
            }
        }
    }

    fn send(&self, recipient: u32, message: &Message) {
        self.peers
            .send(recipient, DatagramKind::UsageExport, &message.encode());
    }
}
