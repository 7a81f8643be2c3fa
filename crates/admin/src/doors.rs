//! Whether clients are taken: draining at staff's word, and the planned end at SIGTERM, in one state machine. Both go
//! through the same phases, each by its own clock, and the one that is further on rules.

use crate::state::Switch;
use quartzcleat_decision::api::Nanos;

/// How far clients are sent away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All are served, and connections are kept.
    #[default]
    Serving,
    /// Connections close between requests.
    Closing,
    /// New requests get back-off answers.
    LastCall,
}

/// How long after the word each phase begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Until then connections are kept: the front still brings new ones.
    pub linger: Nanos,
    /// From then on new requests get back-off answers.
    pub last_call: Nanos,
}

/// The doors of one process.
#[derive(Clone, Copy, Debug)]
pub struct Doors {
    times: Times,
    drain: Switch,
    /// When the end was asked for, and whether another process takes the clients already.
    ending: Option<(Nanos, bool)>,
}

impl Doors {
    /// Open doors.
    #[must_use]
    pub fn new(times: Times) -> Self {
        Doors {
            times,
            drain: Switch::default(),
            ending: None,
        }
    }

    /// Clients are to be sent away; said again it changes nothing.
    pub fn drain(&mut self, now: Nanos) {
        self.turn(true, now);
    }

    /// Back to work; an end that was asked for stands.
    pub fn undrain(&mut self, now: Nanos) {
        self.turn(false, now);
    }

    fn turn(&mut self, on: bool, now: Nanos) {
        if self.drain.on != on {
            self.drain = Switch {
                on,
                at: now.max(self.drain.at + 1),
            };
        }
    }

    /// The end is asked for; the first word counts. `relieved`: another process takes the clients already.
    pub fn end(&mut self, now: Nanos, relieved: bool) {
        self.ending.get_or_insert((now, relieved));
    }

    /// Takes in another process's word on draining, if it is later; whether it is.
    pub fn merge(&mut self, other: Switch) -> bool {
        let later = other.at > self.drain.at;
        if later {
            self.drain = other;
        }
        later
    }

    /// The latest word on draining.
    #[must_use]
    pub fn switch(&self) -> Switch {
        self.drain
    }

    /// Whether the front is told that clients are welcome.
    #[must_use]
    pub fn welcome(&self) -> bool {
        !self.drain.on
    }

    /// Whether the program is to end.
    #[must_use]
    pub fn ending(&self) -> bool {
        self.ending.is_some()
    }

    /// Whether the end was asked for with another process at work.
    #[must_use]
    pub fn relieved(&self) -> bool {
        self.ending.is_some_and(|(_, relieved)| relieved)
    }

    /// The phase at a moment, and when the next one begins.
    #[must_use]
    pub fn phase(&self, now: Nanos) -> (Phase, Option<Nanos>) {
        let since = |at: Nanos, linger: Nanos| {
            let (closing, last) = (at + linger, at + self.times.last_call);
            if now >= last {
                (Phase::LastCall, None)
            } else if now >= closing {
                (Phase::Closing, Some(last))
            } else {
                (Phase::Serving, Some(closing))
            }
        };
        let drained = if self.drain.on {
            since(self.drain.at, self.times.linger)
        } else {
            (Phase::Serving, None)
        };
        let ended = self
            .ending
            .map_or((Phase::Serving, None), |(at, relieved)| {
                since(at, if relieved { 0 } else { self.times.linger })
            });
        let next = [drained.1, ended.1].into_iter().flatten().min();
        (drained.0.max(ended.0), next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TIMES: Times = Times {
        linger: 6,
        last_call: 20,
    };

    /// Every pair of words, in its order: drain, undrain and end, at whatever phase the second finds.
    #[test]
    fn every_pair_of_words_has_one_meaning() {
        type Say = fn(&mut Doors, Nanos);
        let (drain, undrain): (Say, Say) = (Doors::drain, Doors::undrain);
        let (end, relieved): (Say, Say) = (|d, at| d.end(at, false), |d, at| d.end(at, true));
        use Phase::{Closing, LastCall, Serving};
        for (first, second, gap, at, phase, welcome, ending) in [
            (drain, drain, 10, 21, LastCall, false, false),
            (drain, undrain, 3, 30, Serving, true, false),
            (drain, undrain, 10, 10, Serving, true, false),
            (drain, undrain, 25, 25, Serving, true, false),
            (undrain, drain, 10, 15, Serving, false, false),
            (undrain, drain, 10, 16, Closing, false, false),
            (drain, end, 10, 20, LastCall, false, true),
            (drain, end, 2, 5, Serving, false, true),
            (end, drain, 10, 10, Closing, false, true),
            (end, undrain, 10, 20, LastCall, true, true),
            (end, end, 10, 6, Closing, true, true),
            (drain, relieved, 1, 1, Closing, false, true),
            (relieved, undrain, 1, 2, Closing, true, true),
            (relieved, end, 1, 20, LastCall, true, true),
        ] {
            let mut doors = Doors::new(TIMES);
            first(&mut doors, 100);
            second(&mut doors, 100 + gap);
            let state = (doors.phase(100 + at).0, doors.welcome(), doors.ending());
            assert_eq!(state, (phase, welcome, ending), "{gap} {at}");
        }
    }

    #[test]
    fn the_next_change_is_told_and_the_later_word_holds() {
        let mut doors = Doors::new(TIMES);
        doors.drain(100);
        assert_eq!(doors.phase(100), (Phase::Serving, Some(106)));
        assert_eq!(doors.phase(106), (Phase::Closing, Some(120)));
        assert_eq!(doors.phase(120), (Phase::LastCall, None));
        assert!(!doors.merge(Switch { on: false, at: 90 }) && !doors.welcome());
        assert!(doors.merge(Switch { on: false, at: 130 }) && doors.welcome());
    }
}
