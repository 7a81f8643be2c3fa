//! `quartzcleat-sim` as a process: replies on standard output, messages and a non-zero exit on malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quartzcleat-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts");
    // The process may stop reading at the first malformed line, so a failed write is no failure of the test.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the process ends")
}

const START: &str =
    "TICK\t1000\nON\tgateway-0\nNEW_INSTANCE\t7\tbalancers=1\tsome.new.key=x\tquantumNs=4000000\n";

#[test]
fn an_empty_batch_is_answered() {
    let output = run(b"TICK\t8412250000\nEOF_BATCH\n\n");
    assert_eq!(
        (output.status.success(), output.stdout.as_slice()),
        (true, b"ACK\n".as_slice())
    );
}

#[test]
fn a_request_without_hosts_is_held_and_refused_in_time() {
    let demand = "DEMAND\t218516d35d3a91c4\t0\t4569\t240000000\t2\t3\t0\t1\t1\nEOF_BATCH\n";
    let later = "TICK\t236001000\nON\tgateway-0\nELAPSED\tdeadline:218516d35d3a91c4\nEOF_BATCH\n";
    let output = run(format!("{START}{demand}{later}").as_bytes());
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(
        text.contains("WAKE_ME\tdeadline:218516d35d3a91c4\t236000000\n"),
        "{text}"
    );
    assert!(
        text.ends_with("BY\tgateway-0\nPUSH_BACK\t218516d35d3a91c4\t0\nACK\n"),
        "{text}"
    );
}

#[test]
fn timers_with_unknown_tags_are_ignored() {
    for tag in [
        "no such timer",
        "deadline",
        "deadline:xyz",
        "late:",
        "wait:-1",
        "held:1",
        "sweep:2",
        "watch:3",
        "",
    ] {
        let fired = format!("TICK\t2000\nON\tgateway-0\nELAPSED\t{tag}\nEOF_BATCH\n");
        let output = run(format!("{START}EOF_BATCH\n{fired}{fired}").as_bytes());
        let text = String::from_utf8(output.stdout).expect("text");
        let first = "BY\tgateway-0\nWAKE_ME\tsweep\t1000000000\n";
        assert_eq!(text, format!("ACK\n{first}ACK\nACK\n"), "{tag:?}");
        assert!(output.status.success());
    }
}

#[test]
fn malformed_input_is_named_and_ends_the_adapter() {
    for (input, message) in [
        ("EOF_BATCH\n", "line 1, field name: expected TICK"),
        (
            "TICK\t1\nNONSENSE\n",
            "line 2, field name of NONSENSE: unknown message",
        ),
        (
            "TICK\t1\nDROPPED\t218516d35d3a91c4\n",
            "line 2, field name: no running instance",
        ),
        (
            "TICK\t1\nON\tgateway-0\nNEW_INSTANCE\t7\tme=many\n",
            "line 3, field me of profileData",
        ),
        (
            "TICK\t1\nTICK\t2\n",
            "line 2, field name: TICK inside a batch",
        ),
        ("TICK\t1\n", "input ends inside a batch"),
    ] {
        let output = run(input.as_bytes());
        let error = String::from_utf8(output.stderr).expect("text");
        assert!(
            !output.status.success() && error.contains(message),
            "{input:?}: {error}"
        );
        assert!(output.stdout.is_empty());
    }
    assert!(!run(b"TICK\t1\n\xff\xfe\n").status.success());
}
