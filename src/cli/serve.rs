//! `quartzcleat serve`: reads the configuration, initializes logging, and runs the limiter until it is asked to shut
//! down.

use crate::logging::{self, LoggingError};
use crate::net::{self, config, StartError};
use quartzcleat_config::{Faults, ProductConfig};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// The reason why the product configuration cannot be used.
#[derive(Debug, Error)]
pub enum ProductConfigError {
    /// The file cannot be read.
    #[error("{}: cannot read: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The file has faults, one line each.
    #[error(transparent)]
    Faults(#[from] Faults),
}

/// The reason why the limiter cannot serve.
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

/// Reads the product configuration, or returns the defaults if `path` is `None`.
///
/// # Errors
/// Returns an error if the file cannot be read or has faults.
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

/// Serves until the process is asked to shut down, and returns the exit code.
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
    logging::init(&product.log)?;
    let platform = config::from_environment()?;
    let config = config::Config {
        metrics_interval: product.metrics_interval,
        lease: product.lease,
        ..platform
    };
    net::serve(config)?;
    Ok(())
}
