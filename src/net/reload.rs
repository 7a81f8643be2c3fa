//! SIGHUP: the configuration is read again. The addresses of discovery and the counter that it names hold from
//! then on; all else holds until the next start.

use super::config::{self, Config};
use super::task::spawn;
use super::Node;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};

/// Waits for SIGHUP, each time it comes.
pub fn watch(node: &Rc<Node>) -> Result<(), String> {
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| format!("cannot wait for SIGHUP: {e}"))?;
    let node = node.clone();
    spawn(async move {
        while hangup.recv().await.is_some() {
            apply(&node, config::again());
        }
    });
    Ok(())
}

/// Goes over to a new configuration. Guards against a faulty one: it is reported, and the old one holds.
fn apply(node: &Node, read: Result<Config, String>) {
    match read {
        Err(problem) => tracing::warn!("the configuration stays as it was: {problem}"),
        Ok(Config { addresses, .. }) => {
            node.addresses.send_if_modified(|held| std::mem::replace(held, addresses) != addresses);
        }
    }
}
