//! Leases at work: three processes of the program on links with faults, one history, one verdict.

use quartzcleat_fault_injection::{judge, play, Ground, Story, Verdict};
use std::path::PathBuf;

/// Plays a story with one seed; the program is this build's.
fn played(story: &str, seed: u64) -> Verdict {
    let story = Story::read("story.yaml", story).expect("the story is sound");
    let folder =
        std::env::temp_dir().join(format!("quartzcleat-trial-{}-{seed}", std::process::id()));
    let ground = Ground {
        program: PathBuf::from(env!("CARGO_BIN_EXE_quartzcleat")),
        beside: None,
        platform: include_str!("../examples/toy.json").to_owned(),
        folder: folder.clone(),
        checks: true,
    };
    let played = play(&story, seed, &ground).expect("the trial is played");
    let _ = std::fs::remove_dir_all(&folder);
    let verdict = judge(&played.seen, &played.marks);
    assert!(verdict.holds(), "seed {seed}: {verdict:?}");
    assert!(
        verdict.changes >= story.changes,
        "seed {seed}: empty, {verdict:?}"
    );
    verdict
}

const LINKS: &str = "limiters: 3\nvoters: 3\nlease: 400ms\nloss: 5%\ntwice: 5%\ndelay: 10ms\n";

#[test]
fn another_limiter_acts_while_the_holder_is_paused_and_the_paused_one_does_no_harm() {
    let faults = "faults:\n  - {at: 2s, what: pause, lasts: 1500ms}\n  - {at: 5s, what: pause, lasts: 1500ms}\nend: 8s\n";
    let verdict = played(&format!("{LINKS}{faults}changes: 2\n"), 1);
    assert!(verdict.while_paused >= 2, "{verdict:?}");
}

#[test]
fn a_holder_that_is_cut_off_stops_before_another_begins_and_one_that_ends_hands_over() {
    let faults =
        "faults:\n  - {at: 2s, what: cut, lasts: 1500ms}\n  - {at: 5s, what: end, lasts: 100ms}\nend: 8s\n";
    played(&format!("{LINKS}{faults}changes: 2\n"), 2);
}

#[test]
fn a_lease_section_that_cannot_hold_stops_the_program_at_its_start() {
    let folder = std::env::temp_dir().join(format!("quartzcleat-lease-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder is made");
    let (ours, platform) = (folder.join("q.yaml"), folder.join("toy.json"));
    let text = include_str!("../examples/toy.json");
    std::fs::write(&platform, text).expect("the configuration is written");
    let section = |key: &str, own: &str| {
        format!("lease:\n  me: a\n  key: {key}\n  limiters: {{a: \"{own}\"}}\n  voters: [a]\n")
    };
    let key = folder.join("key").display().to_string();
    std::fs::write(&key, "secret").expect("the key is written");
    // An address of documentation's (RFC 5737) is no machine's.
    for (section, told) in [
        (
            section(&key, "192.0.2.1:7201"),
            "lease.limiters.a: cannot listen on 192.0.2.1:7201",
        ),
        (
            section("/nowhere/key", "127.0.0.1:0"),
            "lease.key: cannot read /nowhere/key",
        ),
    ] {
        std::fs::write(&ours, section).expect("our file is written");
        let ended = std::process::Command::new(env!("CARGO_BIN_EXE_quartzcleat"))
            .env("BALANCER_CONFIG", &platform)
            .env("QUARTZCLEAT_CONFIG", &ours)
            .output()
            .expect("the program starts");
        let said = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(
            !ended.status.success() && said.contains(told),
            "{told}\nnot in\n{said}"
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}
