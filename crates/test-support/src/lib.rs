//! What integration tests of several targets share. Only tests use it.
//!
//! [`engine`] drives a decision engine by hand, [`settings`] are the small settings that such tests start from, and
//! [`actions`] answers what an engine ordered.

pub mod actions;
pub mod engine;
pub mod settings;
