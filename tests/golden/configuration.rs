//! The keys of the platform's configuration and of our own file: what a key that is missing, unknown or of a wrong
//! type leads to, as `quartzcleat check` reports it.

use crate::{assert_golden, LIMITER};
use serde_json::{json, Value};
use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::Command;

const EXAMPLE: &str = include_str!("../../examples/toy.json");
const OWN: &str = include_str!("../../deploy/quartzcleat.yaml");

/// Every key of the platform's configuration that is read, with or without a line in the example.
const KEYS: &[&str] = &[
    "name",
    "listen",
    "discovery",
    "counter",
    "console",
    "seed",
    "limits/sockets",
    "limits/memory_mb",
    "settings",
    "settings/balancers",
    "settings/me",
    "settings/zone",
    "settings/zones",
    "settings/kinds",
    "settings/quantumNs",
    "settings/registryMode",
    "settings/stats/how",
    "settings/familyInfo/counter",
    "settings/familyInfo/counterTimeoutNs",
    "settings/familyInfo/callPrice",
    "settings/familyInfo/costAfter",
    "settings/familyInfo/unitsTop",
    "settings/limits/mayCancel",
    "settings/limits/probing",
    "settings/limits/peers",
    "settings/limits/secondCopies",
    "settings/limits/retryAfter",
    "settings/limits/maxRetryAfterNs",
    "settings/limits/sendCap",
    "settings/limits/openCap",
    "settings/limits/connectTimeoutNs",
    "settings/limits/connIdleNs",
    "settings/safety/graceToAnswerNs",
    "settings/safety/drainGraceNs",
    "settings/safety/coldFrom",
    "settings/safety/warmAfterNs",
    "settings/safety/overloadFactor",
    "settings/safety/tipAfterNs",
    "settings/charges/crossZone",
    "settings/charges/waste",
    "settings/charges/lateFail",
    "settings/charges/probe",
    "settings/categories/0/name",
    "settings/categories/0/effect",
    "settings/categories/0/group",
    "settings/categories/0/dedupWindowNs",
    "settings/categories/0/onTimeNs",
    "settings/categories/0/aimStretch",
    "settings/categories/0/hardLimitNs",
    "settings/categories/0/importance",
    "settings/categories/0/lateWorth",
    "settings/categories/0/stream",
    "settings/contracts/0/name",
    "settings/contracts/0/refill",
    "settings/contracts/0/peakUnits",
    "settings/contracts/0/concurrency",
    "settings/contracts/0/worthFactor",
    "settings/contracts/0/extraWorth",
    "settings/contracts/0/overrunCost",
    "settings/contracts/0/ceilingRate",
    "settings/contracts/0/capDepth",
    "settings/contracts/0/capSlack",
];

/// Puts a value in the place of the one at a path, or takes it out.
fn change(file: &mut Value, path: &str, value: Option<Value>) {
    let (parent, key) = path.rsplit_once('/').unwrap_or(("", path));
    let pointer = if parent.is_empty() {
        String::new()
    } else {
        format!("/{parent}")
    };
    if file.pointer(&pointer).is_none() {
        change(file, parent, Some(json!({})));
    }
    let parent = file
        .pointer_mut(&pointer)
        .and_then(Value::as_object_mut)
        .expect("a map");
    match value {
        Some(value) => parent.insert(key.to_owned(), value),
        None => parent.remove(key),
    };
}

/// The report of `check` on a file: its exit code and text, in which the file's path is masked.
fn check(name: &str, text: &str, own: bool, variables: &[(&str, &str)]) -> String {
    let path: PathBuf = std::env::temp_dir().join(format!("golden-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    let mut command = Command::new(LIMITER);
    for variable in [
        "CONFIG",
        "NAME",
        "LISTEN",
        "DISCOVERY",
        "COUNTER",
        "CONSOLE",
    ] {
        command.env_remove(format!("BALANCER_{variable}"));
    }
    command
        .env_remove("QUARTZCLEAT_CONFIG")
        .envs(variables.iter().copied())
        .arg("check");
    let command = if own {
        command.arg("--config").arg(&path)
    } else {
        command.arg(&path)
    };
    let output = command.output().expect("the limiter runs");
    std::fs::remove_file(&path).expect("the file is removed");
    let report =
        String::from_utf8_lossy(&output.stdout).replace(&path.display().to_string(), "FILE");
    format!("{:?} {}", output.status.code(), report.trim_end())
}

#[test]
fn every_key_of_the_platform_is_read_by_its_name() {
    let example: Value = serde_json::from_str(EXAMPLE).expect("JSON");
    let mut reports = String::new();
    for (number, key) in KEYS.iter().enumerate() {
        for value in [
            None,
            Some(json!("x")),
            Some(json!(-1.5)),
            Some(json!({"x": 1})),
            Some(json!(true)),
        ] {
            let mut file = example.clone();
            change(&mut file, key, value.clone());
            let name = format!("platform-{number}.json");
            let answer = check(&name, &file.to_string(), false, &[]);
            writeln!(reports, "{key} = {value:?} => {answer}").expect("text");
        }
    }
    assert_golden("messages-platform-keys.txt", &reports);
}

#[test]
fn every_variable_is_read_by_its_name() {
    let mut reports = String::new();
    for name in ["NAME", "LISTEN", "DISCOVERY", "COUNTER", "CONSOLE"] {
        let variable = format!("BALANCER_{name}");
        let answer = check(
            &format!("variable-{name}.json"),
            EXAMPLE,
            false,
            &[(&variable, "x")],
        );
        writeln!(reports, "{variable} = x => {answer}").expect("text");
    }
    assert_golden("messages-variables.txt", &reports);
}

const LEASE: &str = "tally: 1s
lease:
  me: a
  key: k
  length: 2s
  drift: 1%
  die: {at: batch-cut, after: 1}
  clock: {fast: 1%, slow: 0%, ahead: 1s, behind: 0s}
  limiters: {a: '127.0.0.1:1', b: '127.0.0.1:2', c: '127.0.0.1:3'}
  voters: [a, b, c]
  tasks:
    - {name: beat, target: '127.0.0.1:9', every: 1s, longest: 100ms}
    - {name: use, export: {spool: s, sink: k}}
";
/// Every key of our own file.
const OWN_KEYS: &[&str] = &[
    "log", "filter", "form", "window", "burst", "tally", "lease", "me", "key", "length", "drift",
    "die", "at", "after", "clock", "fast", "slow", "ahead", "behind", "limiters", "voters",
    "tasks", "name", "target", "every", "longest", "export", "spool", "sink",
];

#[test]
fn every_key_of_our_own_file_is_read_and_its_neighbour_is_not() {
    let whole = format!("{OWN}{LEASE}");
    let mut reports = format!("whole => {}\n", check("own.yaml", &whole, true, &[]));
    for key in OWN_KEYS {
        // The first place where the word is a key: at a line's start, or behind a brace, a dash or a comma.
        let places = ["\n", "\n  ", "\n    ", "{", ", ", "- {", "- "]
            .map(|before| (before, format!("{before}{key}:")));
        let (before, found) = places
            .iter()
            .find(|(_, text)| whole.contains(text.as_str()))
            .expect("a key");
        let text = whole.replacen(found.as_str(), &format!("{before}{key}x:"), 1);
        writeln!(
            reports,
            "{key}x => {}",
            check(&format!("own-{key}.yaml"), &text, true, &[])
        )
        .expect("text");
    }
    assert_golden("messages-own-keys.txt", &reports);
}
