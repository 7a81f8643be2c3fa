//! Startup of the leases: reads the key, binds the address and spawns the tasks.

use super::error::LeaseError;
use super::export::ExportTask;
use super::heartbeat::HeartbeatTask;
use super::node::{index_of_limiter, LeaseNode};
use super::{propose, receive};
use crate::net::peers::Peers;
use crate::net::shutdown::{Phase, Shutdown};
use crate::net::task::spawn;
use crate::net::usage_export::{Exporter, UsageRecorder};
use quartzcleat_config::lease::{ClockFault, LeaseConfig, Task, TaskAction};
use quartzcleat_lease::SharedKey;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Interval at which binding this limiter's address is retried while the previous process still uses it.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Opens this limiter's usage recorder. Returns `None` if no task exports usage.
///
/// # Errors
/// Returns [`LeaseError::OpenSpool`] if the spool cannot be written.
pub fn open_usage_recorder(lease: &LeaseConfig) -> Result<Option<Rc<UsageRecorder>>, LeaseError> {
    let spool = lease.tasks.iter().find_map(|task| match &task.action {
        TaskAction::ExportUsage { spool, .. } => Some(spool),
        TaskAction::Heartbeat { .. } => None,
    });
    let Some(folder) = spool else {
        return Ok(None);
    };
    let usage_recorder = UsageRecorder::open(&lease.limiter, folder, lease.scheduled_crash)
        .map_err(|source| LeaseError::OpenSpool {
            folder: folder.clone(),
            source,
        })?;
    Ok(Some(Rc::new(usage_recorder)))
}

/// Starts the acceptor, the proposers and the tasks.
///
/// If the previous process of this limiter still uses the address, they start once it is free. The two processes count
/// as one acceptor, and the new one begins with the silent period that follows any start.
///
/// # Errors
/// Returns an error if the key cannot be read or is empty, or if the address cannot be bound for any reason other than
/// being in use.
pub async fn start(
    lease: LeaseConfig,
    shutdown: &Shutdown,
    usage_recorder: Option<Rc<UsageRecorder>>,
) -> Result<(), LeaseError> {
    let key = read_key(&lease)?;
    let startup = Startup {
        node_id: index_of_limiter(&lease, &lease.limiter),
        phases: shutdown.subscribe_phase(),
        lease,
        key,
        usage_recorder,
    };
    match startup.bind().await {
        Ok(peers) => startup.start_tasks(peers),
        Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
            let address = startup.address();
            tracing::info!(%address, "lease address in use, waiting");
            spawn(startup.start_once_address_is_free());
        }
        Err(source) => {
            return Err(LeaseError::Bind {
                address: startup.address(),
                limiter: startup.lease.limiter,
                source,
            })
        }
    }
    Ok(())
}

fn read_key(lease: &LeaseConfig) -> Result<SharedKey, LeaseError> {
    let path = lease.key_file.clone();
    let secret = std::fs::read(&path).map_err(|source| LeaseError::ReadKey {
        path: path.clone(),
        source,
    })?;
    if secret.is_empty() {
        return Err(LeaseError::EmptyKey { path });
    }
    Ok(SharedKey::new(&secret))
}

/// The inputs of a start, kept until the address is bound.
struct Startup {
    lease: LeaseConfig,
    key: SharedKey,
    node_id: u32,
    phases: watch::Receiver<Phase>,
    usage_recorder: Option<Rc<UsageRecorder>>,
}

impl Startup {
    fn addresses(&self) -> Vec<SocketAddr> {
        self.lease.limiters.values().copied().collect()
    }

    fn address(&self) -> SocketAddr {
        self.addresses()[self.node_id as usize]
    }

    async fn bind(&self) -> io::Result<Peers> {
        Peers::bind(self.key.clone(), self.node_id, self.addresses()).await
    }

    async fn start_once_address_is_free(mut self) {
        while *self.phases.borrow_and_update() == Phase::Serving {
            sleep(BIND_RETRY_INTERVAL).await;
            if let Ok(peers) = self.bind().await {
                return self.start_tasks(peers);
            }
        }
    }

    fn start_tasks(self, peers: Peers) {
        if self.lease.clock_fault != ClockFault::default() {
            tracing::warn!("lease.clock: this process's clocks are wrong on purpose, for a test");
        }
        let peers = Rc::new(peers);
        let node = Rc::new(LeaseNode::new(&self.lease, peers.clone()));
        let export = self.export_task(&node, &peers);
        for (index, task) in self.lease.tasks.into_iter().enumerate() {
            match task.action {
                TaskAction::Heartbeat { target } => {
                    spawn(HeartbeatTask::new(node.clone(), index, target, task).run());
                }
                TaskAction::ExportUsage { .. } => {
                    if let Some(export) = &export {
                        spawn(export.clone().run());
                    }
                }
            }
        }
        spawn(receive::run(peers, node.clone(), export));
        spawn(propose::run(node.clone()));
        spawn(release_at_shutdown(node, self.phases));
    }

    /// Returns the usage export for the first task that exports usage, which is the task that the spool was opened for.
    fn export_task(&self, node: &Rc<LeaseNode>, peers: &Rc<Peers>) -> Option<Rc<ExportTask>> {
        let usage_recorder = self.usage_recorder.clone()?;
        let is_export = |task: &Task| matches!(task.action, TaskAction::ExportUsage { .. });
        let index = self.lease.tasks.iter().position(is_export)?;
        let task = self.lease.tasks[index].clone();
        let TaskAction::ExportUsage { sink, .. } = &task.action else {
            return None;
        };
        Some(Rc::new(ExportTask {
            node: node.clone(),
            peers: peers.clone(),
            limiters: self.lease.limiters.keys().cloned().collect(),
            task_index: index,
            exporter: Exporter::new(sink),
            task,
            usage_recorder,
        }))
    }
}

async fn release_at_shutdown(node: Rc<LeaseNode>, mut phases: watch::Receiver<Phase>) {
    let is_shutting_down = phases
        .wait_for(|phase| *phase != Phase::Serving)
        .await
        .is_ok();
    if is_shutting_down {
        node.release_all().await;
    }
}
