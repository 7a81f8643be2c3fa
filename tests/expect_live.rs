//! A part of the expectations on loopback: real limiters with the fakes come to the verdicts of the simulation.

use std::process::Command;

fn live(only: &str) -> serde_json::Value {
    let ran = Command::new(env!("CARGO_BIN_EXE_quartzcleat"))
        .args([
            "expect",
            "--live",
            "--format",
            "json",
            "--only",
            only,
            "deploy/expectations",
        ])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .env_remove("QUARTZCLEAT_CONFIG")
        .output()
        .expect("the program runs");
    let text = String::from_utf8_lossy(&ran.stdout).into_owned();
    assert!(
        ran.status.success(),
        "{only}: {text}\n{}",
        String::from_utf8_lossy(&ran.stderr)
    );
    serde_json::from_str(&text).expect("JSON")
}

/// A drain through a late list, a counter that loses calls, and keys through broken connections.
#[test]
fn live_limiters_do_what_the_simulation_says() {
    for (only, plays) in [
        ("a drain told while a counter call is out", 3),
        ("a bed-hold that may have run is run once", 3),
        ("lost calls to the counter lose no request", 3),
        ("a limiter that starts again keeps off", 1),
        ("a node replaced at its address gets requests", 2),
    ] {
        let report = live(only);
        let compared = report["compared"].as_array().expect("a list");
        assert_eq!(compared.len(), plays, "{only}");
        for one in compared {
            assert!(one["live"]["asked"].as_u64() > Some(0), "{one}");
            assert_eq!(one["world"]["asked"], one["live"]["asked"], "{one}");
        }
    }
}
