//! A hundred limiters that start at one moment, and the bounds of the pauses.

use super::*;

/// A hundred limiters that start at one moment, before a service that answers 25 calls a second in turn and fails
/// those that have waited for 2 s: all are answered, and none waits in vain. Asked at once and again after 100 ms,
/// as before, half of them wait in vain.
#[test]
fn a_herd_comes_apart() {
    let herd = |least: u64, most: u64, spread: bool| {
        let time = Duration::from_millis;
        let mut limiters: Vec<_> = (0..100)
            .map(|seed| Backoff::new(time(least), time(most), seed))
            .collect();
        let mut next_call: Vec<_> = limiters
            .iter_mut()
            .map(|backoff| {
                Some(if spread {
                    backoff.first()
                } else {
                    Duration::ZERO
                })
            })
            .collect();
        let (mut free, mut failed) = (Duration::ZERO, 0);
        // Until 30 s are over, the next call to come is answered in its turn or fails.
        while let Some((at, one)) = next_call
            .iter()
            .zip(0..)
            .filter_map(|(next_call, one)| Some(((*next_call)?, one)))
            .min()
        {
            if at > time(30_000) {
                break;
            }
            let begins = free.max(at);
            if begins - at > time(2_000) {
                failed += 1;
                // A caller that gave up had its place in the line for all that time.
                free += time(1);
                next_call[one] = Some(at + time(2_000) + limiters[one].after_failure());
            } else {
                free = begins + time(40);
                next_call[one] = None;
            }
        }
        (next_call.iter().flatten().count(), failed)
    };
    assert_eq!(herd(4_000, 4_000, true), (0, 0));
    let (_, in_step) = herd(100, 100, false);
    assert!(in_step >= 40, "{in_step} calls failed when made in step");
}

#[test]
fn an_answer_makes_the_next_failure_a_first_one() {
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5), 1);
    (0..20).for_each(|_| assert!(backoff.after_failure() <= Duration::from_secs(5)));
    backoff.answered();
    assert!(backoff.after_failure() <= Duration::from_millis(100));
}
