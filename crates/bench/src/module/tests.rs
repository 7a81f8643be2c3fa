//! The table of damages fits the decision crate.

use super::*;

/// A damage whose text is missing would stop a run only when its turn comes; one whose text stands twice would
/// damage the first place only.
#[test]
fn text_of_each_damage_stands_once_in_the_crate() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../decision/src");
    for damage in DAMAGES {
        let (file, original) = (damage.file, damage.original);
        let text = std::fs::read_to_string(source.join(file)).expect("a file of the crate");
        assert_eq!(text.matches(original).count(), 1, "{file}: {original:?}");
    }
}
