//! Leases for fleet-wide tasks: at most one limiter at a time may act for the whole fleet.
//!
//! The protocol is `PaxosLease` (Trencséni, Gazsó and Reinhardt, 2012). A [`Proposer`] asks a fixed, odd set of
//! [`Acceptor`]s, which keep their state in memory only. Every operation of a lease holder carries a [`FencingToken`]
//! that only grows and that the target checks, and a [`Guard`] refuses to start an operation that may outlive the
//! lease.
//!
//! The crate has no sockets, files or clock: `now` is the monotonic clock of the process, passed in with each event.
//! `docs/design-leases.md` gives the reasons for the design.

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
