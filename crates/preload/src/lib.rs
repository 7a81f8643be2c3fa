//! A library that tests load into a limiter's process (`LD_PRELOAD`). It replaces functions of the C library; no part of
//! the limiter depends on it.

use libc::{c_int, c_void, clockid_t, size_t, ssize_t, timespec, CLOCK_REALTIME, EINTR};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// The environment variable that names the file with the step of the wall clock, in whole seconds. There is no step while
/// the file does not exist.
const STEP_FILE_VARIABLE: &str = "QUARTZCLEAT_WALL_CLOCK_STEP_FILE";

/// The environment variable with the number N: every N-th read of a socket is interrupted. None is, if it is not set.
const INTERRUPTED_READS_VARIABLE: &str = "QUARTZCLEAT_INTERRUPTED_READS";

/// Number of reads of sockets so far.
static READS: AtomicU64 = AtomicU64::new(0);

/// Returns the step of the wall clock in seconds.
fn wall_clock_step() -> i64 {
    let path = std::env::var_os(STEP_FILE_VARIABLE);
    let text = path.and_then(|path| std::fs::read_to_string(path).ok());
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// Reads a clock, as `clock_gettime(2)` does, and adds the step to the wall clock.
///
/// # Safety
/// `time` must point to a `timespec` that may be written.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller passes a valid pointer, and the kernel checks it.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) };
    if result == 0 && clock == CLOCK_REALTIME {
        // SAFETY: the call has just written to `time`.
        unsafe { (*time).tv_sec += wall_clock_step() };
    }
    c_int::try_from(result).unwrap_or(-1)
}

/// Counts a read of a socket and returns whether it is interrupted.
fn is_interrupted() -> bool {
    let text = std::env::var(INTERRUPTED_READS_VARIABLE).ok();
    let interval = text.and_then(|text| text.parse().ok());
    interval.is_some_and(|interval: u64| (READS.fetch_add(1, Relaxed) + 1).is_multiple_of(interval))
}

/// Receives from a socket, as `recv(2)` does, or fails as if a signal had interrupted the call.
///
/// # Safety
/// `buffer` must point to `length` bytes that may be written.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    if is_interrupted() {
        // SAFETY: the C library returns the address of the calling thread's error number.
        unsafe { *libc::__errno_location() = EINTR };
        return -1;
    }
    // SAFETY: the caller passes a valid buffer, and `recvfrom` without an address does what `recv` does.
    unsafe {
        libc::recvfrom(
            socket,
            buffer,
            length,
            flags,
            std::ptr::null_mut(),
            std::ptr::null_mut(),
        )
    }
}
