//! The simulator's protocol: decodes lines of text into events of decision engines and encodes their actions as lines.
//! It makes no decisions of its own.

mod decode;
mod encode;
mod fields;
mod session;
mod timer_tag;

pub use decode::{Decoder, Line};
pub use encode::encode;
pub use fields::DecodeError;
pub use session::{serve, SessionError};
