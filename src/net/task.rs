//! Tasks on the one thread there is.

use std::future::Future;

/// Starts a task.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    drop(tokio::task::spawn_local(task));
}
