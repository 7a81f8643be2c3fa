//! The processes of a run and the names behind the indices in its records.

/// A limiter, host, partner or class by its index in [`Processes`].
pub type Index = usize;

/// A limiter or a host, and where it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Process {
    /// Its name.
    pub name: String,
    /// The index of its zone.
    pub zone: u32,
    /// The cell of a host; unused for a limiter.
    pub cell: u32,
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
    /// A limiter's name.
    #[must_use]
    pub fn limiter(&self, index: Index) -> &str {
        self.limiters
            .get(index)
            .map_or("a limiter", |process| &process.name)
    }

    /// A host's name.
    #[must_use]
    pub fn host(&self, index: Index) -> &str {
        self.hosts
            .get(index)
            .map_or("a node", |process| &process.name)
    }

    /// A class's name.
    #[must_use]
    pub fn class(&self, index: Index) -> &str {
        self.classes.get(index).map_or("request", String::as_str)
    }

    /// A partner's name.
    #[must_use]
    pub fn partner(&self, index: Index) -> &str {
        self.partners.get(index).map_or("a partner", String::as_str)
    }
}
