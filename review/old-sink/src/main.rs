//! Writes the sink file that three limiters leave after some hours of service: `review-old-sink FILE HOURS EPOCH`.
//!
//! Each limiter cuts five batches a second. A batch has the usage of six customers, as 90 requests a second over three
//! limiters give it. The lines are those of the project's own crate.

use quartzcleat_usage_export::{Batch, SinkRecord, Source, Usage};
use std::error::Error;
use std::fs::File;
use std::io::{BufWriter, Write};

const LIMITERS: [&str; 3] = ["n0", "n1", "n2"];
const BATCHES_PER_SECOND: u64 = 5;
const CUSTOMERS_PER_BATCH: u64 = 6;
const CUSTOMERS: u64 = 300;

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, path, hours, epoch] = arguments.as_slice() else {
        return Err("review-old-sink FILE HOURS EPOCH".into());
    };
    let batches = hours.parse::<u64>()? * 3600 * BATCHES_PER_SECOND;
    let epoch: u64 = epoch.parse()?;
    let mut file = BufWriter::new(File::create(path)?);
    for sequence in 1..=batches {
        for (limiter, name) in (0..).zip(LIMITERS) {
            let customer = |place| 1 + (sequence * 7 + limiter * 11 + place * 13) % CUSTOMERS;
            let usage = Usage {
                executed_milliunits: 1_000 + 1_000 * (sequence % 6),
                uncertain_milliunits: 0,
                executed_attempts: 1,
            };
            let record = SinkRecord {
                source: Source {
                    name: name.to_string(),
                    epoch: epoch + limiter,
                },
                batch: Batch {
                    sequence,
                    usage: (0..CUSTOMERS_PER_BATCH).map(|place| (customer(place), usage)).collect(),
                },
            };
            file.write_all(record.to_line().as_bytes())?;
        }
    }
    file.flush()?;
    Ok(())
}
