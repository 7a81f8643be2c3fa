//! Tests of writing scenarios, reading them back, and former names of keys.

use super::Scenario;
use std::time::Duration;

/// Written times are rounded, so they are compared with a tolerance of 5 ms.
#[test]
fn written_schedule_reads_as_the_same_scenario() {
    let text = include_str!("../../../../deploy/trials/leases.yaml");
    let scenario = Scenario::read("leases.yaml", text)
        .expect("the scenario is valid")
        .with_schedule_of(7);
    let again =
        Scenario::read("again.yaml", &scenario.write()).expect("written scenarios are valid");
    assert_eq!(
        (again.faults.len(), again.random_faults, again.links),
        (4, 0, scenario.links)
    );
    for (fault, other) in scenario.faults.iter().zip(&again.faults) {
        assert_eq!((fault.kind, fault.target), (other.kind, other.target));
        assert!(
            fault.at.abs_diff(other.at) < Duration::from_millis(5),
            "{fault:?} and {other:?}"
        );
    }
}

const SCENARIO: &str = "\
limiters: 5
acceptors: 3
lease_duration: 700ms
every: 30ms
max_operation_duration: 90ms
loss: 4%
duplication: 3%
delay: 15ms
drift: 2.1%
clock_drift: 2%
clock_offset: 1h
generated_faults: 2
end: 9s
required_holder_changes: 4
faults:
  - {at: 1s, target: any, fault: pause, duration: 800ms}
";

/// Each present key, with its former name.
const RENAMED: [(&str, &str); 11] = [
    ("acceptors", "voters"),
    ("lease_duration", "lease"),
    ("max_operation_duration", "longest"),
    ("duplication", "twice"),
    ("clock_drift", "apart"),
    ("clock_offset", "off"),
    ("generated_faults", "drawn"),
    ("required_holder_changes", "changes"),
    (" target", " whom"),
    (" fault", " what"),
    (" duration", " lasts"),
];

#[test]
fn pages_list_every_former_and_present_key() {
    let changelog = include_str!("../../../../CHANGELOG.md");
    let page = include_str!("../../../../docs/trials.md");
    for (present, former) in RENAMED {
        let quoted = |key: &str| format!("`{}`", key.trim());
        for key in [present, former] {
            assert!(changelog.contains(&quoted(key)), "CHANGELOG.md: {key}");
        }
        assert!(page.contains(&quoted(present)), "docs/trials.md: {present}");
    }
}

#[test]
fn former_names_of_keys_are_accepted() {
    let scenario = Scenario::read("present.yaml", SCENARIO).expect("the scenario is valid");
    let mut all_former = SCENARIO.to_owned();
    for (present, former) in RENAMED {
        let (present, former) = (format!("{present}:"), format!("{former}:"));
        assert_eq!(SCENARIO.matches(&present).count(), 1, "{present}");
        let text = SCENARIO.replace(&present, &former);
        assert_eq!(
            Scenario::read("former.yaml", &text),
            Ok(scenario.clone()),
            "{former}"
        );
        all_former = all_former.replace(&present, &former);
    }
    assert_eq!(Scenario::read("former.yaml", &all_former), Ok(scenario));
}
