//! Former names of keys and keywords are accepted with the meaning of the present ones.

use crate::folder::SETTINGS;
use quartzcleat_config::{Deployment, Faults};
use quartzcleat_expectations::{compile, suite};
use std::io;
use std::path::Path;

/// An installation that uses the present name of every renamed key.
const INSTALLATION: &str = "
zones: [room-a, room-b, room-c]
limiters: {limiter-a: room-a, limiter-b: room-b, limiter-c: room-c}
network: {same_zone: 230us, cross_zone: 610us, counter: 600us}
nodes:
  n1: {zone: room-a, cell: 1, uptime: 5s, queue_capacity: 40}
  n2: {zone: room-b, cell: 2}
  n3: {zone: room-c, cell: 3}
  n9: {zone: room-a, cell: 9, absent: true}
partners:
  Azib: {plan: guide}
  Neltner: {plan: operator}
facts:
  drain_grace: 1100ms
  max_attempts: 5
  slow_start: {initial_capacity: 16%, duration: 19s, overload_factor: 4, overload_duration: 1600ms}
  classes:
    bed-check: {repeats: idempotent, work: 180ms}
    bed-hold: {repeats: deduplicated by the zone, dedup_window: 5s, work: 110ms}
";

/// An expectation that uses the present name of every renamed key and keyword.
const EXPECTATION: &str = "
settings: settings.yaml
installation: installation.yaml
expectations:
  - name: every key
    given:
      network: {same_zone: 240us, cross_zone: 620us, counter: 500us}
      counter: {mode: rejecting, calls: [normal, request lost, rejected], call_duration: 2ms, shards: 3}
      attempts: [normal, rejected, connection refused, reset after execution, reset before execution, answer lost, request lost, late]
      retry: {after: 300ms, next_limiter: false}
    when:
      - {at: 0ms, request: bed-hold, from: Azib, units: [1, 3], count: 4, every: 20ms, timeout: 900ms}
      - {at: 10ms, request: bed-check, from: Neltner, mark: marked}
      - {at: 20ms, retry: marked, class: bed-check, from: Neltner}
      - {at: 30ms, crash: n1}
      - {at: 40ms, isolate: n2}
      - {at: 50ms, counter: rejecting}
      - {at: 60ms, discovery: notifying}
    must:
      - {executions: 1}
      - {concurrent_attempts: plans.operator.max_concurrent_attempts}
      - {forwarded: {at most: 30}}
      - {rejected: {at most: 31}}
      - {cross_zone_attempts: {at most: 60%}}
      - {retry_after: {at least: 1ms, at most: limits.max_retry_after}}
      - {attempts: 4, requests: first}
      - {attempts: 3, requests: retries}
      - {never: reaches a node in slow start}
      - {never: leaves its zone}
      - {never: reaches a node twice}
      - {never: is rejected}
      - {never: is rejected without retry_after}
      - {answered: classes.bed-hold.latency_objective}
";

/// Texts of the two files with present names, each with its former equivalent.
const RENAMED: [(&str, &str); 53] = [
    ("\nzones: [", "\nrooms: ["),
    ("\nnetwork: {", "\nnet: {"),
    ("same_zone: 230us", "same: 230us"),
    ("cross_zone: 610us", "cross: 610us"),
    ("n1: {zone: ", "n1: {room: "),
    ("uptime: ", "age: "),
    ("queue_capacity: ", "slots: "),
    ("drain_grace: ", "drain: "),
    ("max_attempts: 5", "attempts: 5"),
    ("slow_start: {", "cold: {"),
    ("initial_capacity: ", "from: "),
    (" duration: 19s", " warm: 19s"),
    ("overload_factor: ", "overload: "),
    ("overload_duration: ", "tip: "),
    ("repeats: idempotent", "repeats: safe"),
    ("deduplicated by all", "dropped by all"),
    ("deduplicated by the zone", "dropped by the room"),
    ("deduplicated by the cell", "dropped by the cell"),
    ("dedup_window: ", "window: "),
    ("      network: {", "      net: {"),
    ("same_zone: 240us", "same: 240us"),
    ("cross_zone: 620us", "cross: 620us"),
    ("mode: ", "is: "),
    ("mode: rejecting", "mode: refusing"),
    (
        "[normal, request lost, rejected]",
        "[normal, lost, rejected]",
    ),
    (
        "[normal, request lost, rejected]",
        "[normal, request lost, refused]",
    ),
    ("call_duration: ", "call: "),
    ("shards: ", "parts: "),
    ("[normal, rejected, connection", "[normal, busy, connection"),
    ("connection refused", "refused"),
    ("reset after execution", "reset after it ran"),
    ("reset before execution", "reset before it ran"),
    (
        "answer lost, request lost, late",
        "silent after it ran, request lost, late",
    ),
    (
        "answer lost, request lost, late",
        "answer lost, silent, late",
    ),
    ("next_limiter: ", "elsewhere: "),
    ("timeout: ", "wait: "),
    ("crash: ", "die: "),
    ("isolate: ", "vanish: "),
    ("counter: rejecting", "counter: refusing"),
    ("discovery: notifying", "discovery: tells"),
    ("{executions: ", "{runs: "),
    ("{concurrent_attempts: ", "{open: "),
    ("{forwarded: ", "{sent: "),
    ("{rejected: ", "{refused: "),
    ("{cross_zone_attempts: ", "{crossings: "),
    ("{retry_after: ", "{told: "),
    ("requests: first", "tries: first"),
    ("requests: retries", "requests: further"),
    ("reaches a node in slow start", "reaches a cold node"),
    ("leaves its zone", "leaves its room"),
    ("reaches a node twice", "meets a node twice"),
    ("is rejected}", "is refused}"),
    ("is rejected without retry_after", "is refused untold"),
];

/// Compiles the two files and returns the debug form of the result.
fn compiled(installation: &str, expectation: &str) -> Result<String, Faults> {
    let mut faults = Faults::default();
    let read_file = |path: &Path| match path.to_str() {
        Some("e.yaml") => Ok(expectation.to_owned()),
        Some("installation.yaml") => Ok(installation.to_owned()),
        _ => Err(io::ErrorKind::NotFound.into()),
    };
    let suite = suite::read_with(Path::new("e.yaml"), &read_file, &mut faults);
    let suite = suite.filter(|_| faults.is_empty()).ok_or(faults)?;
    let deployment = Deployment::read("settings.yaml", SETTINGS)?;
    let compiled = compile(&suite, &suite.expectations[0], &deployment)?;
    Ok(format!("{compiled:?}"))
}

#[test]
fn former_names_mean_the_same() {
    for repeats in ["all", "the zone", "the cell"] {
        let repeats = format!("deduplicated by {repeats}");
        let installation = INSTALLATION.replace("deduplicated by the zone", &repeats);
        let expected = compiled(&installation, EXPECTATION).expect("the files are valid");
        let mut all_former = (installation.clone(), EXPECTATION.to_owned());
        for (present, former) in RENAMED {
            let is_present = installation.contains(present) || EXPECTATION.contains(present);
            assert!(
                is_present || present.starts_with("deduplicated"),
                "{present}"
            );
            let replace = |text: &str| text.replace(present, former);
            assert_eq!(
                compiled(&replace(&installation), &replace(EXPECTATION)),
                Ok(expected.clone()),
                "{former}"
            );
            all_former = (replace(&all_former.0), replace(&all_former.1));
        }
        assert_eq!(compiled(&all_former.0, &all_former.1), Ok(expected));
    }
}
