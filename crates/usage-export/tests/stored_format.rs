//! The text format of export messages, spool lines and sink lines, which must stay compatible with other versions of
//! the limiter.

use quartzcleat_usage_export::*;

fn source() -> Source {
    Source {
        name: "a".into(),
        epoch: 7,
    }
}

fn batch() -> Batch {
    let first = Usage {
        executed_milliunits: 1_500,
        uncertain_milliunits: 250,
        executed_attempts: 2,
    };
    let second = Usage {
        executed_milliunits: 16,
        uncertain_milliunits: 0,
        executed_attempts: 1,
    };
    Batch {
        sequence: 3,
        usage: [(5, first), (0xff, second)].into_iter().collect(),
    }
}

#[test]
fn text_of_each_export_message_is_stable() {
    let acknowledgement = Message::Acknowledge {
        epoch: 7,
        sequence: 12,
    };
    let offered = Message::Batch {
        source: source(),
        batch: batch(),
    };
    for (message, text) in [
        (Message::Fetch, "want"),
        (acknowledgement, "have 7 12"),
        (offered, "batch a 7 3 5=5dc.fa.2 ff=10.0.1"),
    ] {
        assert_eq!(String::from_utf8_lossy(&message.encode()), text);
        assert_eq!(Message::decode(text.as_bytes()), Ok(message));
    }
}

#[test]
fn text_of_each_spool_line_is_stable() {
    let mut spool = Spool::new(source());
    let mut file = spool.header();
    for (customer, outcome) in [
        (5, AttemptOutcome::Executed(1.5)),
        (255, AttemptOutcome::NotExecuted),
        (9, AttemptOutcome::Unknown),
    ] {
        let started = spool.start_attempt(customer, 0.25);
        file += &started.line;
        file += &spool
            .end_attempt(started.attempt, outcome)
            .expect("the attempt is open");
    }
    file += &spool.cut_batch().expect("usage was recorded");
    file += &spool.acknowledge(1).expect("the batch was pending");
    assert_eq!(
        file,
        concat!(
            "spool 1 a 7 1 #15c63705\n",
            "+ 1 5 250 #1506fb99\n",
            "- 1 5dc.0.1 #77da7657\n",
            "+ 2 ff 250 #e0060aaa\n",
            "- 2 0.0.0 #b2ea5413\n",
            "+ 3 9 250 #f45b6ec3\n",
            "- 3 0.fa.0 #952be08d\n",
            "b 1 5=5dc.0.1 9=0.fa.0 #cc2f1f87\n",
            "x 1 #6760d40f\n",
        )
    );
}

/// Includes the lines that compaction writes for usage outside batches and for open attempts.
#[test]
fn text_of_a_compacted_spool_is_stable() {
    let mut spool = Spool::new(source());
    for _ in 0..2_100 {
        let started = spool.start_attempt(5, 1.0);
        spool.end_attempt(started.attempt, AttemptOutcome::Executed(1.0));
    }
    spool.cut_batch();
    let started = spool.start_attempt(6, 2.0);
    spool.end_attempt(started.attempt, AttemptOutcome::Executed(2.0));
    spool.start_attempt(7, 3.0);
    assert_eq!(
        spool.compact().as_deref(),
        Some(concat!(
            "spool 1 a 7 1 #15c63705\n",
            "b 1 5=200b20.0.834 #a2b925ae\n",
            "r 6 7d0.0.1 #6fd729df\n",
            "+ 2102 7 3000 #6d01639a\n",
        ))
    );
}

#[test]
fn text_of_a_sink_line_is_stable() {
    let record = SinkRecord {
        source: source(),
        batch: batch(),
    };
    let line = record.to_line();
    assert_eq!(line, "a 7 3 5=5dc.fa.2 ff=10.0.1 #3c47eceb\n");
    let mut sink = Sink::default();
    sink.add_file(&line);
    assert!(sink.contains(&source(), 3));
    assert_eq!(sink.report().corrupt_lines, 0);
}
