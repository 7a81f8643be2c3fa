//! The simulator's protocol: lines of text to events of decision engines, and their actions to lines of text.
//! Takes no decisions.

mod decode;
mod encode;
mod fields;
mod session;
mod timer_tag;

pub use decode::{Decoder, Line};
pub use encode::encode;
pub use fields::DecodeError;
pub use session::{serve, SessionError};
