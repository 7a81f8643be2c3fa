//! The idempotency keys that hosts remember during the deduplication window.

use quartzcleat_decision::api::Nanos;
use std::collections::BTreeMap;

/// An idempotency key and the group of hosts that share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupKey {
    pub(crate) group: u32,
    pub(crate) operation: u64,
}

/// Start of the current deduplication window of each key: when it was first executed.
pub(crate) type ExecutedKeys = BTreeMap<GroupKey, Nanos>;
