//! Limits for connections of clients and for the messages on them.

use std::time::Duration;

/// Limits for connections of clients.
#[derive(Clone, Debug)]
pub struct DownstreamLimits {
    /// Maximum number of connections of all processes of this limiter together. A further one replaces the connection
    /// that has been idle longest; if none is idle, all requests on the further one are rejected.
    pub max_connections: usize,
    /// Time within which a new connection must send its first complete command, and within which each further command
    /// must arrive from its first byte to its last.
    pub command_timeout: Duration,
    /// Maximum time for which a long command waits for memory. The rest of `command_timeout` is for the client to send
    /// the rest of the command.
    pub max_memory_wait: Duration,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// Time that is added to the idle time of a connection without any request yet, so that it is evicted earlier.
    pub unused_eviction_advance: Duration,
    /// Time for which a client may leave the answers that are ready for it unread.
    pub write_stall_timeout: Duration,
    /// Time for which a connection that the limiter closed waits for the client to close it too.
    pub linger_timeout: Duration,
    /// Interval at which a connection that is not being read is checked for a client that has disconnected.
    pub liveness_check_interval: Duration,
    /// Maximum number of unanswered requests of one connection, past which further ones are rejected.
    pub max_pipelined_requests: usize,
    /// Maximum number of queued commands of one connection, including those past `max_pipelined_requests`. While the
    /// queue is full the connection is not read.
    pub max_queued_commands: usize,
    /// Maximum size of the answers that a client has not read yet, past which its connection is not read.
    pub max_unsent_bytes: usize,
}

impl DownstreamLimits {
    pub(super) fn new(sockets: usize) -> Self {
        DownstreamLimits {
            // Requests use at most a third of the descriptors for client connections; the rest is for idle connections.
            max_connections: sockets / 2,
            command_timeout: Duration::from_millis(2_600),
            max_memory_wait: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(5),
            unused_eviction_advance: Duration::from_secs(1),
            write_stall_timeout: Duration::from_secs(20),
            linger_timeout: Duration::from_millis(500),
            liveness_check_interval: Duration::from_millis(50),
            max_pipelined_requests: 1024,
            max_queued_commands: 4096,
            max_unsent_bytes: 256 << 10,
        }
    }
}

const MAX_VALUE_BYTES: usize = 64 << 10;
/// Maximum number of bytes of a message besides its longest value.
const MAX_FRAME_OVERHEAD_BYTES: usize = 8 << 10;

/// Limits for messages of clients and hosts.
#[derive(Clone, Debug)]
pub struct CodecLimits {
    /// Maximum length of a value that is buffered as a whole.
    pub max_value_bytes: usize,
    /// Maximum length of a message.
    pub max_frame_bytes: usize,
    /// Maximum number of arguments of a command, and of members of an array.
    pub max_arguments: usize,
    /// Number of bytes by which a read buffer grows at a time.
    pub read_chunk_bytes: usize,
}

impl CodecLimits {
    pub(super) fn new() -> Self {
        CodecLimits {
            max_value_bytes: MAX_VALUE_BYTES,
            max_frame_bytes: MAX_VALUE_BYTES + MAX_FRAME_OVERHEAD_BYTES,
            max_arguments: 16,
            read_chunk_bytes: 4 << 10,
        }
    }
}
