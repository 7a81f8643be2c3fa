//! One limiter of a run: its process, its addresses, and the number of its starts.

use crate::process::{LimiterProcess, ProcessFiles};
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// The addresses of a limiter and of the services that it calls.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) counter: SocketAddr,
}

/// One limiter, whether or not its process is running.
pub(crate) struct Limiter {
    pub(crate) process: LimiterProcess,
    files: ProcessFiles,
    pub(crate) addresses: Addresses,
    /// The number of times that the process was started.
    pub(crate) starts: usize,
}

impl Limiter {
    /// Creates a limiter without starting its process.
    pub(crate) fn new(program: &Path, files: ProcessFiles, addresses: Addresses) -> Self {
        Limiter {
            process: LimiterProcess::new(program, files.clone()),
            files,
            addresses,
            starts: 0,
        }
    }

    /// Writes the platform's configuration and starts the process, with `product_config` if there is one.
    pub(crate) fn start(
        &mut self,
        platform_config: &serde_json::Value,
        product_config: Option<&str>,
    ) -> io::Result<()> {
        self.starts += 1;
        std::fs::write(&self.files.platform_config, platform_config.to_string())?;
        self.process.start(product_config)
    }
}
