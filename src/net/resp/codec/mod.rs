//! RESP2 codec: parsers for commands and replies, and a writer.
//!
//! Both parsers are given all bytes received so far and return `Ok(None)` while the message is incomplete. Malformed
//! bytes can never become a message, and the bytes after them on the connection cannot be parsed.

mod buffer;
mod command;
mod cursor;
mod reply;
mod write;

pub use buffer::{consume, read_more, read_some};
pub use command::{announced_command, parse_command, AnnouncedCommand, Command};
pub use cursor::Malformed;
pub use reply::{parse_reply, value_head, ParsedReply, Reply, ValueHead};
pub use write::{write_bulk, write_command, write_head};
