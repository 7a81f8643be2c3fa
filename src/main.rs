//! One real limiter: reads its configuration and serves until it is told to end.
#![forbid(unsafe_code)]

use quartzcleat::net::{self, config};
use std::process::ExitCode;

fn main() -> ExitCode {
    let served = config::from_environment().and_then(net::serve);
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("quartzcleat: {message}");
            ExitCode::FAILURE
        }
    }
}
