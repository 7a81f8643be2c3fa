//! Tests that a replacement with a missing or invalid key is rejected, and that the fault names the key.

use super::*;
use serde_json::json;

fn valid() -> Value {
    json!({
        "name": "n1", "known": {"generation": 1}, "seed": "ab",
        "settings": {
            "categories": [
                {"name": "check", "hardLimitNs": 5, "aimStretch": 1},
                {"name": "hold", "hardLimitNs": 5, "group": "all"},
            ],
            "contracts": [{"name": "guide", "refill": 1.5}],
            "limits": {"sendCap": 4}, "zones": ["a"],
        },
    })
}

/// A change to the valid configuration, and the beginning of its first fault.
struct InvalidChange {
    pointer: &'static str,
    value: Value,
    fault: &'static str,
}

fn change(pointer: &'static str, value: Value, fault: &'static str) -> InvalidChange {
    InvalidChange {
        pointer,
        value,
        fault,
    }
}

#[rustfmt::skip] // One change a line.
fn invalid_changes() -> Vec<InvalidChange> {
    vec![
        change("/settings/categories/1/hardLimitNs", json!(0), "settings.categories.1.hardLimitNs"),
        change("/settings/categories/0/hardLimitNs", json!("5"), "settings.categories.0.hardLimitNs"),
        change("/settings/limits/sendCap", json!(-1), "settings.limits.sendCap"),
        change("/settings/limits/sendCap", json!(null), "settings.limits.sendCap"),
        change("/settings/limits", json!({}), "settings.limits.sendCap: missing"),
        change("/settings/categories/0", json!({"name": "check"}), "settings.categories.0.hardLimitNs: missing"),
        change("/settings/categories", json!([]), "settings.categories: empty"),
        change("/settings/categories/0/name", json!("hold"), "settings.categories.1.name: duplicate name"),
        change("/settings/contracts/0/name", json!(""), "settings.contracts.0.name: empty"),
        change("/settings", json!([]), "settings: type changed from an object to a list"),
        change("", json!({}), "name: missing"),
    ]
}

#[test]
fn members_and_optional_keys_may_change() {
    let current = valid();
    assert!(check_replacement(&current, &current).is_empty());
    let mut other = current.clone();
    other["settings"]["categories"] = json!([{"name": "new", "hardLimitNs": 1}]);
    other["settings"]["zones"] = json!([]);
    other.as_object_mut().expect("an object").remove("known");
    assert!(
        check_replacement(&current, &other).is_empty(),
        "classes may be added and removed: {:?}",
        check_replacement(&current, &other)
    );
}

#[test]
fn lost_or_malformed_keys_are_named() {
    let current = valid();
    for InvalidChange {
        pointer,
        value,
        fault,
    } in invalid_changes()
    {
        let mut invalid = current.clone();
        *invalid.pointer_mut(pointer).expect("the pointer exists") = value;
        let faults = check_replacement(&current, &invalid);
        assert!(
            faults
                .first()
                .is_some_and(|first| first.to_string().starts_with(fault)),
            "{pointer}: {faults:?}"
        );
    }
}
