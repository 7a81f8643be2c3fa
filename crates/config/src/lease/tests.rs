//! Tests of the section `lease`.

use super::{LeaseConfig, TaskAction};
use crate::ProductConfig;

const VALID: &str = "lease:\n  limiter: a\n  key: k\n  duration: 2s\n  drift: 1%\n  limiters:\n    a: 127.0.0.1:1\n    b: 127.0.0.1:2\n    c: 127.0.0.1:3\n  acceptors: [a, b, c]\n  tasks:\n    - name: beat\n      target: 127.0.0.1:9\n";

fn read_lease(text: &str) -> LeaseConfig {
    ProductConfig::read("q.yaml", text)
        .expect("the file is valid")
        .lease
        .expect("the section is there")
}

#[test]
fn valid_section_is_read() {
    let lease = read_lease(VALID);
    assert_eq!(
        (
            lease.acceptors.len(),
            lease.drift_per_mille,
            lease.tasks[0].name.as_str()
        ),
        (3, 10, "beat")
    );
}

#[test]
fn section_is_optional() {
    let without =
        ProductConfig::read("q.yaml", "metrics_interval: 1s\n").expect("the file is valid");
    assert_eq!(without.lease, None);
}

#[test]
fn task_that_exports_usage_has_a_spool_and_a_sink() {
    let export = VALID.replace("target: 127.0.0.1:9", "export: {spool: /s, sink: /k}");
    assert_eq!(
        read_lease(&export).tasks[0].action,
        TaskAction::ExportUsage {
            spool: "/s".into(),
            sink: "/k".into()
        }
    );
}

#[test]
fn clock_fault_adds_up_its_directions() {
    let wrong = VALID.replace("2s", "2s\n  clock: {slow: 1.2%, ahead: 1s, behind: 3s}");
    let clock = read_lease(&wrong).clock_fault;
    assert_eq!(
        (clock.rate_error_per_mille, clock.wall_clock_offset_nanos),
        (-12, -2_000_000_000)
    );
}

/// A fragment of [`VALID`], its replacement, and a part of the resulting fault.
const INVALID: [(&str, &str, &str); 21] = [
    (
        "[a, b, c]",
        "[a, b]",
        "q.yaml:10: lease.acceptors: 2 acceptors; an odd number",
    ),
    ("[a, b, c]", "[]", "q.yaml:10: lease.acceptors: 0 acceptors"),
    (
        "[a, b, c]",
        "[a, b, b]",
        "q.yaml:10: lease.acceptors: duplicate name \"b\"",
    ),
    (
        "[a, b, c]",
        "[a, b, x]",
        "q.yaml:10: lease.acceptors: \"x\" is not one of lease.limiters",
    ),
    (
        "limiter: a",
        "limiter: z",
        "q.yaml:2: lease.limiter: \"z\" is not one of lease.limiters",
    ),
    (
        "2s",
        "20ms",
        "q.yaml:4: lease.duration: must be from 100ms",
    ),
    (
        "1%",
        "30%",
        "q.yaml:5: lease.drift: a clock drift above 20%",
    ),
    (
        "0.1:2",
        "0.1:1",
        "q.yaml:7: lease.limiters: b (line 8): 127.0.0.1:1 is already the address of another limiter",
    ),
    (
        "target: 127.0.0.1:9",
        "every: 1s",
        "q.yaml:12: lease.tasks.name: a task needs a target",
    ),
    (
        "0.1:9",
        "0.1:9\n      export: {spool: s, sink: k}",
        "lease.tasks.export: a task cannot have both a target and an export",
    ),
    (
        "target: 127.0.0.1:9",
        "export: {spool: s}",
        "lease.tasks.export.sink",
    ),
    (
        "2s",
        "2s\n  crash: {at: noon}",
        "q.yaml:5: lease.crash.at: unknown value \"noon\"",
    ),
    (
        "0.1:9",
        "0.1",
        "q.yaml:13: lease.tasks.target: \"127.0.0.1\" is not a socket address",
    ),
    (
        "limiter: a",
        "limitter: a",
        "q.yaml:2: lease.limitter: unknown key; did you mean limiter?",
    ),
    (
        "2s",
        "2s\n  clock: {fast: 30%}",
        "q.yaml:5: lease.clock.fast: the injected clock rate error must not exceed 20%",
    ),
    (
        "2s",
        "300ms",
        "q.yaml:11: lease.tasks: max_operation_duration of \"beat\" is more than half of the lease duration",
    ),
    (
        "      target: 127.0.0.1:9\n",
        "      target: 127.0.0.1:9\n    - {name: beat, target: 127.0.0.1:9}\n",
        "q.yaml:11: lease.tasks: duplicate name \"beat\"",
    ),
    (
        "name: beat",
        "name: be at",
        "q.yaml:12: lease.tasks.name: a task name must consist of 1 to 64 visible ASCII characters",
    ),
    (
        "  limiters:\n    a: 127.0.0.1:1\n    b: 127.0.0.1:2\n    c: 127.0.0.1:3\n",
        "  limiters: [a]\n",
        "q.yaml:6: lease.limiters: not a map; write name: address lines",
    ),
    (
        "0.1:2",
        "0.1",
        "q.yaml:7: lease.limiters: b (line 8): \"127.0.0.1\" is not a socket address; write one such as 10.1.0.7:7201",
    ),
    (
        "0.1:9",
        "0.1:9\n      every: 0s",
        "q.yaml:14: lease.tasks.every: every and max_operation_duration must not be 0",
    ),
];

#[test]
fn invalid_values_are_rejected_with_their_line() {
    for (from, to, expected) in INVALID {
        assert!(VALID.contains(from));
        let faults = ProductConfig::read("q.yaml", &VALID.replace(from, to))
            .expect_err("the file is invalid")
            .to_string();
        assert!(faults.contains(expected), "{expected}\nnot in\n{faults}");
    }
}

/// A line with a present key, from [`VALID`] or added to it, and the same line with the former key.
const RENAMED: [(&str, &str); 5] = [
    ("  limiter: a\n", "  me: a\n"),
    ("  duration: 2s\n", "  length: 2s\n"),
    ("  acceptors: [a, b, c]\n", "  voters: [a, b, c]\n"),
    (
        "  crash: {at: batch-cut, after: 3}\n",
        "  die: {at: batch-cut, after: 3}\n",
    ),
    (
        "      max_operation_duration: 90ms\n",
        "      longest: 90ms\n",
    ),
];

#[test]
fn pages_list_every_former_and_present_key() {
    let changelog = include_str!("../../../../CHANGELOG.md");
    let page = include_str!("../../../../docs/leases.md");
    for (present, former) in RENAMED {
        let key = |text: &'static str| text.trim().split(':').next().unwrap_or_default();
        for key in [key(present), key(former)] {
            let is_listed = ["`lease.", "`"]
                .iter()
                .any(|prefix| changelog.contains(&format!("{prefix}{key}`")));
            assert!(is_listed, "CHANGELOG.md: {key}");
        }
        // The scheduled crash is for tests only and documented in docs/trials.md.
        let is_explained = page.contains(key(present)) || key(present) == "crash";
        assert!(is_explained, "docs/leases.md: {present}");
    }
}

#[test]
fn former_names_of_keys_are_accepted() {
    let complete = VALID.replace(
        "  key: k\n",
        "  key: k\n  crash: {at: batch-cut, after: 3}\n",
    ) + "      max_operation_duration: 90ms\n";
    let lease = read_lease(&complete);
    assert!(lease.scheduled_crash.is_some());
    assert_eq!(lease.tasks[0].max_operation_duration.as_millis(), 90);
    let mut all_former = complete.clone();
    for (present, former) in RENAMED {
        assert!(complete.contains(present), "{present}");
        assert_eq!(
            read_lease(&complete.replace(present, former)),
            lease,
            "{former}"
        );
        all_former = all_former.replace(present, former);
    }
    assert_eq!(read_lease(&all_former), lease);
}
