//! Our own file, `deploy/quartzcleat.yaml`: what the platform's configuration has no place for. Without it the
//! defaults here hold, and nothing that the platform does not allow is on.

use crate::fault::Faults;
use crate::lease::{self, Lease};
use crate::reader::{one_of, text, Reader};
use crate::{quantity, tree};
use std::sync::Arc;
use std::time::Duration;

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// For people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// The filter, in tracing's directives.
    pub filter: String,
    /// The form of the lines.
    pub form: Form,
    /// Within this time at most `burst` lines are written of one kind; the rest are counted and told at its end.
    pub window: Duration,
    /// See `window`.
    pub burst: u32,
}

impl Default for Log {
    fn default() -> Self {
        // A fault that repeats ten times a second must not fill what the platform keeps of standard error.
        let (filter, form) = ("info".to_owned(), Form::Human);
        Log {
            filter,
            form,
            window: Duration::from_secs(10),
            burst: 5,
        }
    }
}

/// Our settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Product {
    /// Logging.
    pub log: Log,
    /// How often the tally of what was done and is believed is logged; never without.
    pub tally: Option<Duration>,
    /// Leases for fleet-wide tasks; none without.
    pub lease: Option<Lease>,
}

impl Product {
    /// Reads our file.
    ///
    /// # Errors
    /// All its faults.
    pub fn read(file: &str, text: &str) -> Result<Product, Faults> {
        let file: Arc<str> = file.into();
        let tree = tree::parse(&file, text)?;
        let mut faults = Faults::default();
        let mut top = Reader::new(&file, "", &tree, &mut faults);
        let log = top
            .node("log")
            .map(|node| self::log(&file, node, &mut faults))
            .unwrap_or_default();
        let tally = top.take("tally", &mut faults, |node| {
            quantity::time(node).map(Duration::from_nanos)
        });
        if tally == Some(Duration::ZERO) {
            top.fault(
                "tally",
                "0; leave it out to have none, or write a time such as 1s",
                &mut faults,
            );
        }
        let lease = top
            .node("lease")
            .and_then(|node| lease::read(&file, node, &mut faults));
        top.end(&mut faults);
        faults.or(Product { log, tally, lease })
    }
}

fn log(file: &Arc<str>, node: &tree::Node, faults: &mut Faults) -> Log {
    let default = Log::default();
    let mut map = Reader::new(file, "log", node, faults);
    let filter = map.take("filter", faults, |node| {
        let words = text(node)?;
        // Each directive is a level, or a target and a level.
        for directive in words.split(',') {
            let level = directive.rsplit('=').next().unwrap_or_default().trim();
            one_of(
                level,
                &["off", "error", "warn", "info", "debug", "trace"].map(|level| (level, ())),
            )?;
        }
        Ok(words)
    });
    let form = map.word(
        "form",
        &[("human", Form::Human), ("json", Form::Json)],
        faults,
    );
    let window = map.take("window", faults, |node| {
        quantity::time(node).map(Duration::from_nanos)
    });
    let burst = map.take("burst", faults, |node| quantity::count(node, 1..=1_000_000));
    if window == Some(Duration::ZERO) {
        map.fault(
            "window",
            "0; repeats are counted over some time, such as 10s",
            faults,
        );
    }
    map.end(faults);
    Log {
        filter: filter.unwrap_or(default.filter),
        form: form.unwrap_or(default.form),
        window: window.unwrap_or(default.window),
        burst: burst.map_or(default.burst, |burst| burst as u32),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_empty_file_changes_nothing() {
        assert_eq!(Product::read("q.yaml", ""), Ok(Product::default()));
    }

    #[test]
    fn the_tally_is_off_unless_a_time_is_given() {
        assert_eq!(
            Product::read("q.yaml", "tally: 1s\n").map(|p| p.tally),
            Ok(Some(Duration::from_secs(1)))
        );
        let faults = Product::read("q.yaml", "tally: 0s\n")
            .expect_err("faulty")
            .to_string();
        assert!(
            faults.contains("q.yaml:1: tally: 0; leave it out"),
            "{faults}"
        );
    }

    #[test]
    fn every_fault_is_named_with_its_line_and_what_would_do() {
        let text =
            "log:\n  filter: inf\n  form: xml\n  window: 10\n  burst: 0.5\n  brust: 3\nlogs: 1\n";
        let faults = Product::read("q.yaml", text)
            .expect_err("faulty")
            .to_string();
        for part in [
            "q.yaml:2: log.filter: \"inf\" is not known; did you mean info?",
            "q.yaml:3: log.form: \"xml\" is not known; one of human, json",
            "q.yaml:4: log.window: 10 has no unit; write a time such as 250ms or 2s",
            "q.yaml:5: log.burst: 0.5 is not a whole number from 1 to 1000000",
            "q.yaml:6: log.brust: unknown key; did you mean burst?",
            "q.yaml:7: logs: unknown key; did you mean log?",
        ] {
            assert!(faults.contains(part), "{part}\nnot in\n{faults}");
        }
    }
}
