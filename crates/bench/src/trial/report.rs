//! A run of trials told: for people, as JSON, or as JUnit's XML for build servers.

use hdrhistogram::Histogram;
use quartzcleat_expectations::report::{junit_case, junit_suite};
use quartzcleat_fault_injection::{Row, Story};
use serde_json::json;
use std::fmt::Write as _;
use std::time::Duration;

/// A run.
pub struct Told<'a> {
    /// The story's file.
    pub file: &'a str,
    /// The story.
    pub story: &'a Story,
    /// A row for each seed.
    pub rows: &'a [Row],
    /// How long it took here.
    pub elapsed: Duration,
}

impl Told<'_> {
    fn sum(&self, of: impl Fn(&Row) -> usize) -> usize {
        self.rows.iter().map(of).sum()
    }

    fn per_second(&self, of: impl Fn(&Row) -> f64) -> f64 {
        let seconds: f64 = self.rows.iter().map(|row| row.limiter_seconds).sum();
        self.rows.iter().map(of).sum::<f64>() / seconds.max(1e-9)
    }

    /// How long nobody held, in milliseconds: the quantiles 0.5, 0.9, 0.99 and the most.
    fn gaps(&self) -> Result<[f64; 4], String> {
        // Microseconds, ten minutes at most.
        let mut gaps =
            Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).map_err(|e| e.to_string())?;
        self.rows
            .iter()
            .flat_map(|row| &row.gaps_us)
            .for_each(|gap| gaps.saturating_record(*gap));
        Ok([0.5, 0.9, 0.99, 1.0].map(|part| gaps.value_at_quantile(part) as f64 / 1e3))
    }

    fn again(&self, seed: u64) -> String {
        format!(
            "quartzcleat-bench trial {} --seeds {seed}..{seed}",
            self.file
        )
    }

    /// For people.
    pub fn text(&self) -> Result<String, String> {
        let [p50, p90, p99, most] = self.gaps()?;
        let mut text = format!(
            "{} trials of {} limiters, {} voters, in {:.0} s: {} acts let in, {} refused, {} changes of holder, {} of \
             them while the holder before was paused\nold tokens let in {}, acts at once {}, empty trials {}\n\
             held by nobody, ms: p50 {p50:.0}, p90 {p90:.0}, p99 {p99:.0}, most {most:.0}\n\
             a limiter a second: {:.1} datagrams, {:.0} bytes, {:.2} ms of CPU; peak memory {} kB\n\
             the ground itself: {:.2} s of CPU a trial\n",
            self.rows.len(),
            self.story.limiters,
            self.story.voters,
            self.elapsed.as_secs_f64(),
            self.sum(|row| row.accepted),
            self.sum(|row| row.refused),
            self.sum(|row| row.changes),
            self.sum(|row| row.while_paused),
            self.sum(|row| row.old_tokens),
            self.sum(|row| row.at_once),
            self.sum(|row| usize::from(row.empty)),
            self.per_second(|row| row.datagrams as f64),
            self.per_second(|row| row.bytes as f64),
            self.per_second(|row| row.cpu_s * 1e3),
            self.rows.iter().map(|row| row.peak_kb).max().unwrap_or(0),
            self.rows.iter().map(|row| row.ground_cpu_s).sum::<f64>() / self.rows.len().max(1) as f64,
        );
        for row in self.rows.iter().filter(|row| !row.holds()) {
            let _ = writeln!(
                text,
                "seed {}: {}  again: {}",
                row.seed,
                row.broken,
                self.again(row.seed)
            );
        }
        Ok(text)
    }

    /// Totals and rows.
    pub fn json(&self) -> Result<String, String> {
        let told = json!({
            "story": self.file,
            "limiters": self.story.limiters,
            "voters": self.story.voters,
            "holds": self.rows.iter().all(Row::holds),
            "accepted": self.sum(|row| row.accepted),
            "refused": self.sum(|row| row.refused),
            "changes": self.sum(|row| row.changes),
            "while_paused": self.sum(|row| row.while_paused),
            "old_tokens": self.sum(|row| row.old_tokens),
            "at_once": self.sum(|row| row.at_once),
            "empty": self.sum(|row| usize::from(row.empty)),
            "gaps_ms": self.gaps()?,
            "rows": self.rows,
        });
        serde_json::to_string_pretty(&told)
            .map(|text| text + "\n")
            .map_err(|e| e.to_string())
    }

    /// A case for each seed.
    pub fn junit(&self) -> String {
        let of = |row: &Row| {
            let fault = if row.holds() {
                String::new()
            } else {
                row.broken.clone() + &self.again(row.seed)
            };
            junit_case(&format!("seed {}", row.seed), self.file, &fault)
        };
        junit_suite("trials", &self.rows.iter().map(of).collect::<Vec<_>>())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_failing_seed_is_told_with_its_history_and_its_command_in_each_form() {
        let story = Story::read("s.yaml", "limiters: 3\nvoters: 3\nend: 2s\n").expect("sound");
        let sound = Row {
            seed: 1,
            changes: 2,
            gaps_us: vec![1_000, 3_000],
            ..Row::default()
        };
        let broken = Row {
            seed: 2,
            old_tokens: 1,
            broken: "an old token was let in\n".into(),
            ..Row::default()
        };
        let rows = [sound, broken];
        let told = Told {
            file: "s.yaml",
            story: &story,
            rows: &rows,
            elapsed: Duration::from_secs(1),
        };
        let (text, json, junit) = (
            told.text().expect("told"),
            told.json().expect("told"),
            told.junit(),
        );
        for part in [
            "old tokens let in 1",
            "p50 1, p90 3",
            "an old token was let in",
            "trial s.yaml --seeds 2..2",
        ] {
            assert!(text.contains(part), "{part}\nnot in\n{text}");
        }
        let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
        assert_eq!(
            (
                &json["holds"],
                &json["old_tokens"],
                &json["rows"][1]["seed"]
            ),
            (&json!(false), &json!(1), &json!(2))
        );
        assert!(
            junit.contains("tests=\"2\" failures=\"1\"") && junit.contains("--seeds 2..2"),
            "{junit}"
        );
    }
}
