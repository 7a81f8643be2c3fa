//! RESP2, the protocol spoken with clients and hosts: the codec, the client connections (downstream) and the
//! connections to hosts (upstream).

pub mod close;
pub mod codec;
pub mod downstream;
pub mod eviction;
pub mod shared_reader;
pub mod upstream;

#[cfg(test)]
mod tests;
