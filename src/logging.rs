//! Logging, on tracing: lines for people or JSON to standard error, filtered by level and target, and rate-limited
//! for each place that logs, so that a fault that repeats does not fill what the platform keeps.

use crate::net::metrics;
use quartzcleat_config::product::{LogConfig, LogFormat};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Instant;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::fmt::format::{Format, Writer};
use tracing_subscriber::fmt::{time::Uptime, FmtContext, FormatEvent, FormatFields, Layer};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt as _};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt as _;
use tracing_subscriber::Layer as _;

/// Places that log are told apart by so many slots; two that share one share its allowance.
const SLOTS: usize = 256;

/// What one place has logged lately.
#[derive(Default)]
struct Slot {
    /// Milliseconds at which its window began, and lines since.
    since: AtomicU64,
    lines: AtomicU64,
    /// Lines left out of the window before, to be told with the next.
    left_out: AtomicU64,
}

struct Repeats {
    start: Instant,
    window: u64,
    burst: u64,
    slots: Vec<Slot>,
}

impl Repeats {
    fn new(log: &LogConfig) -> Self {
        let slots = (0..SLOTS).map(|_| Slot::default()).collect();
        Repeats {
            start: Instant::now(),
            window: log.window.as_millis() as u64,
            burst: log.burst.into(),
            slots,
        }
    }

    fn slot(&self, metadata: &Metadata<'_>) -> &Slot {
        let line = metadata.line().unwrap_or(0) as usize;
        let name = metadata
            .target()
            .bytes()
            .fold(line, |hash, byte| hash.wrapping_mul(31) + usize::from(byte));
        &self.slots[name % SLOTS]
    }

    /// Whether one more line of a place may be written at this moment.
    fn allows(&self, slot: &Slot, now: u64) -> bool {
        if now >= slot.since.load(Relaxed) + self.window || slot.lines.load(Relaxed) == 0 {
            let over = slot.lines.load(Relaxed).saturating_sub(self.burst);
            slot.left_out.store(over, Relaxed);
            slot.since.store(now, Relaxed);
            slot.lines.store(1, Relaxed);
            return true;
        }
        slot.lines.fetch_add(1, Relaxed) < self.burst
    }
}

/// The repeats, as a filter.
struct Seldom(Arc<Repeats>);

impl<S: Subscriber> Filter<S> for Seldom {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // The tally keeps to a time of its own.
        if event.metadata().target() == metrics::TARGET {
            return true;
        }
        self.0.allows(
            self.0.slot(event.metadata()),
            self.0.start.elapsed().as_millis() as u64,
        )
    }
}

/// Writes an event, and behind it how many like it were left out before.
struct WithRepeats<F>(F, Arc<Repeats>, LogFormat);

impl<S, N, F> FormatEvent<S, N> for WithRepeats<F>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    F: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        cx: &FmtContext<'_, S, N>,
        mut to: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let left_out = self.1.slot(event.metadata()).left_out.swap(0, Relaxed);
        self.0.format_event(cx, to.by_ref(), event)?;
        match (left_out, self.2) {
            (0, _) => Ok(()),
            (count, LogFormat::Human) => {
                writeln!(to, "    ({count} lines like it were left out before)")
            }
            (count, LogFormat::Json) => {
                writeln!(
                    to,
                    "{{\"target\":\"{}\",\"left_out\":{count}}}",
                    event.metadata().target()
                )
            }
        }
    }
}

/// Begins logging.
///
/// # Errors
/// A filter that cannot be read, or logging that has begun already.
pub fn begin(log: &LogConfig) -> Result<(), String> {
    let filter = EnvFilter::try_new(&log.filter).map_err(|e| format!("log.filter: {e}"))?;
    let repeats = Arc::new(Repeats::new(log));
    let format = Format::default()
        .with_ansi(false)
        .with_timer(Uptime::default());
    let lines = Layer::default()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let registry = tracing_subscriber::registry().with(filter);
    let begun = match log.format {
        LogFormat::Human => {
            let lines = lines.event_format(WithRepeats(format, repeats.clone(), log.format));
            registry.with(lines.with_filter(Seldom(repeats))).try_init()
        }
        LogFormat::Json => {
            let lines =
                lines
                    .json()
                    .event_format(WithRepeats(format.json(), repeats.clone(), log.format));
            registry.with(lines.with_filter(Seldom(repeats))).try_init()
        }
    };
    begun.map_err(|e| format!("cannot log: {e}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_place_writes_its_burst_and_tells_what_it_left_out() {
        let log = LogConfig {
            window: std::time::Duration::from_secs(10),
            burst: 3,
            ..LogConfig::default()
        };
        let repeats = Repeats::new(&log);
        let slot = &repeats.slots[0];
        let written = (0..50).filter(|_| repeats.allows(slot, 5)).count();
        assert_eq!(written, 3);
        assert!(!repeats.allows(slot, 10_004) && repeats.allows(slot, 10_005));
        assert_eq!(slot.left_out.load(Relaxed), 48);
    }
}
