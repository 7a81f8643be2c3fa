//! Parsing of client commands.
//!
//! Every required parameter of a request must be present and within its range. Any other request is refused, since no
//! host could use it, or it would charge a customer for units that the customer did not request.

use super::command_error::CommandError;
use super::request_catalog::RequestCatalog;
use super::request_parameters::RequestParameters;
use crate::api::{Class, CustomerId, Effect, RequestId};
use crate::net::engine::{Payload, Request};
use crate::net::resp::codec::{AnnouncedCommand, Command};
use std::ops::Range;
use std::time::Duration;

/// Exclusive upper bound of customer numbers.
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Number of digits of a customer number and of a request id.
const HEX_DIGITS: usize = 16;
/// Numbers of arguments of a request: verb, customer, id, parameters and an optional body.
const ARGUMENT_COUNTS: std::ops::RangeInclusive<usize> = 4..=5;
const CUSTOMER_ARGUMENT: usize = 1;
const ID_ARGUMENT: usize = 2;
const PARAMETERS_ARGUMENT: usize = 3;
/// Bit of the request flags that marks a retry by the client.
const RETRY_FLAG: u64 = 2;
/// Bit of the request flags that marks a request sent with `Q.DO`.
const WRITE_FLAG: u64 = 4;

/// A parsed client command.
pub(super) enum ClientCommand {
    /// A request to be forwarded to a host.
    Request(Box<Request>),
    /// A check whether the limiter accepts clients.
    Ping,
    /// A connection setting (`CLIENT` or `SELECT`), which is acknowledged and ignored.
    ConnectionSetting,
}

/// The supported command verbs.
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

/// Parses a complete command, whose ranges refer to `bytes`. The payload of a request refers to these bytes and does not
/// contain them.
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
    let text = std::str::from_utf8(argument(PARAMETERS_ARGUMENT));
    let text = text.map_err(|_| CommandError::ParametersNotText)?;
    let parameters = RequestParameters::parse(text, arguments[PARAMETERS_ARGUMENT].start, catalog)?;
    check_effect(verb, parameters.class.class.effect, parameters.has_key)?;
    Ok(Request {
        id: RequestId(id),
        class: parameters.class.index,
        plan: parameters.plan,
        customer: CustomerId(customer),
        units: parameters.units,
        spread: parameters.spread,
        first_limiter: parameters.first_limiter,
        flags: request_flags(verb, &parameters),
        wait: bounded_wait(parameters.wait.wait, &parameters.class.class),
        payload: Payload {
            arguments: arguments.to_vec(),
            wait: parameters.wait.range.clone(),
            ..Payload::default()
        },
    })
}

fn request_flags(verb: Verb, parameters: &RequestParameters<'_>) -> u64 {
    let mut flags = 0;
    if verb == Verb::Write {
        flags |= WRITE_FLAG;
    }
    if parameters.is_retry {
        flags |= RETRY_FLAG;
    }
    flags
}

/// Parses a number of exactly 16 hexadecimal digits.
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

/// Returns the wait, bounded by the deadline of the class if it has one. Without this bound a request could be kept for
/// an unlimited time.
fn bounded_wait(wait: Duration, class: &Class) -> Duration {
    if class.deadline > 0 {
        wait.min(Duration::from_nanos(class.deadline))
    } else {
        wait
    }
}

/// Returns how long the client of an incomplete request waits for its answer; `None` if that has not been received.
pub(super) fn announced_wait(
    bytes: &[u8],
    command: &AnnouncedCommand,
    catalog: &RequestCatalog,
) -> Option<Duration> {
    let range = command.arguments.get(PARAMETERS_ARGUMENT)?;
    let text = std::str::from_utf8(&bytes[range.clone()]).ok()?;
    let parameters = RequestParameters::parse(text, range.start, catalog).ok()?;
    Some(bounded_wait(parameters.wait.wait, &parameters.class.class))
}
