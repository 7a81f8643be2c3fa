//! Draining a connection after the counter's address has changed: it gets no new calls, and its answers are still read.

use super::call_queue::CallQueue;
use super::client::CounterClient;
use super::connection::CounterConnection;
use super::receive::record_answers;
use crate::net::resp::codec;
use std::io;
use std::rc::Rc;
use tokio::time::timeout;

/// Reads answers on a connection until all its calls are answered or have timed out, and closes it.
pub(super) async fn drain(
    client: Rc<CounterClient>,
    queue: Rc<CallQueue>,
    mut connection: CounterConnection,
) {
    let call_timeout = client.limits.counter.call_timeout.get();
    let answers = read_remaining_answers(&client, &queue, &mut connection);
    // After the timeout the remaining calls are ended as after a failed connection.
    let _ = timeout(call_timeout, answers).await;
    queue.abandon(connection, &client.engine);
}

async fn read_remaining_answers(
    client: &CounterClient,
    queue: &CallQueue,
    connection: &mut CounterConnection,
) {
    while connection.flush(&client.limits).is_ok() && !connection.unanswered.is_empty() {
        if wait_for_bytes(client, connection).await.is_err() {
            return;
        }
        if record_answers(client, queue, connection).is_err() {
            return;
        }
    }
}

/// Waits until bytes are received or more can be written.
async fn wait_for_bytes(
    client: &CounterClient,
    connection: &mut CounterConnection,
) -> io::Result<()> {
    let step = client.limits.codec.read_chunk_bytes;
    let (mut reader, writer) = connection.stream.split();
    tokio::select! {
        received = codec::read_more(&mut reader, &mut connection.input, step) => received,
        _ = writer.writable(), if !connection.output.is_empty() => Ok(()),
    }
}
