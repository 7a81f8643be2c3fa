//! The platform's settings: the table of their keys, and conversions between nested JSON, `path=value` pairs and
//! [`Settings`](quartzcleat_decision::api::Settings), the type that the decision engine takes.

mod decode;
mod encode;
mod flatten;
mod keys;
#[cfg(test)]
mod tests;

pub use decode::{decode, PairFault, PairProblem};
pub use encode::encode;
pub use flatten::{flatten, FlattenError};
pub use keys::{key_of, Kind, SettingKey, KEYS};
