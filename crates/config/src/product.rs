//! The product's own file, `deploy/quartzcleat.yaml`, for settings that the platform's configuration cannot hold.
//! Without the file the defaults apply, and nothing is enabled that the platform does not allow.

#[cfg(test)]
mod tests;

use crate::fault::Faults;
use crate::lease::{self, LeaseConfig};
use crate::quantity;
use crate::reader::{one_of, text, Alias, Reader};
use crate::tree::{self, Node};
use crate::value::ValueError;
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_LOG_FILTER: &str = "info";
/// The default limit on repeated lines. Without one, a fault that recurs ten times a second would fill the log
/// that the platform keeps of standard error.
const DEFAULT_LOG_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_LOG_BURST: u32 = 5;
const MAX_LOG_BURST: u64 = 1_000_000;

/// The former names of the file's keys.
const ALIASES: &[Alias] = &[Alias::new("tally", "metrics_interval")];

const LOG_LEVELS: [(&str, ()); 6] = [
    ("off", ()),
    ("error", ()),
    ("warn", ()),
    ("info", ()),
    ("debug", ()),
    ("trace", ()),
];
const LOG_FORMATS: [(&str, LogFormat); 2] =
    [("human", LogFormat::Human), ("json", LogFormat::Json)];

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// The filter, the format and the rate limit of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// The filter: comma-separated directives of tracing, each a level or `target=level`.
    pub filter: String,
    /// The format of the log lines.
    pub format: LogFormat,
    /// The window of the rate limit. At most `burst` lines per call site are written within it; the others are counted,
    /// and their number is logged at the end of the window. Not zero.
    pub window: Duration,
    /// The maximum number of lines per call site within `window`, from 1 to 1,000,000.
    pub burst: u32,
}

impl Default for LogConfig {
    fn default() -> Self {
        LogConfig {
            filter: DEFAULT_LOG_FILTER.to_owned(),
            format: LogFormat::Human,
            window: DEFAULT_LOG_WINDOW,
            burst: DEFAULT_LOG_BURST,
        }
    }
}

/// The settings of the product's own file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProductConfig {
    /// The log settings; the defaults if absent.
    pub log: LogConfig,
    /// The interval at which metrics are logged. `None` disables them.
    pub metrics_interval: Option<Duration>,
    /// The leases for fleet-wide tasks. `None` disables them.
    pub lease: Option<LeaseConfig>,
}

impl ProductConfig {
    /// Parses and validates the text of the file.
    ///
    /// # Errors
    /// Returns all faults of the file.
    pub fn read(file: &str, text: &str) -> Result<ProductConfig, Faults> {
        let file: Arc<str> = file.into();
        let tree = tree::parse(&file, text)?;
        let mut faults = Faults::default();
        let mut reader = Reader::new(&file, "", &tree, &mut faults).with_aliases(ALIASES);
        let log = reader
            .node("log")
            .map(|node| read_log(&file, node, &mut faults));
        let metrics_interval = reader.duration("metrics_interval", &mut faults);
        if metrics_interval == Some(Duration::ZERO) {
            let problem =
                "must not be 0; omit the key to disable metrics, or write a duration such as 1s";
            reader.fault("metrics_interval", problem, &mut faults);
        }
        let lease = reader
            .node("lease")
            .and_then(|node| lease::read(&file, node, &mut faults));
        reader.end(&mut faults);
        faults.into_result(ProductConfig {
            log: log.unwrap_or_default(),
            metrics_interval,
            lease,
        })
    }
}

fn read_log(file: &Arc<str>, node: &Node, faults: &mut Faults) -> LogConfig {
    let default = LogConfig::default();
    let mut reader = Reader::new(file, "log", node, faults);
    let filter = reader.take("filter", faults, read_filter);
    let format = reader.keyword("form", &LOG_FORMATS, faults);
    let window = reader.duration("window", faults);
    let burst = reader.take("burst", faults, |node| {
        quantity::count(node, 1..=MAX_LOG_BURST)
    });
    if window == Some(Duration::ZERO) {
        let problem = "must not be 0; write a duration such as 10s";
        reader.fault("window", problem, faults);
    }
    reader.end(faults);
    LogConfig {
        filter: filter.unwrap_or(default.filter),
        format: format.unwrap_or(default.format),
        window: window.unwrap_or(default.window),
        burst: burst.map_or(default.burst, |burst| burst as u32),
    }
}

/// Reads a log filter. Each directive must be a level, or a target and a level.
fn read_filter(node: &Node) -> Result<String, ValueError> {
    let filter = text(node)?;
    for directive in filter.split(',') {
        let level = directive.rsplit('=').next().unwrap_or_default().trim();
        one_of(level, &LOG_LEVELS)?;
    }
    Ok(filter)
}
