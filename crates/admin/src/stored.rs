//! The header of the texts that processes of one limiter store for each other.

use thiserror::Error;

/// Version of the stored format. Texts of any other version are ignored.
pub const FORMAT_VERSION: u32 = 1;

/// Identity of the limiter that a process belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimiterIdentity<'a> {
    /// Name of the limiter.
    pub name: &'a str,
    /// Address on which it accepts clients.
    pub listen: &'a str,
}

/// Reason why a stored text is ignored.
#[derive(Debug, Error)]
pub enum StoredError {
    /// The text is truncated or malformed.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The text has another version of the format.
    #[error("format version {0} is not supported, only {FORMAT_VERSION}")]
    UnknownVersion(u32),
    /// The text is from a process of another limiter.
    #[error("written for the limiter {name} at {listen}")]
    OtherLimiter {
        /// Name of that limiter.
        name: String,
        /// Address on which that limiter accepts clients.
        listen: String,
    },
}

/// Checks that a text has the supported format version and that its `origin` is the `expected` limiter.
pub(crate) fn check_header(
    version: u32,
    origin: LimiterIdentity<'_>,
    expected: LimiterIdentity<'_>,
) -> Result<(), StoredError> {
    if version != FORMAT_VERSION {
        return Err(StoredError::UnknownVersion(version));
    }
    if origin != expected {
        return Err(StoredError::OtherLimiter {
            name: origin.name.to_owned(),
            listen: origin.listen.to_owned(),
        });
    }
    Ok(())
}
