//! Whether a configuration that is to replace one in force is whole: what stood in the old has to stand in the new. A
//! file that was cut off, written by half or lost a key would else be read with defaults that nobody wanted.

use serde_json::{Map, Value};

/// Keys that a file may lose: they are of a process's start, or may be absent by the platform's page.
const MAY_LACK: &[&str] = &["known", "seed", "settings.categories.N.aimStretch"];
/// Keys of which each has to be a number above zero.
const POSITIVE: &[&str] = &[
    "settings.categories.N.hardLimitNs",
    "settings.limits.sendCap",
];
/// Lists whose members have names, each its own.
const NAMED: &[&str] = &["settings.categories", "settings.contracts"];

/// Everything for which a configuration cannot replace the one in force, with its key.
#[must_use]
pub fn faults(held: &Value, new: &Value) -> Vec<String> {
    let mut faults = Vec::new();
    compare("", "", held, new, &mut faults);
    faults
}

fn under(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn form(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// `pattern` is the path with `N` for the numbers in it.
fn compare(path: &str, pattern: &str, held: &Value, new: &Value, faults: &mut Vec<String>) {
    if MAY_LACK.contains(&pattern) {
        return;
    }
    if POSITIVE.contains(&pattern) && new.as_f64().is_none_or(|number| number <= 0.0) {
        faults.push(format!("{path}: {new} is not a number above zero"));
        return;
    }
    if std::mem::discriminant(held) != std::mem::discriminant(new) {
        faults.push(format!("{path}: {} where {} was", form(new), form(held)));
        return;
    }
    match (held, new) {
        (Value::Object(held), Value::Object(new)) => members(path, pattern, held, new, faults),
        (Value::Array(held), Value::Array(new)) if held.iter().any(Value::is_object) => {
            if new.is_empty() {
                faults.push(format!("{path}: empty"));
            }
            // What all members had is what a member has to have.
            let mut all = held.iter().filter_map(Value::as_object);
            let mut common = all.next().cloned().unwrap_or_default();
            for other in all {
                common.retain(|key, _| other.contains_key(key));
            }
            let common = Value::Object(common);
            for (i, member) in new.iter().enumerate() {
                compare(
                    &under(path, &i.to_string()),
                    &under(pattern, "N"),
                    &common,
                    member,
                    faults,
                );
            }
            if NAMED.contains(&pattern) {
                names(path, new, faults);
            }
        }
        _ => {}
    }
}

fn members(
    path: &str,
    pattern: &str,
    held: &Map<String, Value>,
    new: &Map<String, Value>,
    faults: &mut Vec<String>,
) {
    for (key, held) in held {
        let (path, pattern) = (under(path, key), under(pattern, key));
        match new.get(key) {
            Some(new) => compare(&path, &pattern, held, new, faults),
            None if MAY_LACK.contains(&pattern.as_str()) => {}
            None => faults.push(format!("{path}: missing")),
        }
    }
}

fn names(path: &str, list: &[Value], faults: &mut Vec<String>) {
    let names: Vec<_> = list
        .iter()
        .map(|member| member.get("name").and_then(Value::as_str))
        .collect();
    for (i, name) in names.iter().enumerate() {
        match name {
            Some("") => faults.push(format!("{path}.{i}.name: empty")),
            Some(_) if names[..i].contains(name) => {
                faults.push(format!("{path}.{i}.name: given twice"));
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn sound() -> Value {
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
    fn whatever_is_lost_or_spoilt_is_named() {
        let held = sound();
        assert!(faults(&held, &held).is_empty());
        let mut other = held.clone();
        other["settings"]["categories"] = json!([{"name": "new", "hardLimitNs": 1}]);
        other["settings"]["zones"] = json!([]);
        other.as_object_mut().expect("an object").remove("known");
        assert!(
            faults(&held, &other).is_empty(),
            "classes come and go: {:?}",
            faults(&held, &other)
        );
        for (path, value, named) in [
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
            let mut broken = held.clone();
            *broken.pointer_mut(path).expect("it is there") = value;
            let faults = faults(&held, &broken);
            assert!(
                faults.first().is_some_and(|fault| fault.starts_with(named)),
                "{path}: {faults:?}"
            );
        }
    }
}
