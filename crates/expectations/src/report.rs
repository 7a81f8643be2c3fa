//! A run told: for people, as JSON, or as JUnit's XML for build servers.

use crate::blame::Blame;
use crate::run::{Outcome, Result, Verdict};
use std::fmt::Write as _;

fn word(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Held => "held",
        Verdict::Failed => "FAILED",
        Verdict::Untested => "UNTESTED",
        Verdict::SaysNothing => "SAYS NOTHING",
        Verdict::Faulty => "FAULTY",
    }
}

fn explored(result: &Result) -> String {
    let counts = &result.explored;
    let how = if counts.complete {
        "all ways".to_owned()
    } else {
        format!(
            "all ways to {} choices, {} random walks",
            counts.depth, counts.walks
        )
    };
    let (plays, states, tested) = (counts.plays, counts.states, counts.tested);
    format!("{plays} plays, {states} states, {how}; tested {tested} times")
}

fn lines(blame: &Blame, out: &mut String) {
    for set in &blame.sets {
        for (number, line) in set.iter().enumerate() {
            let and = if number > 0 { "together with " } else { "" };
            let _ = writeln!(
                out,
                "      {and}{}:{}: {}: {} (with {} the verdict turns)",
                line.file, line.line, line.key, line.says, line.would
            );
        }
    }
    if blame.sets.is_empty() && blame.tried > 0 {
        let _ = writeln!(
            out,
            "      none found; {} other settings were tried",
            blame.tried
        );
    }
}

/// For people. `full` shows each expectation that holds, too.
pub fn human(outcome: &Outcome, full: bool) -> String {
    let mut out = String::new();
    for fault in &outcome.faults {
        let _ = writeln!(out, "{fault}");
    }
    let mut file = "";
    for result in &outcome.results {
        if result.verdict == Verdict::Held && !full && result.differs.is_none() {
            continue;
        }
        if result.file != file {
            file = &result.file;
            let _ = writeln!(out, "{file}");
        }
        let _ = writeln!(
            out,
            "  {:8} {}:{} {}",
            word(result.verdict),
            result.file,
            result.line,
            result.name
        );
        if result.verdict != Verdict::Faulty {
            let _ = writeln!(out, "    on {}: {}", result.day, explored(result));
        }
        for note in &result.notes {
            let _ = writeln!(out, "    {note}");
        }
        if let Some(failure) = &result.failure {
            let path: Vec<_> = failure.path.iter().map(ToString::to_string).collect();
            let path = if path.is_empty() {
                "0".to_owned()
            } else {
                path.join(",")
            };
            let _ = writeln!(out, "    {}:{}: {}", result.file, failure.line, failure.how);
            let _ = writeln!(
                out,
                "    the shortest way there, of {} choices:",
                failure.choices
            );
            for line in &failure.story {
                let _ = writeln!(out, "      {line}");
            }
            let _ = writeln!(
                out,
                "    replay: quartzcleat expect {} --only '{}' --path {path}",
                result.file, result.name
            );
            if failure.behind.tried > 0 {
                let _ = writeln!(out, "    behind it:");
                lines(&failure.behind, &mut out);
            }
        }
        if let Some(behind) = &result.behind {
            let _ = writeln!(out, "    behind it:");
            lines(behind, &mut out);
        }
        if let Some((before, blame)) = &result.differs {
            let _ = writeln!(
                out,
                "    under the other settings: {}; the change that does it:",
                word(*before)
            );
            lines(blame, &mut out);
        }
    }
    let count = |verdict| {
        outcome
            .results
            .iter()
            .filter(|result| result.verdict == verdict)
            .count()
    };
    let states: u64 = outcome
        .results
        .iter()
        .map(|result| result.explored.states)
        .sum();
    let plays: u64 = outcome
        .results
        .iter()
        .map(|result| result.explored.plays)
        .sum();
    let _ = writeln!(
        out,
        "{} expectations: {} held, {} failed, {} untested, {} say nothing, {} faulty; {plays} plays, {states} states, {:.2} s",
        outcome.results.len(),
        count(Verdict::Held),
        count(Verdict::Failed),
        count(Verdict::Untested),
        count(Verdict::SaysNothing),
        count(Verdict::Faulty),
        outcome.seconds
    );
    out
}

/// As JSON.
pub fn json(outcome: &Outcome) -> String {
    serde_json::to_string_pretty(outcome).unwrap_or_else(|e| format!("{{\"fault\": \"{e}\"}}"))
        + "\n"
}

fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            c if c.is_control() && c != '\n' => out.push(' '),
            c => out.push(c),
        }
    }
    out
}

/// One case of a JUnit report; a fault makes it fail.
pub fn case(name: &str, class: &str, fault: &str) -> String {
    let (name, class, message) = (escape(name), escape(class), escape(fault));
    if fault.is_empty() {
        format!("  <testcase name=\"{name}\" classname=\"{class}\"/>\n")
    } else {
        format!(
            "  <testcase name=\"{name}\" classname=\"{class}\"><failure message=\"{message}\"/></testcase>\n"
        )
    }
}

/// A JUnit report of cases.
pub fn suite(name: &str, cases: &[String]) -> String {
    let failed = cases
        .iter()
        .filter(|case| case.contains("<failure") || case.contains("<error"))
        .count();
    format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<testsuite name=\"{}\" tests=\"{}\" failures=\"{failed}\">\n{}</testsuite>\n",
        escape(name),
        cases.len(),
        cases.concat()
    )
}

/// As JUnit's XML: a suite for the run, a case for each expectation and day.
pub fn junit(outcome: &Outcome) -> String {
    let mut cases: Vec<String> = outcome
        .faults
        .iter()
        .map(|fault| case("files", "expectations", fault))
        .collect();
    for result in &outcome.results {
        let failure = result.failure.as_ref();
        let how = failure.map_or_else(|| result.notes.join("; "), |failure| failure.how.clone());
        let mut text = failure.map_or_else(String::new, |failure| failure.story.join("\n") + "\n");
        if let Some(failure) = failure {
            lines(&failure.behind, &mut text);
        }
        let fault = match result.verdict {
            Verdict::Held => String::new(),
            verdict => format!("{}: {how}\n{text}", word(verdict)),
        };
        cases.push(case(&result.name, &result.file, &fault));
    }
    suite("expectations", &cases)
}
