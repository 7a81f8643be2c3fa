//! The commands of clients.
//!
//! A request is refused here where no host could use it, or where it would charge a customer for units that the
//! customer did not request: each fact that every request has must be there and within its range.

use super::command_error::CommandError;
use super::request_catalog::RequestCatalog;
use super::request_facts::RequestFacts;
use crate::api::{Class, CustomerId, Effect, RequestId};
use crate::net::engine::{Payload, Request};
use crate::net::resp::codec::Command;
use std::ops::Range;
use std::time::Duration;

/// Customers' numbers are below this one.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Digits of a customer's number and of a request's id.
const HEX_DIGITS: usize = 16;
/// Verb, customer, id and facts; a body may follow.
const ARGUMENT_COUNTS: std::ops::RangeInclusive<usize> = 4..=5;
const CUSTOMER_ARGUMENT: usize = 1;
const ID_ARGUMENT: usize = 2;
const FACTS_ARGUMENT: usize = 3;
/// Flag of a request that is a client's retry.
const RETRY_FLAG: u64 = 2;
/// Flag of a request that was sent with `Q.DO`.
const WRITE_FLAG: u64 = 4;

/// A command of a client.
pub(super) enum ClientCommand {
    /// A request for a host.
    Request(Box<Request>),
    /// A question whether the limiter serves.
    Ping,
    /// A setting of the connection that changes nothing here.
    ConnectionSetting,
}

/// The verbs that clients use.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Verb {
    Ping,
    ConnectionSetting,
    /// `Q.ASK`: a request without an effect.
    Read,
    /// `Q.DO`: a request with an effect.
    Write,
}

impl Verb {
    fn parse(verb: &[u8]) -> Option<Self> {
        let is = |name: &str| verb.eq_ignore_ascii_case(name.as_bytes());
        if is("Q.DO") {
            Some(Verb::Write)
        } else if is("Q.ASK") {
            Some(Verb::Read)
        } else if is("PING") {
            Some(Verb::Ping)
        } else if is("CLIENT") || is("SELECT") {
            Some(Verb::ConnectionSetting)
        } else {
            None
        }
    }
}

/// Parses a complete command; its ranges refer to `bytes`.
///
/// # Errors
/// The command is unknown or malformed, or names a class or plan that the catalog does not contain.
pub(super) fn parse_client_command(
    bytes: &[u8],
    command: &Command,
    catalog: &RequestCatalog,
) -> Result<ClientCommand, CommandError> {
    let arguments: Option<Vec<_>> = command.arguments.iter().cloned().collect();
    let arguments = arguments
        .filter(|arguments| !arguments.is_empty())
        .ok_or(CommandError::NotBulkStrings)?;
    let verb = Verb::parse(&bytes[arguments[0].clone()]).ok_or(CommandError::UnknownCommand)?;
    match verb {
        Verb::Ping => Ok(ClientCommand::Ping),
        Verb::ConnectionSetting => Ok(ClientCommand::ConnectionSetting),
        Verb::Read | Verb::Write => {
            let request = parse_request(verb, bytes, &arguments, catalog)?;
            Ok(ClientCommand::Request(Box::new(request)))
        }
    }
}

fn parse_request(
    verb: Verb,
    bytes: &[u8],
    arguments: &[Range<usize>],
    catalog: &RequestCatalog,
) -> Result<Request, CommandError> {
    if !ARGUMENT_COUNTS.contains(&arguments.len()) {
        return Err(CommandError::ArgumentCount);
    }
    let argument = |index: usize| &bytes[arguments[index].clone()];
    let customer = parse_hex(argument(CUSTOMER_ARGUMENT))
        .filter(|customer| *customer < CUSTOMER_LIMIT)
        .ok_or(CommandError::Customer)?;
    let id = parse_hex(argument(ID_ARGUMENT)).ok_or(CommandError::Id)?;
    let text = std::str::from_utf8(argument(FACTS_ARGUMENT));
    let text = text.map_err(|_| CommandError::FactsNotText)?;
    let facts = RequestFacts::parse(text, arguments[FACTS_ARGUMENT].start, catalog)?;
    check_effect(verb, facts.class.class.effect, facts.has_key)?;
    Ok(Request {
        id: RequestId(id),
        class: facts.class.index,
        plan: facts.plan,
        customer: CustomerId(customer),
        units: facts.units,
        spread: facts.spread,
        first_limiter: facts.first_limiter,
        flags: request_flags(verb, &facts),
        wait: bounded_wait(facts.wait.wait, &facts.class.class),
        payload: payload(bytes, arguments, &facts.wait.range),
    })
}

fn request_flags(verb: Verb, facts: &RequestFacts<'_>) -> u64 {
    let mut flags = 0;
    if verb == Verb::Write {
        flags |= WRITE_FLAG;
    }
    if facts.is_retry {
        flags |= RETRY_FLAG;
    }
    flags
}

/// A number of exactly 16 hexadecimal digits.
fn parse_hex(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?;
    if text.len() != HEX_DIGITS || text.starts_with('+') {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

fn check_effect(verb: Verb, effect: Effect, has_key: bool) -> Result<(), CommandError> {
    match (verb, effect) {
        (Verb::Read, Effect::Idempotent) | (Verb::Write, Effect::Unsafe) => Ok(()),
        (Verb::Write, Effect::IdempotentWithKey) if has_key => Ok(()),
        (Verb::Write, Effect::IdempotentWithKey) => Err(CommandError::Key),
        _ => Err(CommandError::ClassMismatch),
    }
}

/// No client waits for longer than its class does; without this bound a request could be kept for ever.
fn bounded_wait(wait: Duration, class: &Class) -> Duration {
    if class.deadline > 0 {
        wait.min(Duration::from_nanos(class.deadline))
    } else {
        wait
    }
}

/// The arguments alone, one behind another; the wait moves with its argument.
fn payload(bytes: &[u8], arguments: &[Range<usize>], wait: &Range<usize>) -> Payload {
    let mut payload = Payload::default();
    for (index, argument) in arguments.iter().enumerate() {
        let start = payload.bytes.len();
        payload.bytes.extend_from_slice(&bytes[argument.clone()]);
        payload.arguments.push(start..payload.bytes.len());
        if index == FACTS_ARGUMENT {
            let offset = |position: usize| position - argument.start + start;
            payload.wait = offset(wait.start)..offset(wait.end);
        }
    }
    payload
}
