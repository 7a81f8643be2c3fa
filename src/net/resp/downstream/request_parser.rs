//! The commands of clients.
//!
//! A request is refused here where no host could use it, or where it would charge a customer for units that the
//! customer did not request: each fact that every request has must be there and within its range.

use super::request_catalog::{CatalogClass, RequestCatalog};
use crate::api::{Class, CustomerId, Effect, RequestId};
use crate::net::engine::{Payload, Request};
use crate::net::resp::codec::Command;
use std::ops::Range;
use std::time::Duration;
use thiserror::Error;

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
pub enum ClientCommand {
    /// A request for a host.
    Request(Box<Request>),
    /// A question whether the limiter serves.
    Ping,
    /// A setting of the connection that changes nothing here.
    ConnectionSetting,
}

/// Why a command is refused. The texts are sent to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CommandError {
    /// The command is empty, or contains a null.
    #[error("a command is an array of bulk strings")]
    NotBulkStrings,
    /// The limiter is draining.
    #[error("draining")]
    Draining,
    /// The verb is not known.
    #[error("unknown command")]
    UnknownCommand,
    /// A request has too few or too many arguments.
    #[error("wrong number of words")]
    ArgumentCount,
    /// The customer is malformed or out of range.
    #[error("the customer is no number of 16 hex digits below 2^33")]
    Customer,
    /// The id is malformed.
    #[error("the id is not 16 hex digits")]
    Id,
    /// The facts are not UTF-8.
    #[error("the list is not text")]
    FactsNotText,
    /// A fact has no value.
    #[error("the list holds no name=value")]
    FactWithoutValue,
    /// The class is missing or unknown.
    #[error("the list holds no c that is known")]
    Class,
    /// The plan is missing or unknown.
    #[error("the list holds no t that is known")]
    Plan,
    /// The wait is missing or no positive number.
    #[error("the list holds no d that is a time")]
    Wait,
    /// The units are missing or out of range.
    #[error("the list holds no units within their range")]
    Units,
    /// The spread is missing or out of range.
    #[error("the list holds no spread within its range")]
    Spread,
    /// The first limiter is missing or out of range.
    #[error("the list holds no first within its range")]
    FirstLimiter,
    /// A request of a class with an idempotency key has none.
    #[error("the list holds no k")]
    Key,
    /// The verb does not fit the effect of the class.
    #[error("this command does not serve this class")]
    ClassMismatch,
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

/// Parses a complete command; its ranges refer to `bytes`. `accepts_clients`: the limiter is not draining.
///
/// # Errors
/// The command is unknown or malformed, or names a class or plan that the catalog does not contain.
pub fn parse_client_command(
    bytes: &[u8],
    command: &Command,
    catalog: &RequestCatalog,
    accepts_clients: bool,
) -> Result<ClientCommand, CommandError> {
    let arguments: Option<Vec<_>> = command.arguments.iter().cloned().collect();
    let arguments = arguments
        .filter(|arguments| !arguments.is_empty())
        .ok_or(CommandError::NotBulkStrings)?;
    let verb = Verb::parse(&bytes[arguments[0].clone()]).ok_or(CommandError::UnknownCommand)?;
    match verb {
        Verb::Ping if accepts_clients => Ok(ClientCommand::Ping),
        Verb::Ping => Err(CommandError::Draining),
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
    let facts = Facts::parse(text, arguments[FACTS_ARGUMENT].start, catalog)?;
    let class = facts.class.ok_or(CommandError::Class)?;
    let plan = facts.plan.ok_or(CommandError::Plan)?;
    let wait = facts.wait.ok_or(CommandError::Wait)?;
    let units = facts.units.ok_or(CommandError::Units)?;
    let spread = facts.spread.ok_or(CommandError::Spread)?;
    let first_limiter = facts.first_limiter.ok_or(CommandError::FirstLimiter)?;
    check_effect(verb, class.class.effect, facts.has_key)?;
    let write_flag = if verb == Verb::Write { WRITE_FLAG } else { 0 };
    let retry_flag = if facts.is_retry { RETRY_FLAG } else { 0 };
    Ok(Request {
        id: RequestId(id),
        class: class.index,
        plan,
        customer: CustomerId(customer),
        units,
        spread,
        first_limiter,
        flags: write_flag | retry_flag,
        wait: bounded_wait(wait.wait, &class.class),
        payload: payload(bytes, arguments, &wait.range),
    })
}

/// A number of exactly 16 hexadecimal digits.
fn parse_hex(text: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?;
    if text.len() != HEX_DIGITS || text.starts_with('+') {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// The wait of a request, and where it stands in the command.
struct WaitFact {
    wait: Duration,
    range: Range<usize>,
}

/// The facts of a request: `name=value`, separated by commas. Where a name occurs twice the last one counts.
#[derive(Default)]
struct Facts<'a> {
    class: Option<&'a CatalogClass>,
    plan: Option<u32>,
    wait: Option<WaitFact>,
    has_key: bool,
    is_retry: bool,
    units: Option<f64>,
    spread: Option<u32>,
    first_limiter: Option<u32>,
}

impl<'a> Facts<'a> {
    /// Parses facts that start at `start` in the command. Values that are malformed or out of range count as missing.
    fn parse(text: &str, start: usize, catalog: &'a RequestCatalog) -> Result<Self, CommandError> {
        let mut facts = Facts::default();
        let mut position = start;
        for fact in text.split(',') {
            let (name, value) = fact.split_once('=').ok_or(CommandError::FactWithoutValue)?;
            let value_range = position + name.len() + 1..position + fact.len();
            facts.apply(name, value, value_range, catalog);
            position += fact.len() + 1;
        }
        Ok(facts)
    }

    fn apply(&mut self, name: &str, value: &str, range: Range<usize>, catalog: &'a RequestCatalog) {
        let number = value.parse::<u32>().ok();
        match name {
            "c" => self.class = catalog.class(value),
            "t" => self.plan = catalog.plan(value),
            "d" => {
                let wait = number.filter(|wait_ms| *wait_ms > 0);
                self.wait = wait.map(|wait_ms| WaitFact {
                    wait: Duration::from_millis(wait_ms.into()),
                    range,
                });
            }
            "k" => self.has_key = !value.is_empty(),
            "units" => {
                let units = value.parse().ok();
                self.units = units.filter(|units| catalog.accepts_units(*units));
            }
            "spread" => self.spread = number.filter(|spread| catalog.accepts_spread(*spread)),
            "first" => {
                self.first_limiter = number.filter(|index| catalog.accepts_limiter(*index));
            }
            "r" if value == "1" => self.is_retry = true,
            _ => {}
        }
    }
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
