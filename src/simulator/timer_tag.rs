//! The text form of timers: the kind, followed by a colon and the request id in hexadecimal if the timer has one.

use crate::api::{RequestId, Timer};

/// Returns the tag of a timer.
pub(super) fn format_tag(timer: Timer) -> String {
    match timer {
        Timer::Deadline { id } => format!("deadline:{:x}", id.0),
        Timer::LatencyObjective { id } => format!("late:{:x}", id.0),
        Timer::CounterWait { id } => format!("wait:{:x}", id.0),
        Timer::ReleaseQueue => "held".to_owned(),
        Timer::WatchHosts => "watch".to_owned(),
        Timer::Sweep => "sweep".to_owned(),
    }
}

/// Parses a tag; `None` if it is unknown.
pub(super) fn parse_tag(tag: &str) -> Option<Timer> {
    let (kind, digits) = tag.split_once(':').unwrap_or((tag, ""));
    let id = u64::from_str_radix(digits, 16).map(RequestId).ok();
    match (kind, id) {
        ("deadline", Some(id)) => Some(Timer::Deadline { id }),
        ("late", Some(id)) => Some(Timer::LatencyObjective { id }),
        ("wait", Some(id)) => Some(Timer::CounterWait { id }),
        ("held", None) => Some(Timer::ReleaseQueue),
        ("watch", None) => Some(Timer::WatchHosts),
        ("sweep", None) => Some(Timer::Sweep),
        _ => None,
    }
}
