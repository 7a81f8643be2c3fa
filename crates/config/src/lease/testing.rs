//! Fault injection for tests: clock errors, and a crash at a named point.

use crate::fault::Faults;
use crate::lease::LeaseConfigError;
use crate::quantity;
use crate::reader::{one_of, text, Reader};
use crate::tree::Node;
use std::sync::Arc;

/// Greatest injected rate error of the monotonic clock, as a fraction.
const MAX_RATE_ERROR: f64 = 0.2;

/// Greatest accepted value of `after`, the number of passes before the crash.
const MAX_PASSES_BEFORE_CRASH: u64 = 1_000_000;

/// Errors injected into a process's clocks, to simulate those of a faulty machine. The default is no error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockFault {
    /// The rate error of the monotonic clock, in thousandths. Positive values run fast, negative ones slow.
    pub rate_error_per_mille: i64,
    /// The offset of the wall clock, in nanoseconds. Positive values are ahead, negative ones behind.
    pub wall_clock_offset_nanos: i64,
}

/// A crash at a given point of the usage export.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledCrash {
    /// The point at which the process aborts.
    pub at: CrashPoint,
    /// The number of times that the process passes the point before it aborts there, up to 1,000,000.
    pub after: u64,
}

/// A point of the usage export at which a test can abort the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// An attempt has been recorded and not yet sent.
    AttemptRecorded,
    /// An attempt has ended and its end has not been recorded.
    AttemptEnded,
    /// A limiter has cut a batch.
    BatchCut,
    /// The exporter has received a batch and not yet written it.
    BatchReceived,
    /// The exporter has written a batch and not yet acknowledged it.
    BatchWritten,
    /// A limiter has received an acknowledgement and not yet recorded it.
    AcknowledgementReceived,
    /// A limiter has recorded an acknowledgement.
    AcknowledgementRecorded,
}

/// The crash points by their keywords in the configuration.
pub const CRASH_POINTS: [(&str, CrashPoint); 7] = [
    ("attempt-noted", CrashPoint::AttemptRecorded),
    ("attempt-ended", CrashPoint::AttemptEnded),
    ("batch-cut", CrashPoint::BatchCut),
    ("batch-heard", CrashPoint::BatchReceived),
    ("batch-written", CrashPoint::BatchWritten),
    ("have-heard", CrashPoint::AcknowledgementReceived),
    ("have-noted", CrashPoint::AcknowledgementRecorded),
];

pub(super) fn read_scheduled_crash(
    file: &Arc<str>,
    node: &Node,
    faults: &mut Faults,
) -> Option<ScheduledCrash> {
    let mut reader = Reader::new(file, "lease.crash", node, faults);
    let at = reader.need("at", faults, |node| one_of(&text(node)?, &CRASH_POINTS));
    let after = reader.take("after", faults, |node| {
        quantity::count(node, 0..=MAX_PASSES_BEFORE_CRASH)
    });
    reader.end(faults);
    Some(ScheduledCrash {
        at: at?,
        after: after.unwrap_or(0),
    })
}

pub(super) fn read_clock_fault(file: &Arc<str>, node: &Node, faults: &mut Faults) -> ClockFault {
    let mut reader = Reader::new(file, "lease.clock", node, faults);
    let mut share = |key| reader.take(key, faults, quantity::share).unwrap_or(0.0);
    let fast = share("fast");
    let slow = share("slow");
    let mut nanos = |key| reader.take(key, faults, quantity::duration).unwrap_or(0) as i64;
    let ahead = nanos("ahead");
    let behind = nanos("behind");
    if fast > MAX_RATE_ERROR || slow > MAX_RATE_ERROR {
        let problem = LeaseConfigError::ClockErrorTooLarge;
        reader.fault("fast", problem.to_string(), faults);
    }
    reader.end(faults);
    ClockFault {
        rate_error_per_mille: ((fast - slow) * 1_000.0).round() as i64,
        wall_clock_offset_nanos: ahead.saturating_sub(behind),
    }
}
