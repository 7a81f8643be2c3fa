//! Limits for connections of clients and for the messages on them.

use std::time::Duration;

/// Limits for connections of clients.
#[derive(Clone, Debug)]
pub struct DownstreamLimits {
    /// Connections of all processes of this limiter together. A further one replaces the connection that has been idle
    /// longest; where none is idle, all its requests are rejected.
    pub max_connections: usize,
    /// How long a new connection may take to send its first complete command, and how long any further command may take
    /// from its first byte to its last.
    pub command_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// A connection without a request yet is evicted as if it had been idle for this much longer.
    pub unused_eviction_advance: Duration,
    /// How long a client may read nothing of the answers that are ready for it.
    pub write_stall_timeout: Duration,
    /// How long a connection that is closed here waits for the client to close it too.
    pub linger_timeout: Duration,
    /// How often a connection that is not read from is checked for a client that has gone.
    pub liveness_check_interval: Duration,
    /// Unanswered requests of one connection, past which further ones are rejected.
    pub max_pipelined_requests: usize,
    /// Commands of one connection that may be queued, those past `max_pipelined_requests` included. With more of them
    /// the connection is not read.
    pub max_queued_commands: usize,
    /// Answers that a client has not read yet, past which its connection is not read.
    pub max_unsent_bytes: usize,
}

impl DownstreamLimits {
    pub(super) fn new(sockets: usize) -> Self {
        DownstreamLimits {
            // Requests use at most a third of the descriptors for clients' connections; the rest is for idle ones.
            max_connections: sockets / 2,
            command_timeout: Duration::from_millis(2_600),
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
/// The bytes of a message beside its longest value.
const MAX_FRAME_OVERHEAD_BYTES: usize = 8 << 10;

/// Limits for messages of clients and hosts.
#[derive(Clone, Debug)]
pub struct CodecLimits {
    /// The longest value that is read as a whole.
    pub max_value_bytes: usize,
    /// The longest message.
    pub max_frame_bytes: usize,
    /// The most arguments of a command, and the most members of an array.
    pub max_arguments: usize,
    /// By how many bytes a read buffer grows at a time.
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
