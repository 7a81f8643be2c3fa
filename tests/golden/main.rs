//! Golden tests: what the programs read and write, byte for byte, seen from outside only.
//!
//! `wire-*` files under `data/` hold protocols, keys, flags and codes, and `stored-*` files hold the form of stored data:
//! neither ever changes. `messages-*` files hold texts for people. `GOLDEN_WRITE=1 cargo test --test golden` writes the files anew from the present output.

mod admin;
mod command_line;
mod configuration;
mod expectations;
mod handoff;
mod limiter;
mod quota_window;
mod recorder;
mod rejections;
mod services;
mod simulator;
mod start_errors;

use quartzcleat_test_support::limiter::LimiterSetup;
use std::path::PathBuf;

/// The program that speaks the simulator's protocol.
const SIMULATOR: &str = env!("CARGO_BIN_EXE_quartzcleat-sim");
/// Its name, as it stands in front of its errors.
const SIMULATOR_NAME: &str = "quartzcleat-sim";
/// The limiter.
const LIMITER: &str = env!("CARGO_BIN_EXE_quartzcleat");

/// A limiter of this build.
fn limiter_setup(number: u8) -> LimiterSetup {
    LimiterSetup::new(LIMITER, number)
}

fn data(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/data")
        .join(name)
}

/// Compares an output with its golden file, or writes that file where `GOLDEN_WRITE` is 1.
fn assert_golden(name: &str, actual: &str) {
    if std::env::var("GOLDEN_WRITE").as_deref() == Ok("1") {
        std::fs::write(data(name), actual).expect("the golden file is written");
    }
    let expected = std::fs::read_to_string(data(name)).expect("the golden file is there");
    for (number, (line, wanted)) in actual.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, wanted, "{name}, line {}", number + 1);
    }
    assert_eq!(actual, expected, "{name}");
}
