//! One limiter of a trial: its process, and its product configuration, to which each start adds lines.

use quartzcleat_fakes::process::{LimiterProcess, ProcessFiles};
use std::io;
use std::path::Path;

/// One limiter of a trial.
pub(crate) struct Limiter {
    pub(crate) process: LimiterProcess,
    /// The product configuration without the lines that are added at a start.
    product_config: String,
}

impl Limiter {
    /// Creates a limiter without starting its process.
    pub(crate) fn new(program: &Path, files: ProcessFiles, product_config: String) -> Self {
        Limiter {
            process: LimiterProcess::new(program, files),
            product_config,
        }
    }

    /// Starts the process with `additional_lines` at the end of its product configuration.
    pub(crate) fn start(&mut self, additional_lines: &str) -> io::Result<()> {
        let product_config = format!("{}{additional_lines}", self.product_config);
        self.process.start(Some(&product_config))
    }
}
