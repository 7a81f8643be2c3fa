//! Helpers that integration tests of several targets share. Only tests use them.
//!
//! For the decision engine: [`engine`] drives one by hand, [`settings`] are the small settings that such tests start from,
//! and [`actions`] finds actions of an engine.
//!
//! For the program: [`limiter`] starts a process beside a [`toy_platform`], with a configuration that [`config`]
//! changes, [`commands`] are what a client sends it, and [`long_values`] what it gets.

pub mod actions;
pub mod commands;
pub mod config;
pub mod engine;
pub mod limiter;
pub mod long_values;
pub mod process;
pub mod settings;
pub mod toy_platform;
