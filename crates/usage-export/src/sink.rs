//! The sink: one file for each tenure of an exporter. A holder that was paused writes on into its own file, which harms
//! nothing: a batch counts once, in whichever files it stands.

use crate::line::{open, put_batch, seal, take_batch};
use crate::{Batch, Source, Spool, Sums};
use std::collections::BTreeMap;

/// A batch as it stands in the sink.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Written {
    /// Whose.
    pub source: Source,
    /// The batch.
    pub batch: Batch,
}

impl Written {
    /// Its line.
    pub fn line(&self) -> String {
        let mut text = format!("{} {} ", self.source.name, self.source.epoch);
        put_batch(&self.batch, &mut text);
        seal(&text)
    }

    fn read(line: &str) -> Option<Written> {
        let mut words = open(line)?.split(' ');
        let source = Source {
            name: words.next()?.to_owned(),
            epoch: words.next()?.parse().ok()?,
        };
        Some(Written {
            source,
            batch: take_batch(words)?,
        })
    }
}

/// What stands in the sink.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sink {
    batches: BTreeMap<Source, BTreeMap<u64, Sums>>,
    doubles: u64,
    spoilt: u64,
    conflicts: Vec<(Source, u64)>,
    /// What spools hold in no batch yet.
    loose: Sums,
}

/// What a sink tells.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Use by customer.
    pub sums: Sums,
    /// Batches that stood in more than one file, counted once.
    pub doubles: u64,
    /// Lines that were cut off or have rotted.
    pub spoilt: u64,
    /// Numbers that are missing below one that stands there.
    pub gaps: Vec<(Source, u64)>,
    /// Batches that stand there with two contents: the first read was counted.
    pub conflicts: Vec<(Source, u64)>,
}

impl Sink {
    /// Takes the text of one tenure's file. A line that was cut off is read no further.
    pub fn read(&mut self, text: &str) {
        for line in text.split_inclusive('\n') {
            match line.strip_suffix('\n').and_then(Written::read) {
                Some(written) => self.take(written),
                None => self.spoilt += 1,
            }
        }
    }

    /// Takes a batch that was written.
    pub fn take(&mut self, written: Written) {
        let Written { source, batch } = written;
        let held = self.batches.entry(source.clone()).or_default();
        match held.get(&batch.number) {
            None => drop(held.insert(batch.number, batch.sums)),
            Some(same) if *same == batch.sums => self.doubles += 1,
            Some(_) => self.conflicts.push((source, batch.number)),
        }
    }

    /// Whether a source's batch stands there.
    pub fn holds(&self, source: &Source, number: u64) -> bool {
        self.batches
            .get(source)
            .is_some_and(|held| held.contains_key(&number))
    }

    /// Counts what a spool still holds beside what stands in the sink.
    pub fn add_spool(&mut self, spool: &Spool) {
        for batch in spool.held() {
            if !self.holds(spool.source(), batch.number) {
                self.take(Written {
                    source: spool.source().clone(),
                    batch: batch.clone(),
                });
            }
        }
        for (customer, used) in spool.loose() {
            self.loose.entry(*customer).or_default().add(*used);
        }
    }

    /// What it tells.
    pub fn report(&self) -> Report {
        let mut report = Report {
            doubles: self.doubles,
            spoilt: self.spoilt,
            conflicts: self.conflicts.clone(),
            sums: self.loose.clone(),
            ..Report::default()
        };
        for (source, held) in &self.batches {
            let last = held.keys().next_back().copied().unwrap_or(0);
            let missing = (1..=last).filter(|number| !held.contains_key(number));
            report
                .gaps
                .extend(missing.map(|number| (source.clone(), number)));
            for (customer, used) in held.values().flatten() {
                report.sums.entry(*customer).or_default().add(*used);
            }
        }
        report
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Use;

    fn written(number: u64, ran: u64) -> Written {
        let source = Source {
            name: "a".into(),
            epoch: 7,
        };
        let sums = [(
            5,
            Use {
                ran,
                unknown: 0,
                runs: 1,
            },
        )]
        .into_iter()
        .collect();
        Written {
            source,
            batch: Batch { number, sums },
        }
    }

    #[test]
    fn a_batch_counts_once_in_whichever_files_it_stands() {
        let lines: Vec<String> = (1..=3)
            .map(|number| written(number, 1_000).line())
            .collect();
        let mut sink = Sink::default();
        sink.read(&lines[..2].concat());
        assert!(sink.holds(&written(1, 0).source, 2) && !sink.holds(&written(1, 0).source, 3));
        // A later tenure begins at the second; the first exporter was cut off in the middle of a line.
        sink.read(&format!("{}{}{}", lines[1], lines[2], &lines[0][..9]));
        let report = sink.report();
        assert_eq!(
            (report.sums[&5].ran, report.doubles, report.spoilt),
            (3_000, 1, 1)
        );
        assert!(report.gaps.is_empty() && report.conflicts.is_empty());
    }

    #[test]
    fn gaps_and_batches_of_two_contents_are_told() {
        let mut sink = Sink::default();
        [written(1, 1), written(3, 1), written(3, 2)]
            .into_iter()
            .for_each(|batch| sink.take(batch));
        let report = sink.report();
        let source = written(1, 1).source;
        assert_eq!(
            (report.gaps, report.conflicts),
            (vec![(source.clone(), 2)], vec![(source.clone(), 3)])
        );
    }

    #[test]
    fn what_a_spool_still_holds_is_counted_beside_the_sink() {
        let (mut spool, _) = Spool::new(written(1, 0).source);
        let mut sink = Sink::default();
        for _ in 0..3 {
            let (attempt, _) = spool.begin(5, 1.0);
            spool.end(attempt, crate::Fate::Ran(2.0));
            spool.cut();
        }
        let first = spool.held().next().cloned().expect("it was cut");
        sink.take(Written {
            source: spool.source().clone(),
            batch: first,
        });
        let (attempt, _) = spool.begin(5, 1.0);
        spool.end(attempt, crate::Fate::Unknown);
        sink.add_spool(&spool);
        assert_eq!(
            sink.report().sums[&5],
            Use {
                ran: 6_000,
                unknown: 1_000,
                runs: 3
            }
        );
    }
}
