//! A replacement that lost or damaged a key is rejected, and the fault names the key.

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

#[test]
fn lost_or_malformed_keys_are_named() {
    let current = valid();
    assert!(check_replacement(&current, &current).is_empty());
    let mut other = current.clone();
    other["settings"]["categories"] = json!([{"name": "new", "hardLimitNs": 1}]);
    other["settings"]["zones"] = json!([]);
    other.as_object_mut().expect("an object").remove("known");
    assert!(
        check_replacement(&current, &other).is_empty(),
        "classes come and go: {:?}",
        check_replacement(&current, &other)
    );
    for (path, value, expected) in [
        (
            "/settings/categories/1/hardLimitNs",
            json!(0),
            "settings.categories.1.hardLimitNs",
        ),
        (
            "/settings/categories/0/hardLimitNs",
            json!("5"),
            "settings.categories.0.hardLimitNs",
        ),
        (
            "/settings/limits/sendCap",
            json!(-1),
            "settings.limits.sendCap",
        ),
        (
            "/settings/limits/sendCap",
            json!(null),
            "settings.limits.sendCap",
        ),
        (
            "/settings/limits",
            json!({}),
            "settings.limits.sendCap: missing",
        ),
        (
            "/settings/categories/0",
            json!({"name": "check"}),
            "settings.categories.0.hardLimitNs: missing",
        ),
        (
            "/settings/categories",
            json!([]),
            "settings.categories: empty",
        ),
        (
            "/settings/categories/0/name",
            json!("hold"),
            "settings.categories.1.name: given twice",
        ),
        (
            "/settings/contracts/0/name",
            json!(""),
            "settings.contracts.0.name: empty",
        ),
        (
            "/settings",
            json!([]),
            "settings: a list where an object was",
        ),
        ("", json!({}), "name: missing"),
    ] {
        let mut broken = current.clone();
        *broken.pointer_mut(path).expect("it is there") = value;
        let faults = check_replacement(&current, &broken);
        assert!(
            faults
                .first()
                .is_some_and(|fault| fault.to_string().starts_with(expected)),
            "{path}: {faults:?}"
        );
    }
}
