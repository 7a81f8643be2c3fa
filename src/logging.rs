//! Logging with `tracing` to standard error, as text or JSON, filtered by level and target.
//!
//! Each call site is rate-limited, because the platform keeps only a part of standard error and a repeated fault would
//! displace everything else in it.

use crate::net::metrics;
use quartzcleat_config::product::{LogConfig, LogFormat};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::filter::{EnvFilter, ParseError};
use tracing_subscriber::fmt::format::{Format, Writer};
use tracing_subscriber::fmt::{time::Uptime, FmtContext, FormatEvent, FormatFields, Layer};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt as _};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::{SubscriberInitExt as _, TryInitError};
use tracing_subscriber::Layer as _;

#[cfg(test)]
mod tests;

/// Number of hash slots for call sites. Call sites that hash to the same slot share its burst.
const CALL_SITE_SLOTS: usize = 256;

/// The reason why logging cannot be initialized.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The configured filter is malformed.
    #[error("log.filter: {0}")]
    Filter(#[from] ParseError),
    /// A global subscriber is already installed.
    #[error("cannot initialize logging: {0}")]
    AlreadyInitialized(#[from] TryInitError),
}

/// The counts of one call-site slot in its current window.
#[derive(Default)]
struct CallSite {
    /// Start of the window, in milliseconds since [`RateLimiter::start`].
    window_start_ms: AtomicU64,
    /// Lines in this window, including suppressed ones.
    lines: AtomicU64,
    /// Lines suppressed in the previous window, reported with the next line that is written.
    suppressed: AtomicU64,
}

/// Limits the lines that each call site writes per time window.
struct RateLimiter {
    start: Instant,
    window_ms: u64,
    /// Lines that one call site may write per window.
    burst: u64,
    call_sites: Vec<CallSite>,
}

impl RateLimiter {
    fn new(log: &LogConfig) -> Self {
        RateLimiter {
            start: Instant::now(),
            window_ms: log.window.as_millis() as u64,
            burst: log.burst.into(),
            call_sites: (0..CALL_SITE_SLOTS).map(|_| CallSite::default()).collect(),
        }
    }

    fn call_site(&self, metadata: &Metadata<'_>) -> &CallSite {
        let line = metadata.line().unwrap_or(0) as usize;
        let hash = metadata
            .target()
            .bytes()
            .fold(line, |hash, byte| hash.wrapping_mul(31) + usize::from(byte));
        &self.call_sites[hash % CALL_SITE_SLOTS]
    }

    /// Counts a line of a call site and returns whether it may be written.
    fn is_allowed(&self, call_site: &CallSite, now_ms: u64) -> bool {
        let window_end_ms = call_site.window_start_ms.load(Relaxed) + self.window_ms;
        if now_ms < window_end_ms && call_site.lines.load(Relaxed) > 0 {
            return call_site.lines.fetch_add(1, Relaxed) < self.burst;
        }
        let suppressed = call_site.lines.load(Relaxed).saturating_sub(self.burst);
        call_site.suppressed.store(suppressed, Relaxed);
        call_site.window_start_ms.store(now_ms, Relaxed);
        call_site.lines.store(1, Relaxed);
        true
    }
}

/// Adapts [`RateLimiter`] to a [`Filter`] of events.
struct RateLimitFilter(Arc<RateLimiter>);

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // Metrics are already limited by their own interval.
        if event.metadata().target() == metrics::TARGET {
            return true;
        }
        let call_site = self.0.call_site(event.metadata());
        let now_ms = self.0.start.elapsed().as_millis() as u64;
        self.0.is_allowed(call_site, now_ms)
    }
}

/// Formats an event and appends how many lines of its call site were suppressed in the previous window.
struct SuppressionReporter<F> {
    inner: F,
    rate_limiter: Arc<RateLimiter>,
    log_format: LogFormat,
}

impl<F> SuppressionReporter<F> {
    fn new(inner: F, rate_limiter: Arc<RateLimiter>, log_format: LogFormat) -> Self {
        SuppressionReporter {
            inner,
            rate_limiter,
            log_format,
        }
    }
}

impl<S, N, F> FormatEvent<S, N> for SuppressionReporter<F>
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    F: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let call_site = self.rate_limiter.call_site(event.metadata());
        let suppressed = call_site.suppressed.swap(0, Relaxed);
        self.inner.format_event(context, writer.by_ref(), event)?;
        if suppressed == 0 {
            return Ok(());
        }
        match self.log_format {
            LogFormat::Human => {
                writeln!(
                    writer,
                    "    ({suppressed} lines like it were left out before)"
                )
            }
            LogFormat::Json => {
                let target = event.metadata().target();
                writeln!(
                    writer,
                    "{{\"target\":\"{target}\",\"left_out\":{suppressed}}}"
                )
            }
        }
    }
}

/// Installs the global subscriber.
///
/// # Errors
/// Returns an error if the filter is malformed or a global subscriber is already installed.
pub fn init(log: &LogConfig) -> Result<(), LoggingError> {
    let filter = EnvFilter::try_new(&log.filter)?;
    let registry = tracing_subscriber::registry().with(filter);
    let rate_limiter = Arc::new(RateLimiter::new(log));
    let rate_limit = RateLimitFilter(rate_limiter.clone());
    let format = Format::default()
        .with_ansi(false)
        .with_timer(Uptime::default());
    let layer = Layer::default()
        .with_writer(std::io::stderr)
        .with_ansi(false);
    match log.format {
        LogFormat::Human => {
            let formatter = SuppressionReporter::new(format, rate_limiter, log.format);
            let layer = layer.event_format(formatter).with_filter(rate_limit);
            registry.with(layer).try_init()?;
        }
        LogFormat::Json => {
            let formatter = SuppressionReporter::new(format.json(), rate_limiter, log.format);
            let layer = layer.json().event_format(formatter).with_filter(rate_limit);
            registry.with(layer).try_init()?;
        }
    }
    Ok(())
}
