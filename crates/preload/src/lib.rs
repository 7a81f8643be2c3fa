//! A library that tests load into a limiter's process (`LD_PRELOAD`). It replaces functions of the C library; no part of
//! the limiter depends on it.

use libc::{c_int, clockid_t, timespec, CLOCK_REALTIME};

/// The environment variable that names the file with the step of the wall clock, in whole seconds. There is no step while
/// the file does not exist.
const STEP_FILE_VARIABLE: &str = "QUARTZCLEAT_WALL_CLOCK_STEP_FILE";

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
