//! Runs the decision engines of many limiters behind the simulator's protocol, on standard input and output.

use quartzcleat::simulator::serve;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("quartzcleat-sim: {info}")));
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quartzcleat-sim: {error}");
            ExitCode::FAILURE
        }
    }
}
