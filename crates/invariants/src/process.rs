//! The processes of a run and the names behind the indices in its records.

use quartzcleat_decision::api::{CellId, ClassIndex, LimiterIndex, ZoneId};

/// Position of a host in [`Processes::hosts`]. A decision engine knows the host by an identifier instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostIndex(pub usize);

/// Position of a partner in [`Processes::partners`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartnerIndex(pub usize);

/// A limiter or a host, and where it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Process {
    /// Its name.
    pub name: String,
    /// Its zone, by its position in [`Processes::zones`].
    pub zone: ZoneId,
    /// The cell of a host; unused for a limiter.
    pub cell: CellId,
}

/// The names behind the indices in records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Processes {
    /// The zones.
    pub zones: Vec<String>,
    /// The limiters.
    pub limiters: Vec<Process>,
    /// The hosts.
    pub hosts: Vec<Process>,
    /// The partners, whose requests share a quota.
    pub partners: Vec<String>,
    /// The request classes.
    pub classes: Vec<String>,
}

impl Processes {
    /// The indices of all limiters.
    pub fn limiter_indices(&self) -> impl Iterator<Item = LimiterIndex> + use<> {
        (0..self.limiters.len()).map(LimiterIndex::from_usize)
    }

    /// A limiter's name.
    #[must_use]
    pub fn limiter(&self, index: LimiterIndex) -> &str {
        self.limiters
            .get(index.as_usize())
            .map_or("a limiter", |process| &process.name)
    }

    /// A host's name.
    #[must_use]
    pub fn host(&self, index: HostIndex) -> &str {
        self.hosts
            .get(index.0)
            .map_or("a node", |process| &process.name)
    }

    /// A class's name.
    #[must_use]
    pub fn class(&self, index: ClassIndex) -> &str {
        self.classes
            .get(index.as_usize())
            .map_or("request", String::as_str)
    }

    /// A partner's name.
    #[must_use]
    pub fn partner(&self, index: PartnerIndex) -> &str {
        self.partners
            .get(index.0)
            .map_or("a partner", String::as_str)
    }
}
