//! Tests that an index keeps its class across reloads.

use super::*;
use quartzcleat_decision::api::Effect;

fn settings(classes: &[(&str, Effect)]) -> Settings {
    let class = |(name, effect): &(&str, Effect)| Class {
        name: (*name).to_owned(),
        effect: *effect,
        deadline: 4 * REMOVAL_GRACE,
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
    // `check` is removed, `hold` keeps its name with a stricter effect, `new` is added.
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
        indices.accepted(10 + REMOVAL_GRACE).classes,
        [2, 3].map(ClassIndex)
    );
    // A class that returns unchanged gets its index back; an index that no request can carry any more is reused.
    assert_eq!(
        indices.apply(&settings(&[check, strict]), 20).classes.len(),
        4
    );
    assert_eq!(
        indices.accepted(20 + REMOVAL_GRACE).classes,
        [0, 2].map(ClassIndex)
    );
    let late = 20 + 4 * REMOVAL_GRACE + ABANDONED_ATTEMPT_GRACE;
    let table = indices.apply(
        &settings(&[check, strict, ("third", Effect::IdempotentWithKey)]),
        late,
    );
    assert_eq!(
        (table.classes.len(), table.classes[1].name.as_str()),
        (4, "third")
    );
}
