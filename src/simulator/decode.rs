//! Decoding of lines.

use super::fields::{DecodeError, Decoded, Fields};
use super::timer_tag::parse_tag;
use crate::api::{
    AttemptIndex, CellId, ClassIndex, CustomerId, Event, HostEntry, HostId, HostState,
    LimiterIndex, ListMode, Nanos, PlanIndex, Settings, ZoneId,
};
use quartzcleat_config::platform;
use std::collections::BTreeMap;

/// One decoded line of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A batch begins at this time.
    Tick(Nanos),
    /// The following lines are for the limiter of this name.
    On(String),
    /// The current limiter starts.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The current limiter stops.
    Stop,
    /// An event for the current limiter.
    Event(Event),
    /// A timer for the current limiter with an unknown tag, which has no effect.
    UnknownTimer,
    /// The batch ends; a reply is due.
    EndOfBatch,
}

/// Decodes a stream of lines. Keeps the numbered host lists that later lines refer to.
#[derive(Debug, Default)]
pub struct Decoder {
    line: u64,
    lists: BTreeMap<u64, Vec<HostEntry>>,
    open_list: Option<OpenList>,
}

/// A host list of which entries are still to come.
#[derive(Clone, Copy, Debug)]
struct OpenList {
    list: u64,
    missing: u64,
}

impl Decoder {
    /// A decoder at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of lines that have been read.
    #[must_use]
    pub fn lines(&self) -> u64 {
        self.line
    }

    /// Decodes the next line. `None` for empty lines and for those that define a host list.
    ///
    /// # Errors
    /// The line is malformed; the error names its number and the field.
    pub fn decode(&mut self, text: &str) -> Result<Option<Line>, DecodeError> {
        self.line += 1;
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.is_empty() {
            return Ok(None);
        }
        let mut fields = Fields::new(self.line, text);
        if let Some(open) = self.open_list {
            self.decode_list_entry(open, &mut fields)?;
            return Ok(None);
        }
        match fields.message {
            "TICK" => Ok(Some(Line::Tick(fields.parse("clock")?))),
            "EOF_BATCH" => Ok(Some(Line::EndOfBatch)),
            "ON" => Ok(Some(Line::On(fields.text("gateway")?.to_owned()))),
            "SHUTDOWN" => Ok(Some(Line::Stop)),
            "NEW_INSTANCE" => {
                let seed = fields.parse("initSeed")?;
                let settings = Box::new(decode_settings(fields)?);
                Ok(Some(Line::Start { seed, settings }))
            }
            "CENSUS" => {
                self.begin_list(&mut fields)?;
                Ok(None)
            }
            "FLEET" => Ok(Some(Line::Event(self.decode_hosts(&mut fields)?))),
            "ELAPSED" => {
                let timer = parse_tag(fields.text("tag")?);
                let event = |timer| Line::Event(Event::Timer { timer });
                Ok(Some(timer.map_or(Line::UnknownTimer, event)))
            }
            _ => Ok(Some(Line::Event(decode_event(&mut fields)?))),
        }
    }

    fn begin_list(&mut self, fields: &mut Fields) -> Decoded<()> {
        let list = fields.parse("buffer")?;
        let missing: u64 = fields.parse("membersList")?;
        self.lists.insert(list, Vec::new());
        self.open_list = (missing > 0).then_some(OpenList { list, missing });
        Ok(())
    }

    fn decode_list_entry(&mut self, open: OpenList, fields: &mut Fields) -> Decoded<()> {
        let OpenList { list, missing } = open;
        if fields.message != "ROW" {
            let problem = format!("{missing} entries of list {list} are missing");
            return Err(fields.error("membersList", problem));
        }
        let entry = decode_entry(fields)?;
        self.lists.entry(list).or_default().push(entry);
        self.open_list = (missing > 1).then(|| OpenList {
            list,
            missing: missing - 1,
        });
        Ok(())
    }

    fn decode_hosts(&self, fields: &mut Fields) -> Decoded<Event> {
        let version = fields.parse("revision")?;
        let list: u64 = fields.number("buffer")?;
        let mode = match fields.text("mode")? {
            "update" => ListMode::Update,
            "replace" => ListMode::Replace,
            "restored" => ListMode::Restored,
            "unavailable" => ListMode::Unavailable,
            other => return Err(fields.error("mode", format!("unknown mode {other:?}"))),
        };
        let entries = match (mode, self.lists.get(&list)) {
            (ListMode::Unavailable, _) => Vec::new(),
            (_, Some(entries)) => entries.clone(),
            (_, None) => return Err(fields.error("buffer", format!("no list {list} was sent"))),
        };
        Ok(Event::Hosts {
            version,
            mode,
            entries,
        })
    }
}

fn decode_event(fields: &mut Fields) -> Decoded<Event> {
    match fields.message {
        "DEMAND" => decode_request(fields),
        "STREAMING" => decode_stream_started(fields),
        "RESULT" => decode_attempt_done(fields),
        "DROPPED" => Ok(Event::Abandoned {
            id: fields.request("job")?,
        }),
        "PROBE_RESULT" => Ok(Event::HealthCheckDone {
            host: HostId(fields.parse("host")?),
            outcome: fields.outcome("code")?,
            elapsed: fields.number("tookNs")?,
            load: fields.load("metrics")?,
        }),
        "MEMO" => Ok(Event::Peer {
            from: LimiterIndex(fields.parse("src")?),
            bytes: fields.bytes("contents")?,
        }),
        "RECKONED" => Ok(Event::CounterReplied {
            name: fields.text("counter")?.to_owned(),
            outcome: fields.outcome("code")?,
            total: fields.real("total")?,
            elapsed: fields.number("tookNs")?,
        }),
        _ => Err(fields.error("name", "unknown message")),
    }
}

// The fields of a struct expression are read in the order in which they are written, which is that of the line.

fn decode_request(fields: &mut Fields) -> Decoded<Event> {
    Ok(Event::Request {
        id: fields.request("job")?,
        plan: PlanIndex(fields.number("tier")?),
        customer: CustomerId(fields.number("apiKey")?),
        budget: fields.parse("budgetNs")?,
        units: fields.real("priceUnits")?,
        spread: fields.number::<f64>("nEntries")? as u32,
        class: ClassIndex(fields.parse("service")?),
        first_limiter: LimiterIndex(fields.number::<f64>("setStart")? as u32),
        flags: fields.number("opts")?,
    })
}

fn decode_stream_started(fields: &mut Fields) -> Decoded<Event> {
    Ok(Event::StreamStarted {
        id: fields.request("job")?,
        elapsed: fields.number("tookNs")?,
        attempt: AttemptIndex(fields.parse("go")?),
        host: HostId(fields.parse("host")?),
    })
}

fn decode_attempt_done(fields: &mut Fields) -> Decoded<Event> {
    Ok(Event::AttemptDone {
        id: fields.request("job")?,
        attempt: AttemptIndex(fields.parse("go")?),
        host: HostId(fields.parse("host")?),
        outcome: fields.outcome("code")?,
        elapsed: fields.number("tookNs")?,
        is_request_finished: fields.flag("over")?,
        metered_use: fields.number("fleetUse")?,
        true_units: fields.real("actual")?,
        load: fields.load("metrics")?,
    })
}

fn decode_entry(fields: &mut Fields) -> Decoded<HostEntry> {
    let state = match fields.text("health")? {
        "U" => HostState::Ready,
        "L" => HostState::Draining,
        "D" => HostState::Gone,
        other => return Err(fields.error("health", format!("unknown state {other:?}"))),
    };
    Ok(HostEntry {
        state,
        cell: CellId(fields.number("group")?),
        kind: fields.number("machine")?,
        host: HostId(fields.parse("host")?),
        zone: ZoneId(fields.number("locality")?),
        started: fields.number("startTimeNs")?,
        weight: fields.real("share")?,
    })
}

fn decode_settings(fields: Fields) -> Decoded<Settings> {
    let line = fields.line;
    let error = |path: &str, problem: String| DecodeError {
        line,
        field: format!("{path} of profileData"),
        problem,
    };
    let mut pairs = BTreeMap::new();
    for part in fields.parts.filter(|part| !part.is_empty()) {
        let Some((key, value)) = part.split_once('=') else {
            return Err(error(part, "is not a path=value pair".to_owned()));
        };
        pairs.insert(key, value);
    }
    platform::decode(pairs).map_err(|mut faults| {
        let first = faults.swap_remove(0);
        error(&first.path, first.problem.to_string())
    })
}
