//! The choice which of two processes that listen at one address accepts further connections.
//!
//! A listening socket that is closed loses the connections in its queue. From the moment of handover the kernel
//! gives all of them to the later process, so that the older one can empty its queue and then close it.

use nix::libc::{sock_filter, sock_fprog};
use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use std::os::fd::AsFd;

#[cfg(test)]
mod tests;

/// `BPF_RET | BPF_K`: the program returns the constant `k`.
const RETURN_CONSTANT: u16 = 0x06;
/// The index, in the order of listening, of the socket that gets the connections.
const SECOND_SOCKET: u32 = 1;

/// Gives all further connections to the second process that listens at this address. Where there is no second one any
/// more, the kernel takes the index for no choice, and the process that is left gets them.
///
/// # Errors
/// The kernel does not support this; connections then still come to either process.
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
