//! Tests of formula evaluation.

use super::*;
use crate::tree::Place;

fn resolve(name: &str) -> Result<SettingValue, UnknownSetting> {
    match name {
        "plans.guide.burst" => Ok(SettingValue {
            value: 12.0,
            is_duration: false,
            key: "contracts.0.peakUnits".into(),
        }),
        "classes.bed-hold.aim" => Ok(SettingValue {
            value: 1e9,
            is_duration: true,
            key: "categories.1.onTimeNs".into(),
        }),
        _ => Err(UnknownSetting::Unknown {
            name: name.to_owned(),
            part: name.to_owned(),
            known: Vec::new(),
        }),
    }
}

fn evaluated(text: &str) -> Result<FormulaValue, FormulaError> {
    evaluate(
        &Node {
            place: Place::default(),
            content: Content::Text(text.into()),
        },
        &resolve,
    )
}

#[test]
fn names_units_and_arithmetic_are_evaluated() {
    let formula = evaluated("plans.guide.burst * 1.5 - 2").expect("valid");
    assert_eq!((formula.value, formula.is_duration), (16.0, false));
    assert!(formula.keys.contains("contracts.0.peakUnits"));
    assert_eq!(
        evaluated("classes.bed-hold.aim/2 + 50ms").map(|f| (f.value.round(), f.is_duration)),
        Ok((550e6, true))
    );
    assert_eq!(
        evaluated("max(3, plans.guide.burst/5)").map(|f| f.value),
        Ok(3.0)
    );
    assert_eq!(evaluated("7 / 2").map(|f| f.value), Ok(3.5));
}

#[test]
fn invalid_formulas_are_rejected() {
    for wrong in [
        "1 + 5ms",
        "plans.gide.burst",
        "5 5",
        "1 / 0",
        "2parsecs",
        "a; b",
        "(",
        "",
    ] {
        assert!(evaluated(wrong).is_err(), "{wrong}");
    }
}
