//! The idempotency keys that hosts remember within a deduplication window.

use quartzcleat_decision::api::Nanos;
use std::collections::BTreeMap;

/// An idempotency key within the group of hosts that recognise each other's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupKey {
    pub(crate) group: u32,
    pub(crate) operation: u64,
}

/// When each key was executed first within its window.
pub(crate) type ExecutedKeys = BTreeMap<GroupKey, Nanos>;
