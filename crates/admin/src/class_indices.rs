//! Indices of classes and plans across reloads of the configuration.
//!
//! Open requests carry indices, so an index refers to the same class or plan for as long as a request may carry it. A
//! class that a reload leaves unchanged keeps its index, and with it the engine's measurements.

use quartzcleat_decision::api::{Class, ClassIndex, Nanos, Plan, PlanIndex, Settings};

#[cfg(test)]
mod tests;

/// Time for which a removed name is still accepted: clients may not know of the removal yet.
const REMOVAL_GRACE: Nanos = 1_200_000_000;
/// Time after a request's deadline for which an attempt that was abandoned late may still carry the request's index.
const ABANDONED_ATTEMPT_GRACE: Nanos = 1_000_000_000;

/// A class or plan, compared across reloads.
trait Named: Clone + PartialEq {
    /// Returns the name that requests refer to.
    fn name(&self) -> &str;
}

impl Named for Class {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Plan {
    fn name(&self) -> &str {
        &self.name
    }
}

/// An item that has an index.
#[derive(Clone, Debug)]
struct Entry<T> {
    item: T,
    /// Time of the reload that removed the item, in nanoseconds of Unix time; `None` while it is configured.
    removed_at: Option<Nanos>,
}

impl<T: Named> Entry<T> {
    fn new(item: &T) -> Self {
        Entry {
            item: item.clone(),
            removed_at: None,
        }
    }

    /// Returns the time until which the item's name is accepted; [`Nanos::MAX`] while it is configured.
    fn accepted_until(&self) -> Nanos {
        self.removed_at.map_or(Nanos::MAX, |removed_at| {
            removed_at.saturating_add(REMOVAL_GRACE)
        })
    }

    /// Whether no request carries the item's index any more.
    fn is_free(&self, now: Nanos, longest_deadline: Nanos) -> bool {
        self.removed_at.is_some_and(|removed_at| {
            now >= removed_at.saturating_add(longest_deadline + ABANDONED_ATTEMPT_GRACE)
        })
    }
}

/// Classes or plans, by index.
#[derive(Clone, Debug)]
struct IndexTable<T> {
    entries: Vec<Entry<T>>,
}

impl<T: Named> IndexTable<T> {
    fn new(items: &[T]) -> Self {
        IndexTable {
            entries: items.iter().map(Entry::new).collect(),
        }
    }

    /// Returns all items that have an index, in the order of their indices.
    fn items(&self) -> Vec<T> {
        let entries = self.entries.iter();
        entries.map(|entry| entry.item.clone()).collect()
    }

    /// Marks the items that are missing from `items` as removed, and gives each of `items` an index.
    fn update(&mut self, items: &[T], now: Nanos, longest_deadline: Nanos) {
        for entry in &mut self.entries {
            if entry.removed_at.is_none() && !items.contains(&entry.item) {
                entry.removed_at = Some(now);
            }
        }
        for item in items {
            self.insert(item, now, longest_deadline);
        }
    }

    /// Gives an item the index that it already has, or else a free or a new one.
    fn insert(&mut self, item: &T, now: Nanos, longest_deadline: Nanos) {
        let mut entries = self.entries.iter_mut();
        if let Some(same) = entries.find(|entry| entry.item == *item) {
            same.removed_at = None;
            return;
        }
        let mut entries = self.entries.iter_mut();
        match entries.find(|entry| entry.is_free(now, longest_deadline)) {
            Some(free) => *free = Entry::new(item),
            None => self.entries.push(Entry::new(item)),
        }
    }

    /// Returns the indices whose names are accepted, one for each name. A configured entry takes precedence over a
    /// removed entry of the same name.
    fn accepted(&self, now: Nanos) -> impl Iterator<Item = usize> + use<'_, T> {
        (0..self.entries.len()).filter(move |index| self.is_accepted(*index, now))
    }

    fn is_accepted(&self, index: usize, now: Nanos) -> bool {
        let entry = &self.entries[index];
        let is_preferred = |(other_index, other): (usize, &Entry<T>)| {
            other_index != index
                && other.item.name() == entry.item.name()
                && (other.accepted_until(), other_index) > (entry.accepted_until(), index)
        };
        entry.accepted_until() > now && !self.entries.iter().enumerate().any(is_preferred)
    }
}

/// Indices of the classes and plans whose names are accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedIndices {
    /// Indices of classes, ascending.
    pub classes: Vec<ClassIndex>,
    /// Indices of plans, ascending.
    pub plans: Vec<PlanIndex>,
}

/// Assignment of indices to classes and plans, configured and recently removed.
#[derive(Clone, Debug)]
pub struct ClassIndices {
    classes: IndexTable<Class>,
    plans: IndexTable<Plan>,
}

impl ClassIndices {
    /// Assigns indices in the order of the first configuration.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        ClassIndices {
            classes: IndexTable::new(&settings.classes),
            plans: IndexTable::new(&settings.plans),
        }
    }

    /// Applies new settings at `now`; returns them with all classes and plans that have an index, each at its index.
    pub fn apply(&mut self, settings: &Settings, now: Nanos) -> Settings {
        let entries = self.classes.entries.iter();
        let longest_deadline = entries.map(|entry| entry.item.deadline).max().unwrap_or(0);
        self.classes
            .update(&settings.classes, now, longest_deadline);
        self.plans.update(&settings.plans, now, longest_deadline);
        Settings {
            classes: self.classes.items(),
            plans: self.plans.items(),
            ..settings.clone()
        }
    }

    /// Returns the indices of the classes and plans whose names are accepted at `now`.
    #[must_use]
    pub fn accepted(&self, now: Nanos) -> AcceptedIndices {
        let classes = self.classes.accepted(now);
        let plans = self.plans.accepted(now);
        AcceptedIndices {
            classes: classes.map(ClassIndex::from_usize).collect(),
            plans: plans.map(PlanIndex::from_usize).collect(),
        }
    }

    /// Returns the time for which names that a reload removed are still accepted.
    #[must_use]
    pub fn removal_grace() -> Nanos {
        REMOVAL_GRACE
    }
}
