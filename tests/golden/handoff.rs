//! The handoff that a limiter stores for a second process of it.
//!
//! The test takes the place of the second process: a state file and a lock of its own are all that the first one sees
//! of it. Times, addresses and measured durations stand as names in angle brackets.

use crate::quota_window::{with_long_wait, with_steady_quotas, within_one_window, FEW_UNITS};
use crate::{assert_golden, limiter_setup};
use quartzcleat_test_support::commands::{request, send, CHECK_FACTS, HOLD_FACTS};
use quartzcleat_test_support::limiter::Limiter;
use std::fs::File;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const HANDOFF_TIMEOUT: Duration = Duration::from_secs(20);
/// Later than any process that runs today has started, in Unix time.
const SUCCESSOR_STARTED_AT: u64 = 9_000_000_000_000_000_000;

/// A process that is about to serve, as far as another one can see.
struct Successor {
    handoff: PathBuf,
    /// Locked while the successor is to count as alive.
    _lock: File,
}

impl Successor {
    /// Publishes a process beside a limiter's.
    fn publish(limiter: &Limiter) -> Self {
        let name = format!("quartzcleat-{SUCCESSOR_STARTED_AT:x}-1");
        let file = |suffix: &str| limiter.folder.join(format!("{name}.{suffix}"));
        let lock = File::create(file("lock")).expect("the lock is made");
        lock.try_lock().expect("no other process holds the lock");
        let state = format!(
            r#"{{"version":1,"name":"toy","listen":"{}","born":{SUCCESSOR_STARTED_AT},"serving":false,{}}}"#,
            limiter.address, r#""drain":{"on":false,"at":0},"words":{},"listed":[]"#
        );
        std::fs::write(file("new"), state).expect("the state is written");
        std::fs::rename(file("new"), file("json")).expect("the state is in its place");
        Successor {
            handoff: file("heritage"),
            _lock: lock,
        }
    }

    /// Waits for the handoff; it appears whole, since it is renamed into its place.
    fn receive_handoff(&self) -> String {
        let began = Instant::now();
        loop {
            if let Ok(text) = std::fs::read_to_string(&self.handoff) {
                return text;
            }
            assert!(began.elapsed() < HANDOFF_TIMEOUT, "no handoff was written");
            std::thread::yield_now();
        }
    }
}

/// Replaces the addresses and the numbers in a JSON text that another run of the test would have otherwise: the index of
/// the window, numbers of at least 13 digits, and fractions with more than three digits behind the point.
fn without_measurements(text: &str, listen: &str) -> String {
    let text = text.replace(listen, "<listen>");
    let text = replace_value(&text, "\"hostPort\":", "\"<host>\"");
    let text = replace_value(&text, "\"window\":", "<window>");
    let mut normalized = String::new();
    let mut number = String::new();
    for character in text.chars().chain(std::iter::once('\n')) {
        let continues_number = !number.is_empty() && ".e-".contains(character);
        if character.is_ascii_digit() || continues_number {
            number.push(character);
            continue;
        }
        normalized += name_of_number(&number);
        number.clear();
        normalized.push(character);
    }
    normalized
}

/// Replaces the value of a key that occurs once, as far as the next comma.
fn replace_value(text: &str, key: &str, name: &str) -> String {
    let (before, after) = text.split_once(key).expect("the key is there");
    let (_, rest) = after.split_once(',').expect("another key follows");
    format!("{before}{key}{name},{rest}")
}

fn name_of_number(number: &str) -> &str {
    const MIN_TIME_DIGITS: usize = 13;
    const MAX_EXACT_DECIMALS: usize = 3;
    match number.split_once('.') {
        None if number.len() >= MIN_TIME_DIGITS => "<time>",
        Some((_, decimals)) if decimals.len() > MAX_EXACT_DECIMALS => "<measured>",
        _ => number,
    }
}

#[test]
fn a_handoff_is_stored_in_this_form() {
    let handoff = within_one_window(record_handoff);
    assert_golden("stored-handoff.json", &handoff);
}

/// The handoff of a limiter that has served two requests.
fn record_handoff() -> String {
    let limiter = limiter_setup(241).with_config(with_steady_quotas).start();
    let mut client = limiter.connect();
    for (id, verb, facts) in [(1, "Q.ASK", CHECK_FACTS), (2, "Q.DO", HOLD_FACTS)] {
        let command = request(
            verb,
            id,
            &with_long_wait(&facts.replace("units=1", FEW_UNITS)),
            "",
        );
        assert!(send(&mut client, &command, 1).starts_with('$'));
    }
    let handoff = Successor::publish(&limiter).receive_handoff();
    without_measurements(&handoff, &limiter.address.to_string())
}
