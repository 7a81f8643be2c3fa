//! The header of the texts that processes of a limiter store for each other.

use thiserror::Error;

/// The version of the format that is written. Only this version is read.
pub const FORMAT_VERSION: u32 = 1;

/// Which limiter a process belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimiterIdentity<'a> {
    /// The limiter's name.
    pub name: &'a str,
    /// Where it listens for clients.
    pub listen: &'a str,
}

/// Why a stored text is ignored.
#[derive(Debug, Error)]
pub enum StoredError {
    /// The text is cut or malformed.
    #[error("cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The text has another format.
    #[error("form {0} is not known here, only {FORMAT_VERSION}")]
    UnknownVersion(u32),
    /// The text is another limiter's.
    #[error("it is of {name} at {listen}")]
    OtherLimiter {
        /// The name of that limiter.
        name: String,
        /// Where that limiter listens.
        listen: String,
    },
}

/// Checks that a text has the known format and comes from a process of this limiter.
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
