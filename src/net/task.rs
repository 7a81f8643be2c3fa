//! Tasks on the process's single thread.

use std::future::Future;

/// Spawns a detached task on the current [`LocalSet`](tokio::task::LocalSet).
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    drop(tokio::task::spawn_local(task));
}
