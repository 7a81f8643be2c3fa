//! The links of a run: one relay of datagrams for each ordered pair of limiters that communicates, and one relay of
//! streams between each limiter and the target. A cut link drops datagrams and holds back streams silently.

mod datagram;
mod stream;

pub use datagram::{DatagramCut, DatagramLink, LinkTraffic};
pub use stream::{ClosedGate, Gate, StreamLink};
