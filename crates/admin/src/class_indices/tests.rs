//! The meaning of indices over reloads.

use super::*;
use quartzcleat_decision::api::Effect;

fn settings(classes: &[(&str, Effect)]) -> Settings {
    let class = |(name, effect): &(&str, Effect)| Class {
        name: (*name).to_owned(),
        effect: *effect,
        deadline: 4 * ACCEPTED_AFTER_REMOVAL,
        ..Class::default()
    };
    Settings {
        classes: classes.iter().map(class).collect(),
        ..Settings::default()
    }
}

#[test]
fn index_keeps_its_class_while_a_request_may_carry_it() {
    let check = ("check", Effect::Idempotent);
    let hold = ("hold", Effect::IdempotentWithKey);
    let mut indices = ClassIndices::new(&settings(&[check, hold]));
    // One class is removed, one gets stricter under its name, one is added.
    let strict = ("hold", Effect::Unsafe);
    let table = indices.apply(&settings(&[strict, ("new", Effect::Unsafe)]), 10);
    let names: Vec<_> = table
        .classes
        .iter()
        .map(|class| (class.name.as_str(), class.effect))
        .collect();
    assert_eq!(names, [check, hold, strict, ("new", Effect::Unsafe)]);
    assert_eq!(indices.accepted(11).classes, [0, 2, 3].map(ClassIndex));
    assert_eq!(
        indices.accepted(10 + ACCEPTED_AFTER_REMOVAL).classes,
        [2, 3].map(ClassIndex)
    );
    // A class that returns unchanged gets its index back; an index that no request can carry any more is free.
    assert_eq!(
        indices.apply(&settings(&[check, strict]), 20).classes.len(),
        4
    );
    assert_eq!(
        indices.accepted(20 + ACCEPTED_AFTER_REMOVAL).classes,
        [0, 2].map(ClassIndex)
    );
    let late = 20 + 4 * ACCEPTED_AFTER_REMOVAL + IN_USE_AFTER_DEADLINE;
    let table = indices.apply(
        &settings(&[check, strict, ("third", Effect::IdempotentWithKey)]),
        late,
    );
    assert_eq!(
        (table.classes.len(), table.classes[1].name.as_str()),
        (4, "third")
    );
}
