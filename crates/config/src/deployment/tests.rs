//! Tests of reading deployments: units, setting names, and faults with their lines.

use super::*;

const DEPLOYMENT: &str = "\
balancers: 3
quantumNs: 4ms
zones: [room-a, room-b]
categories:
  - {name: bed-hold, effect: dedup, group: all, dedupWindowNs: 4s, onTimeNs: 1s, hardLimitNs: 4000000000}
contracts:
  - {name: guide, refill: 1.6, peakUnits: 8}
familyInfo: {counter: true, counterTimeoutNs: 30ms, unitsTop: 6}
limits: {sendCap: 4, retryAfter: true, maxRetryAfterNs: 1s}
safety: {drainGraceNs: 1s, coldFrom: 0.15, warmAfterNs: 18s, overloadFactor: 3}
";

#[test]
fn settings_are_read_with_units_and_lines() {
    let deployment = Deployment::read("day.yaml", DEPLOYMENT).expect("valid");
    assert_eq!(
        (
            deployment.settings.limiters.tick,
            deployment.settings.classes[0].deadline
        ),
        (4_000_000, 4_000_000_000)
    );
    assert_eq!(deployment.line("contracts.0.peakUnits"), 7);
}

#[test]
fn names_of_settings_are_resolved_and_misspelled_ones_are_corrected() {
    let deployment = Deployment::read("day.yaml", DEPLOYMENT).expect("valid");
    assert_eq!(
        deployment
            .resolve("plans.guide.burst")
            .map(|setting| setting.value),
        Ok(8.0)
    );
    assert!(deployment
        .resolve("plans.gide.burst")
        .expect_err("a misspelled plan")
        .to_string()
        .contains("guide"));
    assert!(
        deployment.resolve("classes.bed-hold.aims").is_err()
            && deployment.resolve("nothing").is_err()
    );
}

#[test]
fn settings_are_found_in_a_complete_configuration() {
    let deployment = Deployment::read("day.yaml", DEPLOYMENT).expect("valid");
    let complete = format!(
        "{{\"name\": \"n\", \"settings\": {}}}",
        deployment.tree.to_json()
    );
    assert_eq!(
        Deployment::read("config.json", &complete)
            .expect("valid")
            .settings
            .plans,
        deployment.settings.plans
    );
}

#[test]
fn all_faults_are_reported_with_their_lines() {
    let text = DEPLOYMENT
        .replace("4ms", "soon")
        .replace("refill: 1.6", "refil: 1.6")
        .replace("retryAfter: true", "retryAfter: si");
    let faults = Deployment::read("day.yaml", &text).expect_err("three faults");
    let lines: Vec<_> = faults
        .0
        .iter()
        .map(|fault| (fault.place.line, fault.key.as_str()))
        .collect();
    assert_eq!(
        lines,
        [
            (2, "quantumNs"),
            (7, "contracts.0.refil"),
            (9, "limits.retryAfter")
        ],
        "{faults}"
    );
}

#[test]
fn contradictions_are_faults() {
    for (from, to, key) in [
        ("onTimeNs: 1s", "onTimeNs: 9s", "categories.0.hardLimitNs"),
        ("dedupWindowNs: 4s, ", "", "categories.0.dedupWindowNs"),
        ("peakUnits: 8", "peakUnits: 5", "contracts.0.peakUnits"),
        ("sendCap: 4", "sendCap: 0", "limits.sendCap"),
        ("coldFrom: 0.15", "coldFrom: 15", "safety.coldFrom"),
    ] {
        let faults = Deployment::read("day.yaml", &DEPLOYMENT.replace(from, to)).expect_err(key);
        assert_eq!(faults.0[0].key, key, "{faults}");
    }
}

#[test]
fn changing_a_key_leaves_the_others() {
    let deployment = Deployment::read("day.yaml", DEPLOYMENT).expect("valid");
    let changed = deployment
        .with(&[Change::set("limits.sendCap", Content::Number(7.0))])
        .expect("valid");
    assert_eq!(
        (
            changed.settings.attempts.max_per_request,
            changed.settings.plans.len()
        ),
        (7, 1)
    );
    assert!(deployment
        .with(&[Change::remove("limits.sendCap")])
        .is_err());
}

/// The present and the former name of each renamed setting.
const RENAMED: [(&str, &str); 18] = [
    ("plans.guide.max_concurrent_attempts", "plans.guide.open"),
    ("plans.guide.weight", "plans.guide.worth"),
    ("plans.guide.over_quota_cost", "plans.guide.overrun"),
    ("plans.guide.over_quota_weight", "plans.guide.extra"),
    ("classes.bed-hold.latency_objective", "classes.bed-hold.aim"),
    ("classes.bed-hold.dedup_window", "classes.bed-hold.window"),
    ("classes.bed-hold.weight", "classes.bed-hold.worth"),
    ("classes.bed-hold.late_weight", "classes.bed-hold.late"),
    ("limits.max_attempts", "limits.attempts"),
    ("limits.max_requests_in_progress", "limits.open"),
    ("limits.max_retry_after", "limits.come-back"),
    ("limits.connect_timeout", "limits.connect"),
    ("safety.drain_grace", "safety.drain"),
    ("safety.slow_start_duration", "safety.warm"),
    ("safety.overload_duration", "safety.tip"),
    ("safety.initial_capacity", "safety.cold"),
    ("safety.overload_factor", "safety.overload"),
    ("units.max", "units.top"),
];

#[test]
fn pages_list_every_former_and_present_name_of_a_setting() {
    let changelog = include_str!("../../../../CHANGELOG.md");
    let page = include_str!("../../../../docs/expectations.md");
    for (present, former) in RENAMED {
        let name = |path: &'static str| path.rsplit('.').next().unwrap_or_default();
        for name in [name(present), name(former)] {
            assert!(
                changelog.contains(&format!("`{name}`")),
                "CHANGELOG.md: {name}"
            );
        }
        assert!(
            page.contains(name(present)),
            "docs/expectations.md: {present}"
        );
    }
}

#[test]
fn former_names_of_settings_are_accepted() {
    let deployment = Deployment::read("day.yaml", DEPLOYMENT).expect("valid");
    for (present, former) in RENAMED {
        let setting = deployment.resolve(present);
        assert!(setting.is_ok(), "{present}");
        assert_eq!(deployment.resolve(former), setting, "{former}");
    }
}
