//! Redirection of new connections between two processes that listen on one address.
//!
//! Closing a listening socket resets the connections in its accept queue. From the handover on the kernel queues all
//! new connections at the later process, so that the earlier one can empty its queue before it closes the socket.

use nix::libc::{sock_filter, sock_fprog};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use std::os::fd::AsFd;

#[cfg(test)]
mod tests;

/// Classic BPF opcode `BPF_RET | BPF_K`: return the constant `k`.
const RETURN_CONSTANT: u16 = 0x06;
/// Index, in the order of `listen` calls, of the socket that gets the connections.
const SECOND_SOCKET: u32 = 1;

/// Directs all new connections to the second process that listens on this address. Once only one process is left, the
/// index is out of range; the kernel then ignores it, and that process gets the connections.
///
/// # Errors
/// Returns an error if the kernel does not support this; it then still distributes connections over both processes.
pub fn redirect_to_second(listener: &impl AsFd) -> nix::Result<()> {
    let mut filter = [sock_filter {
        code: RETURN_CONSTANT,
        jt: 0,
        jf: 0,
        k: SECOND_SOCKET,
    }];
    let program = sock_fprog {
        len: 1,
        filter: filter.as_mut_ptr(),
    };
    setsockopt(listener, AttachReusePortCbpf, &program)
}
