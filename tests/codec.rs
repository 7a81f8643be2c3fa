//! The codec of the simulator's protocol: each kind of malformed line, and the text of actions.

use quartzcleat::simulator::{Decoder, Line};

fn error(lines: &[&str]) -> String {
    let mut decoder = Decoder::new();
    for line in lines {
        if let Err(e) = decoder.decode(line) {
            return e.to_string();
        }
    }
    panic!("nothing wrong with {lines:?}")
}

#[test]
fn malformed_lines_name_line_and_field() {
    assert_eq!(
        error(&["TICK\tx"]),
        "line 1, field clock of TICK: cannot read \"x\""
    );
    assert_eq!(
        error(&["TICK\t1", "WHAT"]),
        "line 2, field name of WHAT: unknown message"
    );
    assert!(error(&["DROPPED\t12"]).contains("job of DROPPED"));
    assert!(error(&["DROPPED"]).contains("job of DROPPED: missing"));
    assert!(error(&["CENSUS\t0\t1", "TICK\t1"]).contains("membersList"));
    assert!(error(&["FLEET\t1\t3\treplace"]).contains("no list 3"));
}

#[test]
fn a_tick_is_read() {
    assert_eq!(
        Decoder::new().decode("TICK\t8412250000"),
        Ok(Some(Line::Tick(8_412_250_000)))
    );
}

#[test]
fn each_kind_of_field_is_checked() {
    let id = "218516d35d3a91c4";
    for (line, field) in [
        (
            format!("RESULT\t{id}\tx\t5\tGOOD\t1\t1\t0\t0\t-"),
            "go of RESULT",
        ),
        (
            format!("RESULT\t{id}\t0\t5\tFINE\t1\t1\t0\t0\t-"),
            "code of RESULT",
        ),
        (
            format!("RESULT\t{id}\t0\t5\tGOOD\t1\tyes\t0\t0\t-"),
            "over of RESULT",
        ),
        (
            format!("RESULT\t{id}\t0\t5\tGOOD\t1\t1\t0\tinf\t-"),
            "actual of RESULT",
        ),
        (
            format!("RESULT\t{id}\t0\t5\tGOOD\t1\t1\t0\t0\tqueue=3"),
            "metrics of RESULT",
        ),
        ("MEMO\t1\t***".to_owned(), "contents of MEMO"),
        (
            "RECKONED\tname\tGOOD\tmany\t1".to_owned(),
            "total of RECKONED",
        ),
        (
            "NEW_INSTANCE\t1\tcategories.count=1\tcategories.0.effect=odd".to_owned(),
            "categories.0.effect",
        ),
    ] {
        assert!(
            error(&[&line]).contains(field),
            "{line}: {}",
            error(&[&line])
        );
    }
}

#[test]
fn timer_tags_are_written_and_read_as_the_wire_has_them() {
    use quartzcleat::api::{Action, Event, RequestId, Timer};
    let id = RequestId(0x1f);
    for (timer, tag) in [
        (Timer::Deadline { id }, "deadline:1f"),
        (Timer::LatencyObjective { id }, "late:1f"),
        (Timer::CounterWait { id }, "wait:1f"),
        (Timer::ReleaseQueue, "held"),
        (Timer::WatchHosts, "watch"),
        (Timer::Sweep, "sweep"),
    ] {
        let mut encoded = String::new();
        quartzcleat::simulator::encode(&Action::SetTimer { timer, after: 7 }, &mut encoded);
        assert_eq!(encoded, format!("WAKE_ME\t{tag}\t7\n"));
        let read = Decoder::new().decode(&format!("ELAPSED\t{tag}"));
        assert_eq!(read, Ok(Some(Line::Event(Event::Timer { timer }))));
    }
}

#[test]
fn actions_are_written_as_the_wire_has_them() {
    use quartzcleat::api::{Action, AttemptIndex, HostId, LogEvent, Peers, RequestId};
    let mut encoded = String::new();
    let (id, host) = (RequestId(0x2185_16d3_5d3a_91c4), HostId(51_530_247));
    for action in [
        Action::Attempt {
            id,
            host,
            timeout: 80_000_000,
            begins_within: u64::MAX,
        },
        Action::CancelAttempt {
            id,
            attempt: AttemptIndex(1),
        },
        Action::MessagePeers {
            to: Peers::All,
            bytes: b"hi 7".to_vec(),
        },
        Action::Count {
            name: "q5.1".into(),
            amount: -1.5,
            keep_for: 7,
        },
        Action::Log {
            event: LogEvent::CounterDegraded,
        },
        Action::Log {
            event: LogEvent::CounterRecovered,
        },
        Action::Log {
            event: LogEvent::HostFailing {
                host,
                consecutive_failures: 3,
            },
        },
    ] {
        quartzcleat::simulator::encode(&action, &mut encoded);
    }
    let lines = [
        "ISSUE\t218516d35d3a91c4\t51530247\t80000000",
        "STOP_ATTEMPT\t218516d35d3a91c4\t1",
        "ANNOUNCE\tall\taGkgNw==",
        "INCR\tq5.1\t-1.5\t7",
        "RECORD\tcounter in trouble: judging on what is known",
        "RECORD\tcounter answers again",
        "RECORD\thost 51530247 failing: 3 failures in a row",
    ];
    assert_eq!(encoded.lines().collect::<Vec<_>>(), lines);
}
