//! Ranges of seeds and their errors.

use super::*;

#[test]
fn range_includes_its_last_seed_and_errors_name_the_text() {
    let range: SeedRange = "3..5".parse().expect("a range");
    assert_eq!(range.all().collect::<Vec<_>>(), [3, 4, 5]);
    assert_eq!(range.count(), 3);
    assert!(range.contains(5) && !range.contains(6));
    for (text, message) in [
        ("5", "write seeds as 1..20"),
        ("a..5", "\"a\" is no seed"),
        ("5..3", "5..3 holds no seed"),
    ] {
        let error = text.parse::<SeedRange>().expect_err("no range");
        assert_eq!(error.to_string(), message);
    }
}
