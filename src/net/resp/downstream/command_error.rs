//! Why commands of clients are refused.

use thiserror::Error;

/// Why a command is refused. The texts are sent to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum CommandError {
    /// The command is empty, or contains a null.
    #[error("a command is an array of bulk strings")]
    NotBulkStrings,
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
