//! How long to wait before discovery is asked, for the first time and after a failure. Decides without clock or
//! socket.

use crate::net::config::Limits;
use std::time::Duration;

/// Pauses between calls that fail: each is drawn anew between nothing and a bound that doubles with every failure
/// ("full jitter"). Guards against limiters that all failed at one moment and ask again in step, for good: a service
/// that turns most of them away then serves nobody.
#[derive(Clone, Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    bound: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// Pauses whose bound grows from `least` to `most`.
    pub fn new(least: Duration, most: Duration, seed: u64) -> Self {
        Backoff {
            least,
            most: most.max(least),
            bound: least,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// A limiter's.
    pub fn of(limits: &Limits, seed: u64) -> Self {
        let least = if limits.list_by_asking {
            limits.list_turn.max(limits.again)
        } else {
            limits.again
        };
        Backoff::new(least, limits.list_most, seed)
    }

    /// The pause before the first call, where all limiters may have started at one moment.
    pub fn first(&mut self) -> Duration {
        self.least.mul_f64(self.rng.f64())
    }

    /// The service has answered: the next failure is a first one.
    pub fn answered(&mut self) {
        self.bound = self.least;
    }

    /// The pause after one more failure.
    pub fn after_failure(&mut self) -> Duration {
        let pause = self.bound.mul_f64(self.rng.f64());
        self.bound = (2 * self.bound).min(self.most);
        pause
    }
}

#[cfg(test)]
mod tests {
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
            let mut due: Vec<_> = limiters
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
            while let Some((at, one)) = due
                .iter()
                .zip(0..)
                .filter_map(|(due, one)| Some(((*due)?, one)))
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
                    due[one] = Some(at + time(2_000) + limiters[one].after_failure());
                } else {
                    free = begins + time(40);
                    due[one] = None;
                }
            }
            (due.iter().flatten().count(), failed)
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
}
