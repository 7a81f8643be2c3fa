//! Serving: settings are read, logging begins, and the limiter runs until it is told to end.

use crate::logging;
use crate::net::{self, config};
use quartzcleat_config::Product;
use std::path::Path;
use std::process::ExitCode;

/// Reads our own settings; none is as good as an empty file.
///
/// # Errors
/// All faults of the file, one line each.
pub fn product(path: Option<&Path>) -> Result<Product, String> {
    let Some(path) = path else {
        return Ok(Product::default());
    };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: cannot read: {e}"))?;
    Product::read(&name, &text).map_err(|faults| faults.to_string())
}

/// Serves.
pub fn run(config: Option<&Path>) -> ExitCode {
    let served = product(config).and_then(|product| {
        logging::begin(&product.log)?;
        let config = config::from_environment().map_err(|error| error.to_string())?;
        let config = config::Config {
            metrics_interval: product.metrics_interval,
            lease: product.lease,
            ..config
        };
        net::serve(config).map_err(|error| error.to_string())
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("quartzcleat: {message}");
            ExitCode::FAILURE
        }
    }
}
