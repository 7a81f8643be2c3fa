//! The pages under `docs/` name every key of the project's own YAML files, every log event and every metrics key, and
//! the page for on-call engineers names no event or metrics key that the program does not have.
//!
//! Keys come from the readers themselves, which list the keys of a map when they meet an unknown one. Events and metrics
//! keys come from the `tracing` macros in the sources.

mod crossings;
mod keys;
mod log_events;
mod on_call;
mod pages;
mod scanner;
mod scanner_tests;
mod sources;
