//! The identity of this process towards the other process of its limiter.

use super::shared_folder::SharedFolder;
use crate::api::Nanos;
use crate::net::unix_time;
use quartzcleat_admin::LimiterIdentity;
use std::net::SocketAddr;

/// Identity of this process, and the folder that it shares with the other process of its limiter.
pub struct LocalProcess {
    /// Name of the limiter.
    pub(super) name: String,
    /// Address on which clients are accepted.
    pub(super) listen: String,
    /// Start of this process, in nanoseconds of Unix time.
    pub(super) started_at: Nanos,
    /// Folder of the state files; `None` without an admin interface, since there is then no other process.
    pub(super) folder: Option<SharedFolder>,
}

impl LocalProcess {
    /// Creates the identity of a process that starts now. Without an admin interface (`has_admin`) there is no other
    /// process, and nothing is shared.
    pub fn new(name: String, listen: SocketAddr, has_admin: bool) -> Self {
        let started_at = unix_time::now();
        LocalProcess {
            name,
            listen: listen.to_string(),
            started_at,
            folder: has_admin.then(|| SharedFolder::new(started_at)),
        }
    }

    /// Returns the identity of the limiter that this process belongs to.
    pub(super) fn identity(&self) -> LimiterIdentity<'_> {
        LimiterIdentity {
            name: &self.name,
            listen: &self.listen,
        }
    }
}
