//! Identifiers and the unit of time.

/// A point in time or a duration on the caller's monotonic clock, in nanoseconds.
pub type Nanos = u64;

/// A request: one attempt of a client to get an answer. Unique during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A back-end host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// A customer, the owner of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);
