//! Encoding of the commands to hosts, and interpretation of their replies.

use crate::api::{HostId, LoadReading, LoadReport, Outcome, ReportSource};
use crate::net::engine::{CallResult, HostCall, HostCommand, Payload, UsageFigures};
use crate::net::resp::codec::{self, Reply};
use std::ops::Range;
use tokio::time::Instant;

/// The command that asks a host for its load.
const LOAD_COMMAND: [&[u8]; 2] = [b"INFO", b"load"];

/// The bytes that end an argument.
const LINE_END: &[u8] = b"\r\n";

/// The interpretation of a reply of a host.
pub struct Interpretation {
    /// How the call ended, without the value.
    pub result: CallResult,
    /// The range of the value of a good attempt in the reply; empty for any other call.
    pub value: Range<usize>,
    /// Whether the reply has one of the forms of the protocol. After any other reply the connection is not reused.
    pub is_known_form: bool,
}

impl Interpretation {
    fn known(result: CallResult) -> Self {
        Interpretation {
            result,
            value: 0..0,
            is_known_form: true,
        }
    }

    fn unknown_form() -> Self {
        Interpretation {
            result: Outcome::Error.into(),
            value: 0..0,
            is_known_form: false,
        }
    }
}

/// Interprets a reply to a command. The ranges in `reply` refer to `bytes`.
pub fn interpret(
    reply: &Reply,
    bytes: &[u8],
    command: &HostCommand,
    host: HostId,
    report_source: ReportSource,
) -> Interpretation {
    let is_health_check = matches!(command, HostCommand::HealthCheck);
    let mut interpretation = match (reply, command) {
        (Reply::Error(line), _) => interpret_error(&bytes[line.clone()]),
        (Reply::Bulk(Some(_)), HostCommand::HealthCheck) => interpret_health(reply, bytes),
        (Reply::Array(Some(members)), HostCommand::Attempt { .. }) => {
            interpret_value(members, bytes, host)
        }
        _ => Interpretation::unknown_form(),
    };
    if !is_health_check && report_source != ReportSource::Answers {
        interpretation.result.load.readings.clear();
    }
    interpretation
}

fn interpret_error(line: &[u8]) -> Interpretation {
    let mut words = line.split(|byte| *byte == b' ');
    let first = words.next();
    let load = words.next_back().and_then(parse_load).unwrap_or_default();
    let outcome = match first {
        Some(b"BUSY") => Outcome::Rejected,
        _ => Outcome::Error,
    };
    Interpretation {
        result: CallResult {
            load,
            ..outcome.into()
        },
        value: 0..0,
        is_known_form: matches!(first, Some(b"BUSY" | b"ERR")),
    }
}

fn interpret_health(report: &Reply, bytes: &[u8]) -> Interpretation {
    let result = match load_report(report, bytes) {
        Some(load) => CallResult {
            load,
            ..Outcome::Good.into()
        },
        None => Outcome::Error.into(),
    };
    Interpretation::known(result)
}

/// Interprets an array of the value, the usage figures or null, and the load report or null. The value is used even if
/// the other members are malformed.
fn interpret_value(members: &[Reply], bytes: &[u8], host: HostId) -> Interpretation {
    let [Reply::Bulk(Some(value)), usage, report] = members else {
        return Interpretation::unknown_form();
    };
    let result = CallResult {
        load: load_report(report, bytes).unwrap_or_default(),
        usage: usage_figures(usage, bytes, host),
        ..Outcome::Good.into()
    };
    Interpretation {
        value: value.clone(),
        ..Interpretation::known(result)
    }
}

/// Returns whether the received bytes are the start of a possible reply to this command. A call ends at once on bytes
/// that are well-formed so far but cannot become such a reply.
pub fn may_become_reply(input: &[u8], command: &HostCommand) -> bool {
    let expected: &[u8] = match command {
        HostCommand::HealthCheck => b"$",
        HostCommand::Attempt { .. } => b"*3\r\n$",
    };
    has_common_start(input, b"-") || has_common_start(input, expected)
}

/// Returns whether one of two byte strings is a prefix of the other.
fn has_common_start(one: &[u8], other: &[u8]) -> bool {
    one.iter().zip(other).all(|(left, right)| left == right)
}

fn load_report(member: &Reply, bytes: &[u8]) -> Option<LoadReport> {
    match member {
        Reply::Bulk(Some(range)) => parse_load(&bytes[range.clone()]),
        _ => None,
    }
}

/// Parses named values such as `inflight=7,queue=2`; returns `None` if one of them is malformed or not finite.
fn parse_load(bytes: &[u8]) -> Option<LoadReport> {
    let text = std::str::from_utf8(bytes).ok()?;
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        let value: f64 = value.parse().ok()?;
        value.is_finite().then(|| LoadReading {
            name: name.to_owned(),
            value,
        })
    };
    text.split(',').map(pair).collect()
}

/// Parses usage figures such as `used=37,cost=4`, or null. Malformed or negative figures are logged and taken as 0, so
/// that they are never counted.
pub fn usage_figures(figures: &Reply, bytes: &[u8], host: HostId) -> UsageFigures {
    let figures = match figures {
        Reply::Bulk(None) => return UsageFigures::default(),
        Reply::Bulk(Some(range)) => parse_load(&bytes[range.clone()]),
        _ => None,
    };
    let value_of = |name: &str| {
        let mut figures = figures.iter().flat_map(|report| &report.readings);
        let found = figures.find(|figure| figure.name == name);
        found.map_or(0.0, |figure| figure.value)
    };
    let metered = value_of("used");
    let units = value_of("cost");
    if figures.is_none() || metered < 0.0 || units < 0.0 {
        tracing::warn!(host = host.0, "usage figures of a host are malformed");
    }
    UsageFigures {
        metered: metered.max(0.0) as u64,
        units: units.max(0.0),
    }
}

/// Appends the command of a call and returns its end, which is not copied if the last argument has more than
/// `max_copied_bytes`. The arguments are forwarded byte for byte, except the wait, which is replaced by the time that
/// remains until the deadline of the call, in milliseconds (at least 1).
pub fn write_command<'a>(
    call: &'a HostCall,
    now: Instant,
    max_copied_bytes: usize,
    output: &mut Vec<u8>,
) -> &'a [u8] {
    let HostCommand::Attempt { payload, .. } = &call.command else {
        codec::write_command(&LOAD_COMMAND, output);
        return &[];
    };
    let remaining = call.deadline.saturating_duration_since(now);
    let remaining_ms = remaining.as_millis().max(1).to_string();
    codec::write_head('*', payload.arguments.len(), output);
    let (last, others) = match payload.arguments.split_last() {
        Some((last, others)) if last.len() > max_copied_bytes && !contains_wait(payload, last) => {
            (Some(last), others)
        }
        _ => (None, &payload.arguments[..]),
    };
    for argument in others {
        write_argument(payload, argument, remaining_ms.as_bytes(), output);
    }
    let Some(last) = last else {
        return &[];
    };
    codec::write_head('$', last.len(), output);
    &payload.bytes[last.start..last.end + LINE_END.len()]
}

/// Returns whether an argument contains the wait of the request.
fn contains_wait(payload: &Payload, argument: &Range<usize>) -> bool {
    let wait = &payload.wait;
    argument.start <= wait.start && wait.end <= argument.end && !wait.is_empty()
}

fn write_argument(
    payload: &Payload,
    argument: &Range<usize>,
    remaining_ms: &[u8],
    output: &mut Vec<u8>,
) {
    let wait = &payload.wait;
    if !contains_wait(payload, argument) {
        return codec::write_bulk(&payload.bytes[argument.clone()], output);
    }
    let length = argument.len() - wait.len() + remaining_ms.len();
    codec::write_head('$', length, output);
    output.extend_from_slice(&payload.bytes[argument.start..wait.start]);
    output.extend_from_slice(remaining_ms);
    output.extend_from_slice(&payload.bytes[wait.end..argument.end]);
    output.extend_from_slice(LINE_END);
}
