//! The task that receives datagrams and dispatches their messages to the leases or the usage export.

use super::export::ExportTask;
use super::node::LeaseNode;
use crate::net::peers::{Datagram, DatagramKind, DropReason, Peers};
use quartzcleat_lease::{Message, MAX_MESSAGE_BYTES};
use quartzcleat_usage_export as usage_export;
use std::rc::Rc;

/// Runs until the process ends.
pub(super) async fn run(peers: Rc<Peers>, node: Rc<LeaseNode>, export: Option<Rc<ExportTask>>) {
    loop {
        let datagram = peers.receive().await;
        let handled = match datagram.kind {
            DatagramKind::Lease => handle_lease_message(&node, &datagram),
            DatagramKind::UsageExport => handle_export_message(export.as_deref(), &datagram),
            DatagramKind::Unknown(_) => Err(DropReason::Malformed),
        };
        if let Err(reason) = handled {
            peers.count_drop(reason);
        }
    }
}

fn handle_lease_message(node: &LeaseNode, datagram: &Datagram) -> Result<(), DropReason> {
    if datagram.payload.len() > MAX_MESSAGE_BYTES {
        return Err(DropReason::Malformed);
    }
    let message = Message::decode(&datagram.payload).map_err(|_| DropReason::Malformed)?;
    node.handle_message(datagram.sender, &message);
    Ok(())
}

fn handle_export_message(
    export: Option<&ExportTask>,
    datagram: &Datagram,
) -> Result<(), DropReason> {
    let message =
        usage_export::Message::decode(&datagram.payload).map_err(|_| DropReason::Malformed)?;
    if let Some(export) = export {
        export.handle_message(datagram.sender, message);
    }
    Ok(())
}
