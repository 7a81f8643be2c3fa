//! The interface of the decision engine: its input ([`Settings`], [`Event`]) and its output ([`Action`]).
//!
//! All types are plain data without decision logic. In [`Settings`] a zero, `false` or empty list means "not
//! specified"; the engine defines the effect of that.

mod action;
mod event;
mod hosts;
mod identifiers;
mod log_event;
mod settings;

pub(crate) use action::Actions;
pub use action::{Action, Peers, Timer};
pub use event::Event;
pub use hosts::{HostEntry, HostState, ListMode, LoadReading, LoadReport, Outcome};
pub use identifiers::{
    AttemptIndex, CellId, ClassIndex, CustomerId, HostId, LimiterIndex, Nanos, PlanIndex,
    RequestId, ZoneId,
};
pub use log_event::LogEvent;
pub use settings::{
    AttemptSettings, BackoffSettings, Capabilities, Class, CounterSettings, DedupScope,
    DiscoverySettings, Effect, GraceSettings, LimiterSettings, Plan, PriceSettings, ReportSource,
    Settings, SlowStartSettings, UnitSettings,
};
