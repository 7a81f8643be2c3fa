//! A limiter's spool. Before an attempt is sent its use is written down, and again when it has ended: so a process that is
//! killed leaves behind what it may have sent. Who reads the spool again counts what has no end as unknown.

use crate::line::{open, put_batch, put_use, seal, take_batch, take_use};
use crate::{thousandths, Batch, Customer, Source, Sums, Use};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;

/// Customers of one batch: with the longest of figures it fits into a datagram.
const MOST_CUSTOMERS: usize = 16;
/// A spool of more lines is written anew when most of them tell nothing any more.
const MANY_LINES: usize = 4_096;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// A host has run it, for so many units.
    Ran(f64),
    /// No host has.
    Never,
    /// A host may have.
    Unknown,
}

/// What was read of a spool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    /// Lines whose check was wrong: rotted, or cut off at the end.
    pub spoilt: usize,
    /// Attempts without an end, counted as unknown from now on.
    pub unended: usize,
    /// Lines that say so, to be appended first: guards against counting them again at the next start.
    pub lines: String,
}

/// The spool. What a method returns is to be appended to its file before anything is done about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spool {
    source: Source,
    /// Attempts that are out.
    out: BTreeMap<u64, (Customer, u64)>,
    next_attempt: u64,
    /// What has ended and is in no batch yet.
    loose: Sums,
    batches: VecDeque<Batch>,
    next_batch: u64,
    lines: usize,
}

impl Spool {
    /// A new spool, and its first line.
    pub fn new(source: Source) -> (Spool, String) {
        let spool = Spool {
            source,
            out: BTreeMap::new(),
            next_attempt: 1,
            loose: Sums::new(),
            batches: VecDeque::new(),
            next_batch: 1,
            lines: 1,
        };
        let head = spool.head();
        (spool, head)
    }

    /// Whose it is.
    pub fn source(&self) -> &Source {
        &self.source
    }

    fn head(&self) -> String {
        seal(&format!(
            "spool 1 {} {} {}",
            self.source.name, self.source.epoch, self.next_batch
        ))
    }

    /// Reads a spool of a limiter of this name. `None` where its first line tells nothing: a new one is to be begun.
    pub fn read(name: &str, text: &str) -> Option<(Spool, Taken)> {
        let mut lines = text
            .split_inclusive('\n')
            .map(|line| open(line.strip_suffix('\n')?));
        let head: Vec<&str> = lines.next()??.split(' ').collect();
        let &["spool", "1", whose, epoch, next] = head.as_slice() else {
            return None;
        };
        let source = Source {
            name: name.to_owned(),
            epoch: epoch.parse().ok()?,
        };
        let mut spool = Spool::new(source).0;
        spool.next_batch = next.parse().ok()?;
        let mut taken = Taken::default();
        for line in lines {
            spool.lines += 1;
            if line.and_then(|line| spool.take(line)).is_none() {
                taken.spoilt += 1;
            }
        }
        let out: Vec<u64> = spool.out.keys().copied().collect();
        taken.unended = out.len();
        if !text.ends_with('\n') {
            // What was cut off ends here, so that what follows stands in a line of its own.
            taken.lines.push('\n');
        }
        taken.lines += &out
            .into_iter()
            .filter_map(|attempt| spool.end(attempt, Fate::Unknown))
            .collect::<String>();
        (whose == name).then_some((spool, taken))
    }

    /// Takes one line as it was written.
    fn take(&mut self, line: &str) -> Option<()> {
        let mut words = line.split(' ');
        match words.next()? {
            "+" => {
                let attempt = words.next()?.parse().ok()?;
                let (customer, units) = (
                    u64::from_str_radix(words.next()?, 16).ok()?,
                    words.next()?.parse().ok()?,
                );
                self.next_attempt = self.next_attempt.max(attempt + 1);
                self.out.insert(attempt, (customer, units));
            }
            "-" => {
                let (customer, _) = self.out.remove(&words.next()?.parse().ok()?)?;
                self.loose
                    .entry(customer)
                    .or_default()
                    .add(take_use(words.next()?)?);
            }
            "r" => {
                let customer = u64::from_str_radix(words.next()?, 16).ok()?;
                self.loose
                    .entry(customer)
                    .or_default()
                    .add(take_use(words.next()?)?);
            }
            "b" => {
                let batch = take_batch(words)?;
                self.next_batch = batch.number + 1;
                for customer in batch.sums.keys() {
                    self.loose.remove(customer);
                }
                self.batches.push_back(batch);
            }
            "x" => self.drop_up_to(words.next()?.parse().ok()?),
            _ => return None,
        }
        Some(())
    }

    fn drop_up_to(&mut self, number: u64) {
        while self
            .batches
            .front()
            .is_some_and(|batch| batch.number <= number)
        {
            self.batches.pop_front();
        }
    }

    fn wrote(&mut self, text: &str) -> String {
        self.lines += 1;
        seal(text)
    }

    /// An attempt is about to be sent: its number, and the line.
    pub fn begin(&mut self, customer: Customer, units: f64) -> (u64, String) {
        let (attempt, units) = (self.next_attempt, thousandths(units));
        self.next_attempt += 1;
        self.out.insert(attempt, (customer, units));
        (
            attempt,
            self.wrote(&format!("+ {attempt} {customer:x} {units}")),
        )
    }

    /// An attempt has ended. `None` where it is not known.
    pub fn end(&mut self, attempt: u64, fate: Fate) -> Option<String> {
        let (customer, units) = self.out.remove(&attempt)?;
        let used = match fate {
            Fate::Ran(units) => Use {
                ran: thousandths(units),
                runs: 1,
                unknown: 0,
            },
            Fate::Unknown => Use {
                unknown: units,
                ..Use::default()
            },
            Fate::Never => Use::default(),
        };
        if used != Use::default() {
            self.loose.entry(customer).or_default().add(used);
        }
        let mut text = format!("- {attempt} ");
        put_use(&used, &mut text);
        Some(self.wrote(&text))
    }

    /// Makes a batch of what has ended, where there is any; its line.
    pub fn cut(&mut self) -> Option<String> {
        let first: Vec<Customer> = self.loose.keys().copied().take(MOST_CUSTOMERS).collect();
        let sums: Sums = first
            .iter()
            .filter_map(|customer| self.loose.remove_entry(customer))
            .collect();
        if sums.is_empty() {
            return None;
        }
        let batch = Batch {
            number: self.next_batch,
            sums,
        };
        self.next_batch += 1;
        let mut text = "b ".to_owned();
        put_batch(&batch, &mut text);
        self.batches.push_back(batch);
        Some(self.wrote(&text))
    }

    /// Batches that are not in the sink as far as is known, the first one first.
    pub fn held(&self) -> impl Iterator<Item = &Batch> {
        self.batches.iter()
    }

    /// What has ended and is in no batch yet.
    pub fn loose(&self) -> &Sums {
        &self.loose
    }

    /// Whether nothing is left that the sink has not.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty() && self.loose.is_empty() && self.batches.is_empty()
    }

    /// Batches up to this number stand in the sink; the line, where any was held.
    pub fn exported(&mut self, number: u64) -> Option<String> {
        let held = self.batches.len();
        self.drop_up_to(number);
        (self.batches.len() < held).then(|| self.wrote(&format!("x {number}")))
    }

    /// The whole file anew, where most of its lines tell nothing any more.
    pub fn compact(&mut self) -> Option<String> {
        let useful = 1 + self.out.len() + self.loose.len() + self.batches.len();
        if self.lines < MANY_LINES || self.lines < 2 * useful {
            return None;
        }
        let first = self
            .batches
            .front()
            .map_or(self.next_batch, |batch| batch.number);
        let head = Spool {
            next_batch: first,
            ..Spool::new(self.source.clone()).0
        };
        let mut text = head.head();
        for batch in &self.batches {
            let mut line = "b ".to_owned();
            put_batch(batch, &mut line);
            text += &seal(&line);
        }
        for (customer, used) in &self.loose {
            let mut line = format!("r {customer:x} ");
            put_use(used, &mut line);
            text += &seal(&line);
        }
        for (attempt, (customer, units)) in &self.out {
            let mut line = String::new();
            let _ = write!(line, "+ {attempt} {customer:x} {units}");
            text += &seal(&line);
        }
        self.lines = useful;
        Some(text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn source() -> Source {
        Source {
            name: "a".into(),
            epoch: 7,
        }
    }

    /// A spool and its file, after a seeded life of sends, ends, cuts and exports.
    fn lived(seed: u64, steps: usize) -> (Spool, String) {
        let (mut spool, mut file) = Spool::new(source());
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut out = Vec::new();
        for _ in 0..steps {
            let line = match rng.u8(..10) {
                0..=3 => {
                    let (attempt, line) =
                        spool.begin(rng.u64(..30), f64::from(rng.u8(1..40)) / 8.0);
                    out.push(attempt);
                    Some(line)
                }
                4..=6 if !out.is_empty() => {
                    let attempt = out.swap_remove(rng.usize(..out.len()));
                    let fate = [
                        Fate::Ran(f64::from(rng.u8(1..20))),
                        Fate::Never,
                        Fate::Unknown,
                    ][rng.usize(..3)];
                    spool.end(attempt, fate)
                }
                7 => spool.cut(),
                8 => spool.exported(rng.u64(..20)),
                _ => spool.compact().inspect(|_| file.clear()),
            };
            file += &line.unwrap_or_default();
        }
        (spool, file)
    }

    /// What a spool holds in all: certain, and what may have run.
    fn total(spool: &Spool) -> (u64, u64) {
        let mut sum = Use::default();
        let batches = spool.batches.iter().flat_map(|batch| batch.sums.values());
        spool
            .loose
            .values()
            .chain(batches)
            .for_each(|used| sum.add(*used));
        (
            sum.ran,
            sum.unknown + spool.out.values().map(|(_, units)| units).sum::<u64>(),
        )
    }

    #[test]
    fn a_spool_reads_as_it_was_with_what_has_no_end_unknown() {
        for seed in 0..200 {
            let (spool, file) = lived(seed, 60);
            let (read, taken) = Spool::read("a", &file).expect("its head is whole");
            assert_eq!(
                (taken.spoilt, taken.unended),
                (0, spool.out.len()),
                "seed {seed}"
            );
            assert_eq!(total(&read), total(&spool), "seed {seed}");
            assert_eq!(
                (&read.batches, read.next_batch),
                (&spool.batches, spool.next_batch),
                "seed {seed}"
            );
            // Killed again after a batch was cut of it: nothing is counted twice.
            let (mut read, mut file) = (read, file + &taken.lines);
            file += &read.cut().unwrap_or_default();
            let again = Spool::read("a", &file).expect("its head is whole").0;
            assert_eq!(
                (total(&again), &again.loose),
                (total(&spool), &read.loose),
                "seed {seed}"
            );
        }
    }

    /// Cut off at every byte: what is read is what stood in the whole lines, and batches keep their numbers.
    #[test]
    fn a_spool_that_was_cut_off_at_any_byte_is_read_to_its_last_whole_line() {
        let (_, file) = lived(3, 80);
        let lines: Vec<usize> = file.match_indices('\n').map(|(at, _)| at + 1).collect();
        for end in lines[0]..file.len() {
            let whole = lines
                .iter()
                .rev()
                .find(|at| **at <= end)
                .copied()
                .unwrap_or(0);
            let (read, taken) = Spool::read("a", &file[..end]).expect("its head is whole");
            assert_eq!(taken.spoilt, usize::from(whole < end), "at {end}");
            assert_eq!(
                Spool::read("a", &file[..whole]).map(|(spool, _)| total(&spool)),
                Some(total(&read))
            );
        }
        assert_eq!(
            Spool::read("a", &file[..lines[0] - 1]),
            None,
            "without a head there is no spool"
        );
        assert_eq!(Spool::read("b", &file), None, "another limiter's");
    }

    #[test]
    fn a_rotted_line_is_counted_and_what_is_exported_is_gone() {
        let (mut spool, mut file) = Spool::new(source());
        for units in [1.0, 2.0] {
            let (attempt, line) = spool.begin(5, units);
            file += &line;
            file += &spool.end(attempt, Fate::Ran(units)).expect("it is out");
        }
        file += &spool.cut().expect("something has ended");
        assert_eq!(spool.cut(), None);
        let sums: Vec<Use> = spool.held().map(|batch| batch.sums[&5]).collect();
        assert_eq!(
            sums,
            [Use {
                ran: 3_000,
                unknown: 0,
                runs: 2
            }]
        );
        let rotted = file.replace("- 2 ", "- 9 ");
        assert_eq!(
            Spool::read("a", &rotted)
                .expect("its head is whole")
                .1
                .spoilt,
            1
        );
        file += &spool.exported(1).expect("it was held");
        assert!(spool.exported(1).is_none() && spool.is_empty());
        assert_eq!(
            Spool::read("a", &file).expect("sound").0.next_batch,
            2,
            "numbers are not used again"
        );
    }

    #[test]
    fn a_long_file_is_written_anew_and_holds_the_same() {
        let (mut spool, _) = lived(1, 40);
        for _ in 0..MANY_LINES {
            let (attempt, _) = spool.begin(9, 1.0);
            spool.end(attempt, Fate::Ran(1.0));
        }
        let before = total(&spool);
        let whole = spool.compact().expect("most lines tell nothing");
        assert!(whole.lines().count() < 100);
        let (read, _) = Spool::read("a", &whole).expect("sound");
        assert_eq!(
            (total(&read), read.next_batch, &read.batches),
            (before, spool.next_batch, &spool.batches)
        );
    }
}
