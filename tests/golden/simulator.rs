//! The simulator's protocol: every message, and every decode error.

use crate::{assert_golden, data, SIMULATOR, SIMULATOR_NAME};
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(SIMULATOR)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the simulator starts");
    let mut stdin = child.stdin.take().expect("a pipe");
    // The program may end before it has read all of a malformed input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("the simulator ends")
}

#[test]
fn every_message_gets_its_exact_reply() {
    let input = File::open(data("wire-simulator.in")).expect("the script is there");
    let output = Command::new(SIMULATOR)
        .stdin(input)
        .output()
        .expect("the simulator runs");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_golden(
        "wire-simulator.out",
        &String::from_utf8_lossy(&output.stdout),
    );
}

/// Lines of a batch, fields separated by blanks; each is decoded behind a running instance.
const MALFORMED: &[&str] = &[
    "TICK x",
    "TICK",
    "TICK 2",
    "ON",
    "SHUTDOWN\nSHUTDOWN\nDROPPED 0000000000000001",
    "NEW_INSTANCE",
    "NEW_INSTANCE x",
    "NEW_INSTANCE 1 pair",
    "NEW_INSTANCE 1 balancers=x",
    "NEW_INSTANCE 1 stats.how=x",
    "NEW_INSTANCE 1 registryMode=x",
    "NEW_INSTANCE 1 charges.waste=inf",
    "NEW_INSTANCE 1 limits.mayCancel=1",
    "NEW_INSTANCE 1 categories.count=5000",
    "NEW_INSTANCE 1 categories.count=1 categories.0.effect=x",
    "NEW_INSTANCE 1 categories.count=1 categories.0.group=x",
    "CENSUS x 1",
    "CENSUS 1",
    "CENSUS 1 x",
    "CENSUS 1 1\nFLEET 1 1 replace",
    "CENSUS 1 1\nROW X",
    "CENSUS 1 1\nROW U x",
    "CENSUS 1 1\nROW U 0 x",
    "CENSUS 1 1\nROW U 0 0 x",
    "CENSUS 1 1\nROW U 0 0 1 x",
    "CENSUS 1 1\nROW U 0 0 1 0 x",
    "CENSUS 1 1\nROW U 0 0 1 0 0 x",
    "CENSUS 1 1\nROW U 0 0 1 0 0 inf",
    "ROW U 0 0 1 0 0 1",
    "FLEET x",
    "FLEET 1 x",
    "FLEET 1 7 x",
    "FLEET 1 7 replace",
    "DEMAND 1",
    "DEMAND 000000000000000G",
    "DEMAND 0000000000000001 x",
    "DEMAND 0000000000000001 1 x",
    "DEMAND 0000000000000001 1 1 x",
    "DEMAND 0000000000000001 1 1 1 x",
    "DEMAND 0000000000000001 1 1 1 1 x",
    "DEMAND 0000000000000001 1 1 1 1 1 x",
    "DEMAND 0000000000000001 1 1 1 1 1 0 x",
    "DEMAND 0000000000000001 1 1 1 1 1 0 0 x",
    "STREAMING 1",
    "STREAMING 0000000000000001 x",
    "STREAMING 0000000000000001 1 x",
    "STREAMING 0000000000000001 1 0 x",
    "RESULT 1",
    "RESULT 0000000000000001 x",
    "RESULT 0000000000000001 0 x",
    "RESULT 0000000000000001 0 1 x",
    "RESULT 0000000000000001 0 1 GOOD x",
    "RESULT 0000000000000001 0 1 GOOD 1 x",
    "RESULT 0000000000000001 0 1 GOOD 1 1 x",
    "RESULT 0000000000000001 0 1 GOOD 1 1 1 x",
    "RESULT 0000000000000001 0 1 GOOD 1 1 1 1 x",
    "DROPPED 1",
    "ELAPSED",
    "PROBE_RESULT x",
    "PROBE_RESULT 1 x",
    "PROBE_RESULT 1 GOOD x",
    "PROBE_RESULT 1 GOOD 1 x:y",
    "MEMO x",
    "MEMO 1 ?",
    "RECKONED",
    "RECKONED q x",
    "RECKONED q GOOD x",
    "RECKONED q GOOD 1 x",
    "HELLO",
];

/// The place of each error and the exit code are a protocol; the texts are for people.
#[test]
fn every_malformed_line_ends_the_program_and_is_named() {
    let (mut places, mut messages) = (String::new(), String::new());
    let wrapped = MALFORMED
        .iter()
        .map(|case| format!("TICK 1\nON a\nNEW_INSTANCE 1\n{case}\n"));
    let bare = [
        "ON a\n",
        "TICK 1\n",
        "TICK 1\nDROPPED 0000000000000001\n",
        "TICK 1\nON a\nMEMO 1 -\n",
    ];
    for input in wrapped.chain(bare.map(str::to_owned)) {
        let output = run(&input.replace(' ', "\t"));
        let error = String::from_utf8_lossy(&output.stderr).replacen(SIMULATOR_NAME, "PROGRAM", 1);
        let place: String = error.trim_end().splitn(4, ": ").skip(1).take(1).collect();
        let case = input.escape_debug();
        writeln!(
            places,
            "{case} => {place}, exit code {:?}",
            output.status.code()
        )
        .expect("text");
        writeln!(messages, "{case} => {}", error.trim_end()).expect("text");
    }
    assert_golden("wire-simulator-errors.txt", &places);
    assert_golden("messages-simulator.txt", &messages);
}
