//! The processes of a run and the names behind the indices in its records.

use quartzcleat_decision::api::{CellId, ClassIndex, LimiterIndex, ZoneId};

/// Index of a host in [`Processes::hosts`]. Decision engines identify hosts by a `HostId` instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostIndex(pub usize);

/// Index of a partner in [`Processes::partners`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartnerIndex(pub usize);

/// A limiter or a host, and its location.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Process {
    /// The name in reports and timelines.
    pub name: String,
    /// The zone, as an index into [`Processes::zones`].
    pub zone: ZoneId,
    /// The cell of a host, which delimits [`DedupScope::Cell`](quartzcleat_decision::api::DedupScope::Cell); unused
    /// for a limiter.
    pub cell: CellId,
}

/// The names of the limiters, hosts, partners and classes to which records refer by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Processes {
    /// Zone names, by [`ZoneId`].
    pub zones: Vec<String>,
    /// Limiters, by [`LimiterIndex`].
    pub limiters: Vec<Process>,
    /// Hosts, by [`HostIndex`].
    pub hosts: Vec<Process>,
    /// Partner names, by [`PartnerIndex`]. All requests of a partner share one quota.
    pub partners: Vec<String>,
    /// Names of the request classes, by [`ClassIndex`].
    pub classes: Vec<String>,
}

impl Processes {
    /// Returns the indices of all limiters in ascending order.
    pub fn limiter_indices(&self) -> impl Iterator<Item = LimiterIndex> + use<> {
        (0..self.limiters.len()).map(LimiterIndex::from_usize)
    }

    /// Returns the name of a limiter, or a generic term if the index is out of range.
    #[must_use]
    pub fn limiter(&self, index: LimiterIndex) -> &str {
        self.limiters
            .get(index.as_usize())
            .map_or("a limiter", |process| &process.name)
    }

    /// Returns the name of a host, or a generic term if the index is out of range.
    #[must_use]
    pub fn host(&self, index: HostIndex) -> &str {
        self.hosts
            .get(index.0)
            .map_or("a node", |process| &process.name)
    }

    /// Returns the name of a class, or a generic term if the index is out of range.
    #[must_use]
    pub fn class(&self, index: ClassIndex) -> &str {
        self.classes
            .get(index.as_usize())
            .map_or("request", String::as_str)
    }

    /// Returns the name of a partner, or a generic term if the index is out of range.
    #[must_use]
    pub fn partner(&self, index: PartnerIndex) -> &str {
        self.partners
            .get(index.0)
            .map_or("a partner", String::as_str)
    }
}
