//! Errors in client commands.

use thiserror::Error;

/// The reason why a command is refused. The texts are sent to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum CommandError {
    /// The command is empty, or contains a null.
    #[error("a command is an array of bulk strings")]
    NotBulkStrings,
    /// The verb is unknown.
    #[error("unknown command")]
    UnknownCommand,
    /// A request has too few or too many arguments.
    #[error("wrong number of words")]
    ArgumentCount,
    /// The customer is not 16 hexadecimal digits, or out of range.
    #[error("the customer is no number of 16 hex digits below 2^33")]
    Customer,
    /// The request id is not 16 hexadecimal digits.
    #[error("the id is not 16 hex digits")]
    Id,
    /// The parameters are not valid UTF-8.
    #[error("the list is not text")]
    ParametersNotText,
    /// A parameter is not of the form `name=value`.
    #[error("the list holds no name=value")]
    ParameterWithoutValue,
    /// The class is missing or unknown.
    #[error("the list holds no c that is known")]
    Class,
    /// The plan is missing or unknown.
    #[error("the list holds no t that is known")]
    Plan,
    /// The wait is missing, or is not a positive number of milliseconds.
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
    /// The idempotency key is missing in a request of a class that requires one.
    #[error("the list holds no k")]
    Key,
    /// The verb does not fit the effect of the class.
    #[error("this command does not serve this class")]
    ClassMismatch,
}
