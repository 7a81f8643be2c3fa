//! Tests of `--range` parsing.

use super::*;

fn range(name: &str, values: &[f64]) -> SettingRange {
    SettingRange {
        name: name.to_owned(),
        values: values.to_vec(),
    }
}

#[test]
fn range_yields_its_ends_and_its_midpoint() {
    assert_eq!(
        parse_range("plans.guide.rate=1..2"),
        Ok(range("plans.guide.rate", &[1.0, 1.5, 2.0]))
    );
    assert_eq!(parse_range("x=3"), Ok(range("x", &[3.0])));
    assert!(parse_range("x").is_err() && parse_range("x=1..a").is_err());
}
