//! Decoding of protocol lines.

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
    /// Begins a batch at this time.
    Tick(Nanos),
    /// Selects the limiter with this name for the following lines.
    On(String),
    /// Starts the current limiter.
    Start {
        /// Seed of its random number generator.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// Stops the current limiter.
    Stop,
    /// Passes an event to the current limiter.
    Event(Event),
    /// Reports a timer with an unknown tag, which only advances the current limiter's clock.
    UnknownTimer,
    /// Ends the batch; a reply is due.
    EndOfBatch,
}

/// A decoder for a stream of lines. It keeps the numbered host lists that later lines refer to.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Number of the last line that was read, from one.
    line: u64,
    lists: BTreeMap<u64, Vec<HostEntry>>,
    /// The host list whose entries are being read.
    incomplete_list: Option<IncompleteList>,
}

/// A host list with entries that have not been read yet.
#[derive(Clone, Copy, Debug)]
struct IncompleteList {
    list: u64,
    /// Number of entries still to be read, at least one.
    missing: u64,
}

impl Decoder {
    /// Creates a decoder for the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of lines that have been read.
    #[must_use]
    pub fn lines(&self) -> u64 {
        self.line
    }

    /// Decodes the next line. Returns `None` for empty lines and for those that define a host list.
    ///
    /// # Errors
    /// Returns an error with the line number and the field if the line is malformed.
    pub fn decode(&mut self, text: &str) -> Result<Option<Line>, DecodeError> {
        self.line += 1;
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.is_empty() {
            return Ok(None);
        }
        let mut fields = Fields::new(self.line, text);
        if let Some(incomplete) = self.incomplete_list {
            self.decode_list_entry(incomplete, &mut fields)?;
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
        self.incomplete_list = (missing > 0).then_some(IncompleteList { list, missing });
        Ok(())
    }

    fn decode_list_entry(
        &mut self,
        incomplete: IncompleteList,
        fields: &mut Fields,
    ) -> Decoded<()> {
        let IncompleteList { list, missing } = incomplete;
        if fields.message != "ROW" {
            let problem = format!("{missing} entries of list {list} are missing");
            return Err(fields.error("membersList", problem));
        }
        let entry = decode_entry(fields)?;
        self.lists.entry(list).or_default().push(entry);
        self.incomplete_list = (missing > 1).then(|| IncompleteList {
            list,
            missing: missing - 1,
        });
        Ok(())
    }

    fn decode_hosts(&self, fields: &mut Fields) -> Decoded<Event> {
        let version = fields.parse("revision")?;
        let list: u64 = fields.number_or_zero("buffer")?;
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
            elapsed: fields.number_or_zero("tookNs")?,
            load: fields.load("metrics")?,
        }),
        "MEMO" => Ok(Event::Peer {
            from: LimiterIndex(fields.parse("src")?),
            bytes: fields.bytes("contents")?,
        }),
        "RECKONED" => Ok(Event::CounterReplied {
            name: fields.text("counter")?.to_owned(),
            outcome: fields.outcome("code")?,
            total: fields.finite_or_zero("total")?,
            elapsed: fields.number_or_zero("tookNs")?,
        }),
        _ => Err(fields.error("name", "unknown message")),
    }
}

// Rust evaluates the fields of a struct expression in the order in which they are written. Below, that is the order of
// the fields on the line, so the fields must not be reordered.

fn decode_request(fields: &mut Fields) -> Decoded<Event> {
    Ok(Event::Request {
        id: fields.request("job")?,
        plan: PlanIndex(fields.number_or_zero("tier")?),
        customer: CustomerId(fields.number_or_zero("apiKey")?),
        budget: fields.parse("budgetNs")?,
        units: fields.finite_or_zero("priceUnits")?,
        spread: fields.number_or_zero::<f64>("nEntries")? as u32,
        class: ClassIndex(fields.parse("service")?),
        first_limiter: LimiterIndex(fields.number_or_zero::<f64>("setStart")? as u32),
        flags: fields.number_or_zero("opts")?,
    })
}

fn decode_stream_started(fields: &mut Fields) -> Decoded<Event> {
    Ok(Event::StreamStarted {
        id: fields.request("job")?,
        elapsed: fields.number_or_zero("tookNs")?,
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
        elapsed: fields.number_or_zero("tookNs")?,
        is_request_finished: fields.flag("over")?,
        metered_use: fields.number_or_zero("fleetUse")?,
        true_units: fields.finite_or_zero("actual")?,
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
        cell: CellId(fields.number_or_zero("group")?),
        kind: fields.number_or_zero("machine")?,
        host: HostId(fields.parse("host")?),
        zone: ZoneId(fields.number_or_zero("locality")?),
        started: fields.number_or_zero("startTimeNs")?,
        weight: fields.finite_or_zero("share")?,
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
