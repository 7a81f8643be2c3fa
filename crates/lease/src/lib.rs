//! Leases for fleet-wide tasks: at most one limiter at a time holds the lease of a task and acts for the whole fleet.
//!
//! The protocol is `PaxosLease` (Trencséni, Gazsó and Reinhardt, 2012). A [`Proposer`] sends its proposals to a fixed,
//! odd number of [`Acceptor`]s, which keep their state in memory only. Every operation of a lease holder carries a
//! [`FencingToken`], which is greater for each later holder and which the target checks. A [`Guard`] permits no
//! operation that may outlive the lease.
//!
//! The crate uses no sockets, files or clock: `now` is the time on the monotonic clock of the process, passed in with
//! each event. `docs/design-leases.md` explains the design.

mod acceptor;
mod envelope;
mod fencing;
mod guard;
mod message;
mod proposer;
mod stagger;
mod timing;

pub use acceptor::Acceptor;
pub use envelope::{open, seal, Envelope, EnvelopeError, SharedKey, VERSION};
pub use fencing::{BeginError, ExclusiveFence, HighestToken, StaleToken};
pub use guard::{Guard, PermittedOperation};
pub use message::{Ballot, Body, FencingToken, Message, MessageError, MAX_MESSAGE_BYTES};
pub use proposer::{AcceptorIndex, Phase, Proposer, ProposerConfig};
pub use stagger::stagger_delay;
pub use timing::{LeaseTiming, Nanos};
