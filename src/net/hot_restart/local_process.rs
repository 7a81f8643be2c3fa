//! This process, as the other process of its limiter sees it.

use super::shared_folder::SharedFolder;
use crate::api::Nanos;
use crate::net::unix_time;
use quartzcleat_admin::LimiterIdentity;
use std::net::SocketAddr;

/// The identity of this process, and the folder that it shares with the other process of its limiter.
pub struct LocalProcess {
    pub(super) name: String,
    pub(super) listen: String,
    /// When this process started, in Unix time.
    pub(super) started_at: Nanos,
    /// `None` where there is no admin interface, and so no other process.
    pub(super) folder: Option<SharedFolder>,
}

impl LocalProcess {
    /// A process that starts at this moment. Without an admin interface there is no other process, and nothing is
    /// shared.
    pub fn new(name: String, listen: SocketAddr, has_admin: bool) -> Self {
        let started_at = unix_time::now();
        LocalProcess {
            name,
            listen: listen.to_string(),
            started_at,
            folder: has_admin.then(|| SharedFolder::new(started_at)),
        }
    }

    /// The limiter that this process belongs to.
    pub(super) fn identity(&self) -> LimiterIdentity<'_> {
        LimiterIdentity {
            name: &self.name,
            listen: &self.listen,
        }
    }
}
