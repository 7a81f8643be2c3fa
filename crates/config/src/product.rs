//! The product's own file, `deploy/quartzcleat.yaml`: settings that the platform's configuration has no place for. Without
//! the file the defaults hold, and nothing is enabled that the platform does not allow.

#[cfg(test)]
mod tests;

use crate::fault::Faults;
use crate::lease::{self, Lease};
use crate::quantity;
use crate::reader::{one_of, text, Alias, Reader};
use crate::tree::{self, Node};
use crate::value::ValueError;
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_LOG_FILTER: &str = "info";
/// A fault that repeats ten times a second must not fill the log that the platform keeps of standard error.
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
    /// Text for people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// The filter and the format of the log, and the limit on its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// The filter, in tracing's directives.
    pub filter: String,
    /// The format of the lines.
    pub format: LogFormat,
    /// Within this time at most `burst` lines are written from one place in the code. The rest are counted, and their number
    /// is logged at the end of the time.
    pub window: Duration,
    /// The most lines from one place within `window`.
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

/// The settings of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Product {
    /// Logging.
    pub log: LogConfig,
    /// How often the metrics are logged; never if absent.
    pub metrics_interval: Option<Duration>,
    /// Leases for fleet-wide tasks; none if absent.
    pub lease: Option<Lease>,
}

impl Product {
    /// Reads the file's text.
    ///
    /// # Errors
    /// All faults of the file.
    pub fn read(file: &str, text: &str) -> Result<Product, Faults> {
        let file: Arc<str> = file.into();
        let tree = tree::parse(&file, text)?;
        let mut faults = Faults::default();
        let mut reader = Reader::new(&file, "", &tree, &mut faults).with_aliases(ALIASES);
        let log = reader
            .node("log")
            .map(|node| read_log(&file, node, &mut faults));
        let metrics_interval = reader.duration("metrics_interval", &mut faults);
        if metrics_interval == Some(Duration::ZERO) {
            let problem = "0; leave it out to have none, or write a time such as 1s";
            reader.fault("metrics_interval", problem, &mut faults);
        }
        let lease = reader
            .node("lease")
            .and_then(|node| lease::read(&file, node, &mut faults));
        reader.end(&mut faults);
        faults.into_result(Product {
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
        let problem = "0; repeats are counted over some time, such as 10s";
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

/// Reads a filter. Each of its directives is a level, or a target and a level.
fn read_filter(node: &Node) -> Result<String, ValueError> {
    let filter = text(node)?;
    for directive in filter.split(',') {
        let level = directive.rsplit('=').next().unwrap_or_default().trim();
        one_of(level, &LOG_LEVELS)?;
    }
    Ok(filter)
}
