//! Lease tests with three limiter processes on faulty links. Each run's recorded history is checked for overlapping
//! holders.

use quartzcleat_fault_injection::{judge, run, Scenario, Testbed, Verdict};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Three limiters with leases of 400 ms, on links that lose 5% of the datagrams, duplicate 5% and delay each by up to
/// 10 ms.
const LINKS: &str = "limiters: 3\nvoters: 3\nlease: 400ms\nloss: 5%\ntwice: 5%\ndelay: 10ms\n";

const PROGRAM: &str = env!("CARGO_BIN_EXE_quartzcleat");

const PLATFORM_CONFIG: &str = include_str!("../examples/toy.json");

fn temporary_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("quartzcleat-{name}-{}", std::process::id()))
}

/// Runs a scenario with this build's program. Asserts that the verdict holds and that the lease changed hands at least
/// as often as the scenario requires.
fn run_scenario(text: &str, seed: u64) -> Verdict {
    let scenario = Scenario::read("scenario.yaml", text).expect("the scenario is valid");
    let folder = temporary_folder(&format!("trial-{seed}"));
    let testbed = Testbed {
        program: PathBuf::from(PROGRAM),
        beside: None,
        platform: PLATFORM_CONFIG.to_owned(),
        folder: folder.clone(),
        checks: true,
    };
    let report = run(&scenario, seed, &testbed).expect("the scenario runs");
    // Best effort: a leftover folder does not affect the result.
    let _ = std::fs::remove_dir_all(&folder);
    let verdict = judge(&report.seen, &report.marks);
    assert!(verdict.holds(), "seed {seed}: {verdict:?}");
    assert!(
        verdict.changes >= scenario.changes,
        "seed {seed}: too few changes of the holder, {verdict:?}"
    );
    verdict
}

#[test]
fn another_limiter_takes_over_from_a_paused_holder_without_overlap() {
    let faults = "faults:\n  - {at: 2s, what: pause, lasts: 1500ms}\n  - {at: 5s, what: pause, lasts: 1500ms}\nend: 8s\n";
    let verdict = run_scenario(&format!("{LINKS}{faults}changes: 2\n"), 1);
    assert!(verdict.while_paused >= 2, "{verdict:?}");
}

#[test]
fn isolated_holder_stops_before_another_begins_and_a_terminating_holder_releases() {
    let faults =
        "faults:\n  - {at: 2s, what: cut, lasts: 1500ms}\n  - {at: 5s, what: end, lasts: 100ms}\nend: 8s\n";
    run_scenario(&format!("{LINKS}{faults}changes: 2\n"), 2);
}

/// Runs the program with a section `lease` in its product configuration until it exits by itself.
fn start_with_lease_section(folder: &Path, section: &str) -> Output {
    let product_config = folder.join("q.yaml");
    let platform_config = folder.join("toy.json");
    std::fs::write(&platform_config, PLATFORM_CONFIG).expect("the configuration is written");
    std::fs::write(&product_config, section).expect("the configuration is written");
    Command::new(PROGRAM)
        .env("BALANCER_CONFIG", &platform_config)
        .env("QUARTZCLEAT_CONFIG", &product_config)
        .output()
        .expect("the program starts")
}

#[test]
fn program_exits_with_the_reason_if_leases_cannot_start() {
    let folder = temporary_folder("lease");
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let key = folder.join("key").display().to_string();
    std::fs::write(&key, "secret").expect("the key is written");
    let empty_key = folder.join("empty").display().to_string();
    std::fs::write(&empty_key, "").expect("the key is written");
    let section = |key: &str, address: &str| {
        format!("lease:\n  me: a\n  key: {key}\n  limiters: {{a: \"{address}\"}}\n  voters: [a]\n")
    };
    let export = format!("  tasks: [{{name: use, export: {{spool: {key}, sink: s}}}}]\n");
    for (section, reason) in [
        (
            // Addresses reserved for documentation (RFC 5737) are not assigned to any machine.
            section(&key, "192.0.2.1:7201"),
            "lease.limiters.a: cannot listen on 192.0.2.1:7201: ".to_owned(),
        ),
        (
            section("/nowhere/key", "127.0.0.1:0"),
            "lease.key: cannot read /nowhere/key: ".to_owned(),
        ),
        (
            section(&empty_key, "127.0.0.1:0"),
            format!("lease.key: {empty_key} is empty; write random bytes to it"),
        ),
        (
            section(&key, "127.0.0.1:0") + &export,
            format!("lease.tasks.export.spool: cannot open a spool in {key}: "),
        ),
    ] {
        let output = start_with_lease_section(&folder, &section);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains(&reason),
            "{reason}\nnot in\n{stderr}"
        );
    }
    // Best effort: a leftover folder does not affect the result.
    let _ = std::fs::remove_dir_all(&folder);
}
