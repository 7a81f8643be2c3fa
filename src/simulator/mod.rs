//! The codec: lines of text to [`Event`]s and [`Action`]s to lines of text. No decisions.

use crate::api::*;
use base64::{engine::general_purpose::STANDARD as BASE64, Engine};
use quartzcleat_config::platform;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// One decoded line of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A batch begins; the clock.
    Tick(Nanos),
    /// The gateway that the following events are for.
    On(String),
    /// A gateway starts.
    Start {
        /// For its random numbers.
        seed: u64,
        /// What it is told.
        settings: Box<Settings>,
    },
    /// A gateway is gone.
    Stop,
    /// An event for the current gateway.
    Event(Event),
    /// The batch ends; a reply is due.
    EndOfBatch,
}

/// A malformed line: its number in the stream, the field and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// Number of the line, from one.
    pub line: u64,
    /// Name of the field.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "line {}, field {}: {}",
            self.line, self.field, self.problem
        )
    }
}

impl std::error::Error for WireError {}

/// Decodes a stream of lines; holds the numbered host lists that later lines refer to.
#[derive(Debug, Default)]
pub struct Decoder {
    line: u64,
    lists: BTreeMap<u64, Vec<HostEntry>>,
    /// The list being read and how many entries of it are still to come.
    open_list: Option<(u64, u64)>,
}

struct Fields<'a> {
    line: u64,
    message: &'a str,
    parts: std::str::Split<'a, char>,
}

type Parsed<T> = Result<T, WireError>;

impl<'a> Fields<'a> {
    fn error(&self, field: &str, problem: impl Into<String>) -> WireError {
        let field = format!("{} of {}", field, self.message);
        WireError {
            line: self.line,
            field,
            problem: problem.into(),
        }
    }

    fn text(&mut self, field: &str) -> Parsed<&'a str> {
        self.parts
            .next()
            .ok_or_else(|| self.error(field, "missing"))
    }

    fn parse<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<T> {
        let text = self.text(field)?;
        text.parse()
            .map_err(|_| self.error(field, format!("cannot read {text:?}")))
    }

    /// A number of which `-` (absent) reads as zero.
    fn number<T: std::str::FromStr + Default>(&mut self, field: &str) -> Parsed<T> {
        let text = self.text(field)?;
        if text == "-" {
            return Ok(T::default());
        }
        text.parse()
            .map_err(|_| self.error(field, format!("cannot read {text:?} as a number")))
    }

    fn real(&mut self, field: &str) -> Parsed<f64> {
        let value: f64 = self.number(field)?;
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.error(field, "not a finite number"))
        }
    }

    fn request(&mut self, field: &str) -> Parsed<RequestId> {
        let text = self.text(field)?;
        let plain =
            text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        match u64::from_str_radix(text, 16) {
            Ok(id) if plain => Ok(RequestId(id)),
            _ => Err(self.error(field, format!("{text:?} is not 16 lower-case hex digits"))),
        }
    }

    fn flag(&mut self, field: &str) -> Parsed<bool> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(self.error(field, format!("{other:?} is neither 1 nor 0"))),
        }
    }

    fn outcome(&mut self, field: &str) -> Parsed<Outcome> {
        let text = self.text(field)?;
        Ok(match text {
            "GOOD" => Outcome::Good,
            "BAD" => Outcome::Error,
            "FULL" => Outcome::Rejected,
            "LATE" => Outcome::Timeout,
            "NOCONN" => Outcome::ConnectFailed,
            "RST" => Outcome::Reset,
            "CXL" => Outcome::Cancelled,
            "NOP" => Outcome::NeverSent,
            _ => return Err(self.error(field, format!("unknown outcome {text:?}"))),
        })
    }

    fn load(&mut self, field: &str) -> Parsed<Load> {
        let text = self.text(field)?;
        if text == "-" || text.is_empty() {
            return Ok(Load::new());
        }
        let mut load = Load::new();
        for pair in text.split(',') {
            let value = pair
                .split_once(':')
                .and_then(|(n, v)| Some((n, v.parse::<f64>().ok()?)));
            match value {
                Some((name, value)) if value.is_finite() => load.push((name.to_owned(), value)),
                _ => return Err(self.error(field, format!("{pair:?} is not a name:number pair"))),
            }
        }
        Ok(load)
    }

    fn bytes(&mut self, field: &str) -> Parsed<Vec<u8>> {
        match self.text(field)? {
            "-" => Ok(Vec::new()),
            text => BASE64
                .decode(text)
                .map_err(|e| self.error(field, format!("not base64: {e}"))),
        }
    }
}

impl Decoder {
    /// A decoder at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many lines have been read.
    pub fn lines(&self) -> u64 {
        self.line
    }

    /// Decodes the next line. `None` for lines that only build up a host list, and for empty ones.
    ///
    /// # Errors
    /// The line is malformed; the error names its number and the field.
    pub fn decode(&mut self, text: &str) -> Parsed<Option<Line>> {
        self.line += 1;
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.is_empty() {
            return Ok(None);
        }
        let mut parts = text.split('\t');
        let message = parts.next().unwrap_or_default();
        let mut f = Fields {
            line: self.line,
            message,
            parts,
        };
        if let Some((list, left)) = self.open_list {
            if message != "ROW" {
                return Err(f.error(
                    "membersList",
                    format!("{left} entries of list {list} are missing"),
                ));
            }
            let entry = decode_entry(&mut f)?;
            self.lists.entry(list).or_default().push(entry);
            self.open_list = (left > 1).then(|| (list, left - 1));
            return Ok(None);
        }
        let event = match message {
            "TICK" => return Ok(Some(Line::Tick(f.parse("clock")?))),
            "EOF_BATCH" => return Ok(Some(Line::EndOfBatch)),
            "ON" => return Ok(Some(Line::On(f.text("gateway")?.to_owned()))),
            "SHUTDOWN" => return Ok(Some(Line::Stop)),
            "NEW_INSTANCE" => {
                let seed = f.parse("initSeed")?;
                let settings = Box::new(decode_settings(f)?);
                return Ok(Some(Line::Start { seed, settings }));
            }
            "CENSUS" => {
                let list = f.parse("buffer")?;
                let count: u64 = f.parse("membersList")?;
                self.lists.insert(list, Vec::new());
                self.open_list = (count > 0).then_some((list, count));
                return Ok(None);
            }
            "FLEET" => {
                let version = f.parse("revision")?;
                let list: u64 = f.number("buffer")?;
                let mode = match f.text("mode")? {
                    "update" => ListMode::Update,
                    "replace" => ListMode::Replace,
                    "restored" => ListMode::Restored,
                    "unavailable" => ListMode::Unavailable,
                    other => return Err(f.error("mode", format!("unknown mode {other:?}"))),
                };
                let entries = match (mode, self.lists.get(&list)) {
                    (ListMode::Unavailable, _) => Vec::new(),
                    (_, Some(entries)) => entries.clone(),
                    (_, None) => return Err(f.error("buffer", format!("no list {list} was sent"))),
                };
                Event::Hosts {
                    version,
                    mode,
                    entries,
                }
            }
            "DEMAND" => Event::Request {
                id: f.request("job")?,
                plan: f.number("tier")?,
                customer: CustomerId(f.number("apiKey")?),
                budget: f.parse("budgetNs")?,
                units: f.real("priceUnits")?,
                spread: f.number::<f64>("nEntries")? as u32,
                class: f.parse("service")?,
                first_limiter: f.number::<f64>("setStart")? as u32,
                flags: f.number("opts")?,
            },
            "STREAMING" => {
                let id = f.request("job")?;
                let elapsed = f.number("tookNs")?;
                let attempt = f.parse("go")?;
                Event::StreamStarted {
                    id,
                    attempt,
                    host: HostId(f.parse("host")?),
                    elapsed,
                }
            }
            "RESULT" => Event::AttemptDone {
                id: f.request("job")?,
                attempt: f.parse("go")?,
                host: HostId(f.parse("host")?),
                outcome: f.outcome("code")?,
                elapsed: f.number("tookNs")?,
                over: f.flag("over")?,
                metered_use: f.number("fleetUse")?,
                true_units: f.real("actual")?,
                load: f.load("metrics")?,
            },
            "DROPPED" => Event::Abandoned {
                id: f.request("job")?,
            },
            "ELAPSED" => Event::Timer {
                tag: f.text("tag")?.to_owned(),
            },
            "PROBE_RESULT" => Event::HealthCheckDone {
                host: HostId(f.parse("host")?),
                outcome: f.outcome("code")?,
                elapsed: f.number("tookNs")?,
                load: f.load("metrics")?,
            },
            "MEMO" => Event::Peer {
                from: f.parse("src")?,
                bytes: f.bytes("contents")?,
            },
            "RECKONED" => Event::CounterReplied {
                name: f.text("counter")?.to_owned(),
                outcome: f.outcome("code")?,
                total: f.real("total")?,
                elapsed: f.number("tookNs")?,
            },
            _ => return Err(f.error("name", "unknown message")),
        };
        Ok(Some(Line::Event(event)))
    }
}

fn decode_entry(f: &mut Fields) -> Parsed<HostEntry> {
    let state = match f.text("health")? {
        "U" => HostState::Ready,
        "L" => HostState::Draining,
        "D" => HostState::Gone,
        other => return Err(f.error("health", format!("unknown state {other:?}"))),
    };
    Ok(HostEntry {
        state,
        cell: f.number("group")?,
        kind: f.number("machine")?,
        host: HostId(f.parse("host")?),
        zone: f.number("locality")?,
        started: f.number("startTimeNs")?,
        weight: f.real("share")?,
    })
}

fn decode_settings(f: Fields) -> Parsed<Settings> {
    let line = f.line;
    let fault = |path: &str, problem: String| WireError {
        line,
        field: format!("{path} of profileData"),
        problem,
    };
    let mut pairs = BTreeMap::new();
    for part in f.parts {
        match part.split_once('=') {
            Some((key, value)) => drop(pairs.insert(key, value)),
            None if part.is_empty() => {}
            None => return Err(fault(part, "is not a path=value pair".to_owned())),
        };
    }
    platform::decode(pairs).map_err(|mut faults| {
        let first = faults.swap_remove(0);
        fault(&first.path, first.problem.to_string())
    })
}

/// Free text as the rest of a line: no tab, no line break.
fn one_line(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect()
}

/// Appends the line for a failure of the decision code.
pub fn encode_bug(text: &str, out: &mut String) {
    let _ = writeln!(out, "BUG\t{}", one_line(text));
}

/// Appends the line that makes `gateway` the one the following actions belong to.
pub fn encode_by(gateway: &str, out: &mut String) {
    let _ = writeln!(out, "BY\t{gateway}");
}

/// Appends the line that ends a reply.
pub fn encode_end(out: &mut String) {
    out.push_str("ACK\n");
}

/// Appends one action's line.
pub fn encode(action: &Action, out: &mut String) {
    let _ = match action {
        Action::Attempt {
            id, host, timeout, ..
        } => {
            writeln!(out, "ISSUE\t{:016x}\t{}\t{}", id.0, host.0, timeout)
        }
        Action::CancelAttempt { id, attempt } => {
            writeln!(out, "STOP_ATTEMPT\t{:016x}\t{}", id.0, attempt)
        }
        Action::Reject { id, retry_after } => {
            writeln!(out, "PUSH_BACK\t{:016x}\t{}", id.0, retry_after)
        }
        Action::Fail { id } => writeln!(out, "REPORT_FAILURE\t{:016x}", id.0),
        Action::SetTimer { tag, after } => writeln!(out, "WAKE_ME\t{tag}\t{after}"),
        Action::HealthCheck { host } => writeln!(out, "SAMPLE\t{}", host.0),
        Action::CloseIdle { host } => writeln!(out, "CLOSE_IDLE\t{}", host.0),
        Action::MessagePeers { to, bytes } => {
            let to = match to {
                Peers::All => "all".to_owned(),
                Peers::One(peer) => peer.to_string(),
            };
            let text = if bytes.is_empty() {
                "-".to_owned()
            } else {
                BASE64.encode(bytes)
            };
            writeln!(out, "ANNOUNCE\t{to}\t{text}")
        }
        Action::Count {
            name,
            amount,
            keep_for,
        } => writeln!(out, "INCR\t{name}\t{amount}\t{keep_for}"),
        Action::Watch { on } => writeln!(out, "WATCH\t{}", u8::from(*on)),
        Action::FetchHosts => writeln!(out, "QUERY_ALL"),
        Action::Log { text } => writeln!(out, "RECORD\t{}", one_line(text)),
    };
}
