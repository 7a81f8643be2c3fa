//! Identifiers, index types and the unit of time.

use std::fmt;

/// A point in time or a duration on the caller's monotonic clock, in nanoseconds.
pub type Nanos = u64;

/// Identifier of a request, a client call that gets one final answer. Unique within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of a back-end host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// Identifier of a customer, the owner of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub u64);

/// Defines a newtype for one kind of index, so that indices of different kinds cannot be confused.
macro_rules! index_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Converts a position in a slice.
            ///
            /// # Panics
            ///
            /// Panics if the position exceeds `u32::MAX`.
            #[must_use]
            pub fn from_usize(position: usize) -> Self {
                Self(u32::try_from(position).expect("position fits in u32"))
            }

            /// Returns the position in a slice.
            #[must_use]
            pub const fn as_usize(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

index_type! {
    /// Position of a request class in [`Settings::classes`](super::Settings::classes).
    ClassIndex
}

index_type! {
    /// Position of a plan in [`Settings::plans`](super::Settings::plans).
    PlanIndex
}

index_type! {
    /// Position of a limiter among all limiters, from zero.
    LimiterIndex
}

index_type! {
    /// Position of an attempt among the attempts of its request, from zero.
    AttemptIndex
}

index_type! {
    /// Index of a zone, a group of hosts and limiters with its own network and power supply.
    ZoneId
}

index_type! {
    /// Index of a cell, a group of hosts within a zone that share their deduplication state.
    CellId
}
