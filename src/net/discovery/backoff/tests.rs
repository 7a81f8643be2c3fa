//! A fleet that starts at one moment, and the bounds of the pauses.

use super::*;

/// A hundred limiters start at one moment. The service answers 25 calls a second in their order, and fails calls that
/// have waited for 2 s. With a spread first call all calls are answered, and none fails. Called at once, and again
/// after 100 ms, the limiters fail nearly half of their calls.
#[test]
fn fleet_that_starts_at_once_spreads_its_calls() {
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
        // For 30 s, the earliest call is answered in its order or fails.
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
                // A caller that gave up had kept its place in the queue for all that time.
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
fn answer_resets_the_backoff() {
    let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5), 1);
    (0..20).for_each(|_| assert!(backoff.after_failure() <= Duration::from_secs(5)));
    backoff.answered();
    assert!(backoff.after_failure() <= Duration::from_millis(100));
}
