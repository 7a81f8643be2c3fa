//! Logging with `tracing`: lines for people or JSON to standard error, filtered by level and target. Each call site is
//! rate-limited, so that a repeated fault does not fill the part of standard error that the platform keeps.

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

/// Call sites are distinguished by so many slots; two that share a slot share its allowance.
const CALL_SITE_SLOTS: usize = 256;

/// Why logging cannot begin.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The filter of the configuration is malformed.
    #[error("log.filter: {0}")]
    Filter(#[from] ParseError),
    /// Logging has begun already.
    #[error("cannot log: {0}")]
    Begin(#[from] TryInitError),
}

/// The lines of one call site in its current window.
#[derive(Default)]
struct CallSite {
    /// The start of the window, in milliseconds since the limiter's start.
    window_start_ms: AtomicU64,
    /// Lines since then, suppressed ones included.
    lines: AtomicU64,
    /// Lines suppressed in the window before, to be reported with the next line.
    suppressed: AtomicU64,
}

/// Limits the lines of each call site in a window of time.
struct RateLimiter {
    start: Instant,
    window_ms: u64,
    /// The lines of one call site in a window.
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

    /// Whether a call site may write one more line now.
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

/// The rate limiter as a filter of events.
struct RateLimitFilter(Arc<RateLimiter>);

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // Metrics are logged at an interval of their own.
        if event.metadata().target() == metrics::TARGET {
            return true;
        }
        let call_site = self.0.call_site(event.metadata());
        let now_ms = self.0.start.elapsed().as_millis() as u64;
        self.0.is_allowed(call_site, now_ms)
    }
}

/// Writes an event, and behind it how many of its call site were suppressed before.
struct SuppressionReport<F> {
    format: F,
    rate_limiter: Arc<RateLimiter>,
    form: LogFormat,
}

impl<F> SuppressionReport<F> {
    fn new(format: F, rate_limiter: Arc<RateLimiter>, form: LogFormat) -> Self {
        SuppressionReport {
            format,
            rate_limiter,
            form,
        }
    }
}

impl<S, N, F> FormatEvent<S, N> for SuppressionReport<F>
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
        self.format.format_event(context, writer.by_ref(), event)?;
        if suppressed == 0 {
            return Ok(());
        }
        match self.form {
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

/// Begins logging.
///
/// # Errors
/// Fails where the filter is malformed or logging has begun already.
pub fn begin(log: &LogConfig) -> Result<(), LoggingError> {
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
            let report = SuppressionReport::new(format, rate_limiter, log.format);
            let layer = layer.event_format(report).with_filter(rate_limit);
            registry.with(layer).try_init()?;
        }
        LogFormat::Json => {
            let report = SuppressionReport::new(format.json(), rate_limiter, log.format);
            let layer = layer.json().event_format(report).with_filter(rate_limit);
            registry.with(layer).try_init()?;
        }
    }
    Ok(())
}
