//! Numbers of classes and plans over changes of the settings. Requests under way have a number, so what one stands for
//! never changes while anybody may have it; what a change leaves as it was keeps its number, and with it what was
//! learned.

use quartzcleat_decision::api::{Class, Nanos, Plan, Settings};

/// How long a name that vanished is still heard: who sends it may not know yet.
const HEARD: Nanos = 1_200_000_000;
/// How long after a request's deadline its number may still be had, by an attempt that was given up late.
const AFTER: Nanos = 1_000_000_000;

#[derive(Clone, Debug)]
struct Numbered<T> {
    item: T,
    /// When it was no longer among the settings.
    vanished: Option<Nanos>,
}

/// What has a name and may be the same after a change.
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

fn take<T: Named>(held: &mut Vec<Numbered<T>>, wanted: &[T], now: Nanos, longest: Nanos) {
    for one in held
        .iter_mut()
        .filter(|one| one.vanished.is_none() && !wanted.contains(&one.item))
    {
        one.vanished = Some(now);
    }
    let free = |one: &Numbered<T>| {
        one.vanished
            .is_some_and(|at| now >= at.saturating_add(longest + AFTER))
    };
    for item in wanted {
        if let Some(same) = held.iter_mut().find(|one| one.item == *item) {
            same.vanished = None;
            continue;
        }
        let fresh = Numbered {
            item: item.clone(),
            vanished: None,
        };
        match held.iter_mut().find(|one| free(one)) {
            Some(place) => *place = fresh,
            None => held.push(fresh),
        }
    }
}

/// The numbers whose names are heard, one for each name: that in force before one that vanished a moment ago.
fn heard<T: Named>(held: &[Numbered<T>], now: Nanos) -> Vec<u32> {
    let by = |one: &Numbered<T>| {
        one.vanished
            .map_or(Nanos::MAX, |at| at.saturating_add(HEARD))
    };
    let best = |number: &usize| {
        let mine = &held[*number];
        let rival = |(other, one): (usize, &Numbered<T>)| {
            other != *number
                && one.item.name() == mine.item.name()
                && (by(one), other) > (by(mine), *number)
        };
        by(mine) > now && !held.iter().enumerate().any(rival)
    };
    (0..held.len())
        .filter(best)
        .map(|number| number as u32)
        .collect()
}

/// The classes and plans that have numbers.
#[derive(Clone, Debug)]
pub struct Numbers {
    classes: Vec<Numbered<Class>>,
    plans: Vec<Numbered<Plan>>,
}

impl Numbers {
    /// Numbers in the order of the first settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let class = |item: &Class| Numbered {
            item: item.clone(),
            vanished: None,
        };
        let plan = |item: &Plan| Numbered {
            item: item.clone(),
            vanished: None,
        };
        Numbers {
            classes: settings.classes.iter().map(class).collect(),
            plans: settings.plans.iter().map(plan).collect(),
        }
    }

    /// Goes over to new settings at a moment; them, with all classes and plans that have a number in their places.
    pub fn take(&mut self, settings: &Settings, now: Nanos) -> Settings {
        let longest = self
            .classes
            .iter()
            .map(|one| one.item.deadline)
            .max()
            .unwrap_or(0);
        take(&mut self.classes, &settings.classes, now, longest);
        take(&mut self.plans, &settings.plans, now, longest);
        Settings {
            classes: self.classes.iter().map(|one| one.item.clone()).collect(),
            plans: self.plans.iter().map(|one| one.item.clone()).collect(),
            ..settings.clone()
        }
    }

    /// The numbers of the classes and of the plans whose names are heard at a moment.
    #[must_use]
    pub fn heard(&self, now: Nanos) -> (Vec<u32>, Vec<u32>) {
        (heard(&self.classes, now), heard(&self.plans, now))
    }

    /// How long from a change on the names that it took are heard.
    #[must_use]
    pub fn heard_for() -> Nanos {
        HEARD
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quartzcleat_decision::api::Effect;

    fn settings(classes: &[(&str, Effect)]) -> Settings {
        let class = |(name, effect): &(&str, Effect)| Class {
            name: (*name).to_owned(),
            effect: *effect,
            deadline: 4 * HEARD,
            ..Class::default()
        };
        Settings {
            classes: classes.iter().map(class).collect(),
            ..Settings::default()
        }
    }

    #[test]
    fn a_number_stands_for_one_class_as_long_as_anybody_may_have_it() {
        let (check, hold) = (("check", Effect::Retryable), ("hold", Effect::Keyed));
        let mut numbers = Numbers::new(&settings(&[check, hold]));
        // One vanishes, one gets stricter under its name, one appears.
        let strict = ("hold", Effect::Unsafe);
        let table = numbers.take(&settings(&[strict, ("new", Effect::Unsafe)]), 10);
        let names: Vec<_> = table
            .classes
            .iter()
            .map(|class| (class.name.as_str(), class.effect))
            .collect();
        assert_eq!(names, [check, hold, strict, ("new", Effect::Unsafe)]);
        assert_eq!(numbers.heard(11).0, [0, 2, 3]);
        assert_eq!(numbers.heard(10 + HEARD).0, [2, 3]);
        // What comes back as it was has its number back; what nobody can have any more makes room.
        assert_eq!(
            numbers.take(&settings(&[check, strict]), 20).classes.len(),
            4
        );
        assert_eq!(numbers.heard(20 + HEARD).0, [0, 2]);
        let late = 20 + 4 * HEARD + AFTER;
        let table = numbers.take(&settings(&[check, strict, ("third", Effect::Keyed)]), late);
        assert_eq!(
            (table.classes.len(), table.classes[1].name.as_str()),
            (4, "third")
        );
    }
}
