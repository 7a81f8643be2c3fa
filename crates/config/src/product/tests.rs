//! Tests of reading the product's own file: defaults, and faults with their lines.

use super::*;

#[test]
fn empty_file_gives_the_defaults() {
    assert_eq!(
        ProductConfig::read("q.yaml", ""),
        Ok(ProductConfig::default())
    );
}

#[test]
fn metrics_are_off_unless_an_interval_is_given() {
    assert_eq!(
        ProductConfig::read("q.yaml", "metrics_interval: 1s\n")
            .map(|product| product.metrics_interval),
        Ok(Some(Duration::from_secs(1)))
    );
    let faults = ProductConfig::read("q.yaml", "metrics_interval: 0s\n")
        .expect_err("faulty")
        .to_string();
    assert!(
        faults.contains("q.yaml:1: metrics_interval: must not be 0; omit the key"),
        "{faults}"
    );
}

#[test]
fn former_name_of_the_metrics_interval_is_accepted() {
    assert_eq!(
        ProductConfig::read("q.yaml", "tally: 2s\n"),
        ProductConfig::read("q.yaml", "metrics_interval: 2s\n")
    );
    let faults = ProductConfig::read("q.yaml", "tally: 0s\n")
        .expect_err("faulty")
        .to_string();
    assert!(
        faults.contains("q.yaml:1: tally: must not be 0; omit the key"),
        "{faults}"
    );
}

#[test]
fn every_fault_has_its_line_and_remedy() {
    let text =
        "log:\n  filter: inf\n  form: xml\n  window: 10\n  burst: 0.5\n  brust: 3\nlogs: 1\n";
    let faults = ProductConfig::read("q.yaml", text)
        .expect_err("faulty")
        .to_string();
    for part in [
        "q.yaml:2: log.filter: unknown value \"inf\"; did you mean info?",
        "q.yaml:3: log.form: unknown value \"xml\"; expected one of human, json",
        "q.yaml:4: log.window: 10 has no unit; write a duration such as 250ms or 2s",
        "q.yaml:5: log.burst: 0.5 is not a whole number from 1 to 1000000",
        "q.yaml:6: log.brust: unknown key; did you mean burst?",
        "q.yaml:7: logs: unknown key; did you mean log?",
    ] {
        assert!(faults.contains(part), "{part}\nnot in\n{faults}");
    }
}
