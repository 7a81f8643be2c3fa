//! `quartzcleat serve`: reads the configuration, begins logging, and runs the limiter until it is asked to end.

use crate::logging::{self, LoggingError};
use crate::net::{self, config, StartError};
use quartzcleat_config::{Faults, ProductConfig};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Why the product configuration cannot be used.
#[derive(Debug, Error)]
pub enum ProductConfigError {
    /// The file cannot be read.
    #[error("{}: cannot read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file has faults, one line each.
    #[error(transparent)]
    Faults(#[from] Faults),
}

/// Why the program cannot serve.
#[derive(Debug, Error)]
enum ServeError {
    #[error(transparent)]
    ProductConfig(#[from] ProductConfigError),
    #[error(transparent)]
    Logging(#[from] LoggingError),
    #[error(transparent)]
    PlatformConfig(#[from] config::ConfigError),
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Reads the product configuration; without a file, defaults apply.
///
/// # Errors
/// Fails where the file cannot be read or has faults.
pub fn read_product_config(path: Option<&Path>) -> Result<ProductConfig, ProductConfigError> {
    let Some(path) = path else {
        return Ok(ProductConfig::default());
    };
    let text = std::fs::read_to_string(path).map_err(|source| ProductConfigError::Read {
        path: path.to_owned(),
        source,
    })?;
    let product = ProductConfig::read(&path.display().to_string(), &text)?;
    Ok(product)
}

/// Serves until the process is asked to end.
#[must_use]
pub fn run(product_config: Option<&Path>) -> ExitCode {
    match serve(product_config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quartzcleat: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(product_config: Option<&Path>) -> Result<(), ServeError> {
    let product = read_product_config(product_config)?;
    logging::begin(&product.log)?;
    let platform = config::from_environment()?;
    let config = config::Config {
        metrics_interval: product.metrics_interval,
        lease: product.lease,
        ..platform
    };
    net::serve(config)?;
    Ok(())
}
