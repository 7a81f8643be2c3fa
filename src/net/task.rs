//! Tasks on the process's single thread.

use std::future::Future;
use tokio::task::AbortHandle;

/// Spawns a detached task on the current [`LocalSet`](tokio::task::LocalSet).
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    drop(tokio::task::spawn_local(task));
}

/// A task that is cancelled when this value is dropped.
pub struct BoundTask {
    task: AbortHandle,
}

impl BoundTask {
    /// Spawns a task on the current [`LocalSet`](tokio::task::LocalSet).
    pub fn spawn(task: impl Future<Output = ()> + 'static) -> Self {
        BoundTask {
            task: tokio::task::spawn_local(task).abort_handle(),
        }
    }
}

impl Drop for BoundTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}
