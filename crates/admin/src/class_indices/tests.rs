//! What an index stands for over reloads.

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
fn an_index_stands_for_one_class_while_any_request_may_carry_it() {
    let (check, hold) = (
        ("check", Effect::Idempotent),
        ("hold", Effect::IdempotentWithKey),
    );
    let mut indices = ClassIndices::new(&settings(&[check, hold]));
    // One vanishes, one gets stricter under its name, one appears.
    let strict = ("hold", Effect::Unsafe);
    let table = indices.apply(&settings(&[strict, ("new", Effect::Unsafe)]), 10);
    let names: Vec<_> = table
        .classes
        .iter()
        .map(|class| (class.name.as_str(), class.effect))
        .collect();
    assert_eq!(names, [check, hold, strict, ("new", Effect::Unsafe)]);
    assert_eq!(indices.accepted(11).classes, [0, 2, 3]);
    assert_eq!(
        indices.accepted(10 + ACCEPTED_AFTER_REMOVAL).classes,
        [2, 3]
    );
    // What comes back as it was has its index back; what nobody can have any more makes room.
    assert_eq!(
        indices.apply(&settings(&[check, strict]), 20).classes.len(),
        4
    );
    assert_eq!(
        indices.accepted(20 + ACCEPTED_AFTER_REMOVAL).classes,
        [0, 2]
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
