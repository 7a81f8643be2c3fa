//! Stand-ins on loopback: nodes, the counter, discovery and clients, that play a [`quartzcleat_simulation::Scenario`]
//! before real limiter processes and record what an observer outside them sees, for the same rules that judge the
//! world. Written from the platform's protocol; the capacity of nodes and the totals of the counter are the world's
//! own models, so that both stages tell one story.
//!
//! What differs from the world: time is real, a connection that is refused for one attempt alone is played as a
//! turned-away one, and a vanished machine still completes TCP handshakes.

mod client;
mod counter;
mod discovery;
mod limiter;
mod node;
mod resp;
pub mod stage;

pub use stage::{play, Stage};
