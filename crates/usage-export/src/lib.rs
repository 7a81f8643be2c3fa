//! Export of usage: the usage of each customer is written to a sink exactly once, even if processes fail meanwhile.
//!
//! Each limiter keeps a [`Spool`] of the attempts that it is about to send, of how they ended, and of numbered batches of
//! their sums. The exporter, which is the lease holder of the export, fetches batches in order and appends them to its
//! own file in the sink. A batch is identified by its source and sequence number, so that writing it twice changes
//! nothing.
//!
//! The crate has no files, sockets or clock. `docs/design-leases.md` gives the reasons for the design.

mod message;
mod record;
mod sink;
mod spool;
mod usage;

pub use message::{Message, MessageError, MAX_MESSAGE_BYTES};
pub use sink::{Sink, SinkRecord, SinkReport};
pub use spool::{AttemptOutcome, RecoveredSpool, Spool, SpoolError, StartedAttempt};
pub use usage::{to_milliunits, Batch, BatchId, Customer, Source, Usage, UsageByCustomer};
