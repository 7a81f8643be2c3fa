//! Export of usage: each customer's usage is counted in a sink exactly once, even if processes fail during the export.
//!
//! Each limiter records in a [`Spool`] the attempts that it is about to send, their outcomes, and numbered batches of
//! their usage. The exporter, which is the limiter that holds the lease of the export, fetches batches in order and
//! appends them to its own file in the sink. A batch is identified by its source and sequence number, so that a
//! repeated write has no effect on the sums.
//!
//! The crate uses no files, sockets or clock. `docs/design-leases.md` explains the design.

mod message;
mod record;
mod sink;
mod spool;
mod usage;

pub use message::{Message, MessageError, MAX_MESSAGE_BYTES};
pub use sink::{Sink, SinkRecord, SinkReport};
pub use spool::{AttemptOutcome, RecoveredSpool, Spool, SpoolError, StartedAttempt};
pub use usage::{to_milliunits, Batch, BatchId, Customer, Source, Usage, UsageByCustomer};
