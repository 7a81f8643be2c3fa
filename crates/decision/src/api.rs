//! The interface of the decision engine: its input ([`Settings`], [`Event`]) and its output ([`Action`]).
//! Plain data, no decisions. In [`Settings`] a zero, `false` or empty list means "not specified"; the engine
//! decides what follows from that.

mod action;
mod event;
mod hosts;
mod identifiers;
mod settings;

pub(crate) use action::Actions;
pub use action::{Action, Peers, Timer};
pub use event::Event;
pub use hosts::{HostEntry, HostState, ListMode, Load, Outcome};
pub use identifiers::{CustomerId, HostId, Nanos, RequestId};
pub use settings::{Class, Effect, Group, Plan, ReportSource, Settings};
