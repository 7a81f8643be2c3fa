//! Indices of classes and plans over reloads of the configuration.
//!
//! Open requests carry an index, so the meaning of an index never changes while a request may carry it. A class that a
//! reload leaves unchanged keeps its index, and with it the engine's measurements.

use quartzcleat_decision::api::{Class, ClassIndex, Nanos, Plan, PlanIndex, Settings};

#[cfg(test)]
mod tests;

/// How long a removed name is still accepted: its clients may not know of the removal yet.
const ACCEPTED_AFTER_REMOVAL: Nanos = 1_200_000_000;
/// How long after a request's deadline an attempt that was given up late may still carry its index.
const IN_USE_AFTER_DEADLINE: Nanos = 1_000_000_000;

/// A class or plan: has a name, and may be the same after a reload.
trait Named: Clone + PartialEq {
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

#[derive(Clone, Debug)]
struct Entry<T> {
    item: T,
    /// When it was no longer in the configuration.
    removed_at: Option<Nanos>,
}

impl<T: Named> Entry<T> {
    fn new(item: &T) -> Self {
        Entry {
            item: item.clone(),
            removed_at: None,
        }
    }

    /// Until when its name is accepted.
    fn accepted_until(&self) -> Nanos {
        self.removed_at.map_or(Nanos::MAX, |removed_at| {
            removed_at.saturating_add(ACCEPTED_AFTER_REMOVAL)
        })
    }

    /// Whether no request carries its index any more.
    fn is_free(&self, now: Nanos, longest_deadline: Nanos) -> bool {
        self.removed_at.is_some_and(|removed_at| {
            now >= removed_at.saturating_add(longest_deadline + IN_USE_AFTER_DEADLINE)
        })
    }
}

/// Classes or plans, by their indices.
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

    /// All items that have an index, by their indices.
    fn items(&self) -> Vec<T> {
        let entries = self.entries.iter();
        entries.map(|entry| entry.item.clone()).collect()
    }

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

    /// Gives an item the index that it had, a free one, or a new one.
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

    /// The positions whose names are accepted, one for each name. An entry in force precedes one that was removed a
    /// moment ago.
    fn accepted(&self, now: Nanos) -> impl Iterator<Item = usize> + use<'_, T> {
        (0..self.entries.len()).filter(move |position| self.is_accepted(*position, now))
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

/// The indices whose names are accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcceptedIndices {
    /// Of classes.
    pub classes: Vec<ClassIndex>,
    /// Of plans.
    pub plans: Vec<PlanIndex>,
}

/// The classes and plans that have an index.
#[derive(Clone, Debug)]
pub struct ClassIndices {
    classes: IndexTable<Class>,
    plans: IndexTable<Plan>,
}

impl ClassIndices {
    /// Indices in the order of the first configuration.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        ClassIndices {
            classes: IndexTable::new(&settings.classes),
            plans: IndexTable::new(&settings.plans),
        }
    }

    /// Applies new settings at a moment; returns them with all classes and plans that have an index in their places.
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

    /// The indices of the classes and plans whose names are accepted at a moment.
    #[must_use]
    pub fn accepted(&self, now: Nanos) -> AcceptedIndices {
        let classes = self.classes.accepted(now);
        let plans = self.plans.accepted(now);
        AcceptedIndices {
            classes: classes.map(ClassIndex::from_usize).collect(),
            plans: plans.map(PlanIndex::from_usize).collect(),
        }
    }

    /// How long after a reload the names that it removed are accepted.
    #[must_use]
    pub fn accepted_after_removal() -> Nanos {
        ACCEPTED_AFTER_REMOVAL
    }
}
