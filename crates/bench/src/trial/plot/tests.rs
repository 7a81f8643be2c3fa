//! Spans of faults and the picture of a run.

use super::*;
use quartzcleat_fault_injection::verdict::Mark;

#[test]
fn faults_have_their_ends_and_the_picture_names_them() {
    let mark = |at_s, event| Mark {
        at: Duration::from_secs(at_s),
        limiter: 1,
        event,
    };
    let marks = vec![
        mark(1, MarkEvent::Began(FaultKind::Pause)),
        mark(2, MarkEvent::Over(FaultKind::Pause)),
        mark(3, MarkEvent::Began(FaultKind::Pause)),
        mark(4, MarkEvent::Began(FaultKind::Isolate)),
    ];
    let report = RunReport {
        marks,
        duration: Duration::from_secs(5),
        ..RunReport::default()
    };
    let spans: Vec<_> = fault_spans(&report)
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
    let text = "limiters: 3\nvoters: 3\nend: 5s\n";
    let scenario = Scenario::read("s.yaml", text).expect("the scenario is valid");
    let file = std::env::temp_dir().join(format!("quartzcleat-plot-{}.svg", std::process::id()));
    draw(&file, &scenario, 1, &report).expect("it is drawn");
    let text = std::fs::read_to_string(&file).expect("the file is there");
    // A file that stays behind does not concern the result.
    let _ = std::fs::remove_file(&file);
    assert!(
        text.contains("limiter 1") && text.contains("pause") && text.contains("cut"),
        "{text}"
    );
}
