//! Writes the sink that limiters leave behind: `history FOLDER LIMITERS BATCHES CUSTOMERS TENURES`.
//!
//! Each limiter has one spool with `BATCHES` batches; each batch holds the usage of `CUSTOMERS` customers, one attempt of
//! one unit each. The batches are spread in order over the files of `TENURES` lease tenures.

use quartzcleat_usage_export::{Batch, SinkRecord, Source, Usage};
use std::fs::File;
use std::io::{BufWriter, Write};

fn main() -> std::io::Result<()> {
    let arguments: Vec<String> = std::env::args().collect();
    let number = |index: usize| arguments[index].parse::<u64>().expect("a number");
    let folder = &arguments[1];
    let (limiters, batches, customers, tenures) = (number(2), number(3), number(4), number(5));
    let epoch = 1_700_000_000_000_000_000;
    std::fs::create_dir_all(folder)?;
    for tenure in 0..tenures {
        let round = 1_700_000_000_000 + tenure;
        let path = format!("{folder}/{round:020}-0-{}.used", tenure + 1);
        let mut file = BufWriter::new(File::create(path)?);
        let share = batches.div_ceil(tenures);
        for sequence in tenure * share + 1..=((tenure + 1) * share).min(batches) {
            for limiter in 0..limiters {
                let usage = (0..customers).map(|index| {
                    let customer = (sequence * 7 + limiter * 31 + index * 1_000_003) % (1 << 33);
                    let usage = Usage {
                        executed_milliunits: 1_000,
                        uncertain_milliunits: 0,
                        executed_attempts: 1,
                    };
                    (customer, usage)
                });
                let record = SinkRecord {
                    source: Source {
                        name: format!("limiter-{}", (b'a' + limiter as u8) as char),
                        epoch: epoch + limiter,
                    },
                    batch: Batch {
                        sequence,
                        usage: usage.collect(),
                    },
                };
                file.write_all(record.to_line().as_bytes())?;
            }
        }
        file.flush()?;
    }
    Ok(())
}
