//! Limits on the memory that a process holds for others.

/// Memory of one process that no client, host or service decides on: the program, the decision engine and its hosts.
const PROCESS_BYTES: usize = 8 << 20;
/// Part of the remaining memory that may be reserved, in tenths. The rest is for the allocator, which cannot reuse every
/// free block, and for what is too small to be reserved.
const RESERVABLE_TENTHS: usize = 6;
/// Part of the memory that may be reserved in any case, if little remains beside the process itself.
const MIN_RESERVABLE_DIVISOR: usize = 8;

/// Limits on the memory that is reserved for clients, hosts and services.
#[derive(Clone, Debug)]
pub struct MemoryLimits {
    /// Memory of all processes of this limiter together.
    memory_bytes: usize,
    /// Reservation for a connection of a client: its task, its buffers and its responses of a few bytes.
    pub client_connection_bytes: usize,
    /// Reservation for a connection to a host: its task and its buffers.
    pub host_connection_bytes: usize,
    /// Reservation for an open request beside its arguments: its tasks, its attempts and a short answer.
    pub request_bytes: usize,
    /// Reservation for what the decision engine keeps of a customer: its counts, and the capacity of growing tables.
    pub customer_bytes: usize,
    /// Length of the longest value for which no memory is reserved beside that of its request.
    pub max_short_value_bytes: usize,
    /// Memory that parsing an endpoint list takes, as a multiple of its length.
    pub endpoint_list_factor: usize,
}

impl MemoryLimits {
    pub(super) fn new(memory_bytes: usize) -> Self {
        MemoryLimits {
            memory_bytes,
            client_connection_bytes: 8 << 10,
            host_connection_bytes: 12 << 10,
            request_bytes: 4 << 10,
            customer_bytes: 512,
            max_short_value_bytes: 2 << 10,
            endpoint_list_factor: 6,
        }
    }

    /// Returns how much each of `process_count` processes of this limiter may reserve.
    pub(super) fn reservable_bytes(&self, process_count: usize) -> usize {
        let share = self.memory_bytes / process_count;
        let remaining = share.saturating_sub(PROCESS_BYTES);
        let reservable = remaining / 10 * RESERVABLE_TENTHS;
        reservable.max(share / MIN_RESERVABLE_DIVISOR)
    }
}
