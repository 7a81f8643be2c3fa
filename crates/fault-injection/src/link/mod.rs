//! The links of a run: one datagram relay for each ordered pair of limiters that communicate, and one stream relay
//! between each limiter and the target. A cut link drops datagrams and holds back streams; neither end gets an error.

mod datagram;
mod stream;

pub use datagram::{DatagramCut, DatagramLink, LinkTraffic};
pub use stream::{ClosedGate, Gate, StreamLink};
