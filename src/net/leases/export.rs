//! The task that exports usage: it cuts batches of this limiter's usage and, while it holds the lease, writes the batches
//! of all limiters to the sink.

use super::node::LeaseNode;
use crate::net::peers::{DatagramKind, Peers};
use crate::net::usage_export::{handle_message, Exporter, MessageEffect, UsageRecorder};
use quartzcleat_config::lease::Task;
use quartzcleat_lease::Nanos;
use quartzcleat_usage_export::{Message, SinkRecord};
use std::rc::Rc;
use tokio::time::sleep;

/// How many of its own batches the exporter writes before it asks the other limiters for theirs.
const MAX_OWN_BATCHES: usize = 64;

/// The time between two searches for spools of ended processes.
const ORPHAN_SCAN_INTERVAL: Nanos = 2_000_000_000;

/// The export of usage.
pub(super) struct ExportTask {
    pub(super) node: Rc<LeaseNode>,
    pub(super) peers: Rc<Peers>,
    /// The names of all limiters, by index.
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
            if self.begin_tenure() {
                self.write_own_batches();
                self.fetch_from_others();
            }
        }
    }

    /// Handles a message of another limiter's export.
    pub(super) fn handle_message(&self, sender: u32, message: Message) {
        let Some(sender_name) = self.limiters.get(sender as usize) else {
            return;
        };
        match handle_message(&self.usage_recorder, sender_name, message) {
            MessageEffect::Respond(response) => self.send(sender, &response),
            MessageEffect::Write(record) => {
                if self.write(&record) {
                    let acknowledgement = Message::Acknowledge {
                        epoch: record.source.epoch,
                        sequence: record.batch.sequence,
                    };
                    self.send(sender, &acknowledgement);
                    self.send(sender, &Message::Fetch);
                }
            }
            MessageEffect::None => {}
        }
    }

    /// Whether the lease is held and the sink can be written.
    fn begin_tenure(&self) -> bool {
        let Some(guard) = self.node.guard(self.task_index) else {
            return false;
        };
        match self.exporter.begin_tenure(guard.token()) {
            Ok(()) => true,
            Err(error) => {
                tracing::warn!(task = self.task.name, %error, "sink cannot be read");
                false
            }
        }
    }

    fn write_own_batches(&self) {
        for _ in 0..MAX_OWN_BATCHES {
            let Some(record) = self.usage_recorder.first_pending_batch() else {
                return;
            };
            if !self.write(&record) {
                return;
            }
            self.usage_recorder
                .acknowledge(record.source.epoch, record.batch.sequence);
        }
    }

    fn fetch_from_others(&self) {
        for limiter in 0..self.peers.limiter_count() {
            if limiter != self.peers.node_id() {
                self.send(limiter, &Message::Fetch);
            }
        }
    }

    /// Writes a batch to the sink, where the lease permits it. Returns whether the sink has the batch.
    fn write(&self, record: &SinkRecord) -> bool {
        let Some(operation) = self.node.permit(self.task_index, &self.task) else {
            return false;
        };
        let written = self.exporter.write(operation, record, &self.usage_recorder);
        if let Err(error) = &written {
            tracing::warn!(task = self.task.name, %error, "batch cannot be written to the sink");
        }
        written.is_ok()
    }

    fn send(&self, recipient: u32, message: &Message) {
        self.peers
            .send(recipient, DatagramKind::UsageExport, &message.encode());
    }
}
