//! The table of damages fits the decision module.

use super::*;

/// A damage whose text no longer stands in the module would stop the run only when its turn comes.
#[test]
fn text_of_each_damage_stands_in_the_module() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../decision/src");
    for damage in DAMAGES {
        let (file, original) = (damage.file, damage.original);
        let text = std::fs::read_to_string(source.join(file)).expect("a file of the module");
        assert!(
            text.contains(original),
            "{file}: {original:?} stands there no more"
        );
    }
}
