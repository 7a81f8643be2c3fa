//! RESP2, the protocol of both sides: its codec, the connections of clients (downstream) and those to hosts (upstream).

pub mod close;
pub mod codec;
pub mod downstream;
pub mod eviction;
pub mod upstream;

#[cfg(test)]
mod tests;
