//! Spans of faults and the picture of a run.

use super::*;
use quartzcleat_fault_injection::verdict::Mark;

fn mark(at_seconds: u64, event: MarkEvent) -> Mark {
    Mark {
        at: Duration::from_secs(at_seconds),
        limiter: LimiterIndex(1),
        event,
    }
}

/// A pause that ends, one that lasts to the end of the run, and a cut link.
fn report_with_faults() -> RunReport {
    RunReport {
        marks: vec![
            mark(1, MarkEvent::Began(FaultKind::Pause)),
            mark(2, MarkEvent::Over(FaultKind::Pause)),
            mark(3, MarkEvent::Began(FaultKind::Pause)),
            mark(4, MarkEvent::Began(FaultKind::Isolate)),
        ],
        duration: Duration::from_secs(5),
        ..RunReport::default()
    }
}

#[test]
fn faults_last_to_their_ends_or_to_the_end_of_the_run() {
    let spans: Vec<_> = fault_spans(&report_with_faults())
        .iter()
        .map(|span| (span.event.to_string(), span.from, span.to))
        .collect();
    assert_eq!(
        spans,
        [
            ("pause".to_owned(), 1.0, 2.0),
            ("pause".to_owned(), 3.0, 5.0),
            ("cut".to_owned(), 4.0, 5.0)
        ]
    );
}

#[test]
fn picture_names_limiters_and_faults() {
    let text = "limiters: 3\nvoters: 3\nend: 5s\n";
    let scenario = Scenario::read("s.yaml", text).expect("the scenario is valid");
    let file = std::env::temp_dir().join(format!("quartzcleat-plot-{}.svg", std::process::id()));
    draw(&file, &scenario, 1, &report_with_faults()).expect("it is drawn");
    let picture = std::fs::read_to_string(&file).expect("the file is there");
    // A file that stays behind does not concern the result.
    let _ = std::fs::remove_file(&file);
    assert!(
        picture.contains("limiter 1") && picture.contains("pause") && picture.contains("cut"),
        "{picture}"
    );
}
