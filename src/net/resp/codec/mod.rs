//! RESP2: an incremental parser for commands and replies, and a writer.
//!
//! Both parsers look at all bytes received so far. `Ok(None)` means that the message is incomplete. Malformed bytes can
//! never become a message, and the bytes behind them on the connection cannot be parsed.

mod buffer;
mod command;
mod cursor;
mod reply;
mod write;

pub use buffer::{consume, read_more};
pub use command::{parse_command, Command};
pub use cursor::Malformed;
pub use reply::{parse_reply, value_head, ParsedReply, Reply, ValueHead};
pub use write::{write_bulk, write_command, write_head};
