//! The text of export messages, spool lines and sink lines, as other versions of the limiter write and read them.

use quartzcleat_usage_export::*;

fn source() -> Source {
    Source {
        name: "a".into(),
        epoch: 7,
    }
}

fn batch() -> Batch {
    let first = Use {
        ran: 1_500,
        unknown: 250,
        runs: 2,
    };
    let second = Use {
        ran: 16,
        unknown: 0,
        runs: 1,
    };
    Batch {
        number: 3,
        sums: [(5, first), (0xff, second)].into_iter().collect(),
    }
}

#[test]
fn each_export_message_keeps_its_text() {
    let have = Message::Have {
        epoch: 7,
        number: 12,
    };
    let offered = Message::Batch {
        source: source(),
        batch: batch(),
    };
    for (message, text) in [
        (Message::Want, "want"),
        (have, "have 7 12"),
        (offered, "batch a 7 3 5=5dc.fa.2 ff=10.0.1"),
    ] {
        assert_eq!(String::from_utf8_lossy(&message.write()), text);
        assert_eq!(Message::read(text.as_bytes()), Ok(message));
    }
}

#[test]
fn each_spool_line_keeps_its_text() {
    let (mut spool, head) = Spool::new(source());
    let mut file = head;
    for (customer, fate) in [(5, Fate::Ran(1.5)), (255, Fate::Never), (9, Fate::Unknown)] {
        let (attempt, line) = spool.begin(customer, 0.25);
        file += &line;
        file += &spool.end(attempt, fate).expect("the attempt is open");
    }
    file += &spool.cut().expect("usage was recorded");
    file += &spool.exported(1).expect("the batch was pending");
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

/// Lines that only a compacted spool has: usage outside a batch, and an attempt that is still open.
#[test]
fn a_compacted_spool_keeps_its_text() {
    let (mut spool, _) = Spool::new(source());
    for _ in 0..2_100 {
        let (attempt, _) = spool.begin(5, 1.0);
        spool.end(attempt, Fate::Ran(1.0));
    }
    spool.cut();
    let (attempt, _) = spool.begin(6, 2.0);
    spool.end(attempt, Fate::Ran(2.0));
    spool.begin(7, 3.0);
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
fn a_sink_line_keeps_its_text() {
    let written = Written {
        source: source(),
        batch: batch(),
    };
    let line = written.line();
    assert_eq!(line, "a 7 3 5=5dc.fa.2 ff=10.0.1 #3c47eceb\n");
    let mut sink = Sink::default();
    sink.read(&line);
    assert!(sink.holds(&source(), 3));
    assert_eq!(sink.report().spoilt, 0);
}
