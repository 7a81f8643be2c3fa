//! A story in YAML: how many limiters, how leases are set, how links behave, and which faults come when. What the file
//! does not name is drawn from the seed, so that a seed says all.

use quartzcleat_config::quantity::{self, show_time};
use quartzcleat_config::reader::{list, one_of, text, Reader};
use quartzcleat_config::{fault::Faults, tree, Node};
use std::sync::Arc;
use std::time::Duration;

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    /// The limiter whose act was let in last.
    Holder,
    /// One that is drawn.
    Any,
    /// All of them.
    All,
}

/// What happens to a limiter, or to its links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// SIGSTOP, then SIGCONT.
    Pause,
    /// SIGKILL, then a start with nothing kept.
    Kill,
    /// SIGTERM, then a start.
    End,
    /// Cut from all others, silently, both ways.
    Cut,
    /// It is heard by nobody, and hears all.
    Mute,
    /// It hears nobody, and is heard by all.
    Deaf,
    /// Less than half of the limiters, it among them, are cut from the others. All reach the target.
    Split,
    /// It is cut from the target alone: acts wait on their way, votes pass.
    Astray,
    /// Its acts reach the target; the answers wait.
    Unanswered,
    /// Its connections to the target are reset, again and again.
    Reset,
}

const WORDS: [(&str, What); 10] = [
    ("pause", What::Pause),
    ("kill", What::Kill),
    ("end", What::End),
    ("cut", What::Cut),
    ("mute", What::Mute),
    ("deaf", What::Deaf),
    ("split", What::Split),
    ("astray", What::Astray),
    ("unanswered", What::Unanswered),
    ("reset", What::Reset),
];

/// So many of these, the first ones, cost a holder its lease; the others touch its acts alone.
const COST_THE_LEASE: usize = 7;

const WHOM: [(&str, Whom); 3] = [
    ("holder", Whom::Holder),
    ("any", Whom::Any),
    ("all", Whom::All),
];

impl What {
    /// Its word in a story and in a history.
    #[must_use]
    pub fn word(self) -> &'static str {
        WORDS
            .iter()
            .find(|(_, what)| *what == self)
            .map_or("", |(word, _)| word)
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When, from the moment at which all run.
    pub at: Duration,
    /// Whom.
    pub whom: Whom,
    /// What.
    pub what: What,
    /// How long it lasts.
    pub lasts: Duration,
}

/// How links behave all the time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Links {
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub twice: f64,
    /// The longest delay; each datagram draws its own, so that they overtake one another.
    pub delay: Duration,
}

/// How far the clocks of limiters may be wrong: each process draws its own anew whenever it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Clocks {
    /// Two monotonic clocks run apart by this part at most.
    pub apart: f64,
    /// A wall clock is off by this at most, ahead or behind.
    pub off: Duration,
}

/// A story.
#[derive(Clone, Debug, PartialEq)]
pub struct Story {
    /// Limiters.
    pub limiters: usize,
    /// How many of them vote.
    pub voters: usize,
    /// How long a lease lasts.
    pub length: Duration,
    /// How often the holder acts, and how long an act may take.
    pub every: Duration,
    /// See `every`.
    pub longest: Duration,
    /// How far clocks may run apart, as the limiters are told.
    pub drift: f64,
    /// How far they do.
    pub clocks: Clocks,
    /// The links.
    pub links: Links,
    /// Faults by name.
    pub faults: Vec<Fault>,
    /// How many more are drawn.
    pub drawn: usize,
    /// How long it goes on.
    pub end: Duration,
    /// Changes of holder without which it is empty.
    pub changes: usize,
}

impl Story {
    /// Reads a story.
    ///
    /// # Errors
    /// All its faults, with file, line and key.
    pub fn read(file: &str, contents: &str) -> Result<Story, Faults> {
        let file: Arc<str> = file.into();
        let tree = tree::parse(&file, contents)?;
        let mut faults = Faults::default();
        let mut map = Reader::new(&file, "", &tree, &mut faults);
        let span = |node: &Node| quantity::time(node).map(Duration::from_nanos);
        let limiters = map
            .need("limiters", &mut faults, |node| {
                quantity::count(node, 1..=300)
            })
            .unwrap_or(1);
        let voters = map
            .take("voters", &mut faults, |node| {
                quantity::count(node, 1..=limiters)
            })
            .unwrap_or(1);
        let length = map
            .take("lease", &mut faults, span)
            .unwrap_or(Duration::from_millis(600));
        let every = map
            .take("every", &mut faults, span)
            .unwrap_or(Duration::from_millis(20));
        let longest = map
            .take("longest", &mut faults, span)
            .unwrap_or(Duration::from_millis(100));
        let loss = map
            .take("loss", &mut faults, quantity::share)
            .unwrap_or(0.0);
        let twice = map
            .take("twice", &mut faults, quantity::share)
            .unwrap_or(0.0);
        let delay = map.take("delay", &mut faults, span).unwrap_or_default();
        let drift = map
            .take("drift", &mut faults, quantity::share)
            .unwrap_or(0.01);
        let apart = map
            .take("apart", &mut faults, quantity::share)
            .unwrap_or(0.0);
        let off = map.take("off", &mut faults, span).unwrap_or_default();
        let drawn = map
            .take("drawn", &mut faults, |node| quantity::count(node, 0..=100))
            .unwrap_or(0);
        let end = map.need("end", &mut faults, span).unwrap_or_default();
        let changes = map
            .take("changes", &mut faults, |node| {
                quantity::count(node, 0..=1_000)
            })
            .unwrap_or(1);
        let named = map.node("faults").map(list).unwrap_or_default();
        let named = named
            .iter()
            .filter_map(|node| fault(&file, node, &mut faults))
            .collect();
        if voters.is_multiple_of(2) {
            map.fault(
                "voters",
                "even; an odd number has a majority on one side of any split",
                &mut faults,
            );
        }
        map.end(&mut faults);
        let (links, clocks) = (Links { loss, twice, delay }, Clocks { apart, off });
        faults.into_result(Story {
            limiters: limiters as usize,
            voters: voters as usize,
            length,
            every,
            longest,
            drift,
            clocks,
            links,
            faults: named,
            drawn: drawn as usize,
            end,
            changes: changes as usize,
        })
    }

    /// The same with all faults of a seed by name, none drawn: what a schedule is made smaller from.
    #[must_use]
    pub fn spelled(&self, seed: u64) -> Story {
        Story {
            faults: self.schedule(seed),
            drawn: 0,
            ..self.clone()
        }
    }

    /// As a file that reads as this story.
    #[must_use]
    pub fn write(&self) -> String {
        let (time, clocks) = (
            |span: Duration| show_time(span.as_nanos() as u64),
            self.clocks,
        );
        let mut text = format!(
            "limiters: {}\nvoters: {}\nlease: {}\nevery: {}\nlongest: {}\ndrift: {}\napart: {}\noff: {}\nloss: {}\n\
             twice: {}\ndelay: {}\ndrawn: {}\nend: {}\nchanges: {}\n",
            self.limiters,
            self.voters,
            time(self.length),
            time(self.every),
            time(self.longest),
            self.drift,
            clocks.apart,
            time(clocks.off),
            self.links.loss,
            self.links.twice,
            time(self.links.delay),
            self.drawn,
            time(self.end),
            self.changes,
        );
        for (number, fault) in self.faults.iter().enumerate() {
            let whom = WHOM
                .iter()
                .find(|(_, whom)| *whom == fault.whom)
                .map_or("", |(word, _)| word);
            let (at, what, lasts) = (time(fault.at), fault.what.word(), time(fault.lasts));
            let head = if number == 0 { "faults:\n" } else { "" };
            text +=
                &format!("{head}  - {{at: {at}, whom: {whom}, what: {what}, lasts: {lasts}}}\n");
        }
        text
    }

    /// The faults of one seed: those named and those drawn, in the order of their times.
    pub fn schedule(&self, seed: u64) -> Vec<Fault> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut all = self.faults.clone();
        let (first, last) = (self.length * 2, self.end.saturating_sub(self.length * 2));
        for number in 0..self.drawn {
            let part = |rng: &mut fastrand::Rng, most: Duration| most.mul_f64(rng.f64());
            all.push(Fault {
                at: first + part(&mut rng, last.saturating_sub(first)),
                // Guards against trials in which nothing changes hands: one strikes the holder with what costs it the lease,
                // and each outlasts a lease.
                whom: if number == 0 || rng.f64() < 0.7 {
                    Whom::Holder
                } else {
                    Whom::Any
                },
                what: WORDS[rng.usize(
                    ..if number == 0 {
                        COST_THE_LEASE
                    } else {
                        WORDS.len()
                    },
                )]
                .1,
                lasts: self.length + part(&mut rng, self.length * 2),
            });
        }
        all.sort_by_key(|fault| fault.at);
        all
    }
}

fn fault(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<Fault> {
    let mut map = Reader::new(file, "faults", node, faults);
    let span = |node: &Node| quantity::time(node).map(Duration::from_nanos);
    let at = map.need("at", faults, span);
    let whom = map
        .take("whom", faults, |node| one_of(&text(node)?, &WHOM))
        .unwrap_or(Whom::Holder);
    let what = map.need("what", faults, |node| one_of(&text(node)?, &WORDS));
    let lasts = map.need("lasts", faults, span);
    map.end(faults);
    Some(Fault {
        at: at?,
        whom,
        what: what?,
        lasts: lasts?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// To a thousandth: times are written as people read them.
    #[test]
    fn a_story_that_is_spelled_out_reads_as_itself() {
        let text = include_str!("../../../deploy/trials/leases.yaml");
        let story = Story::read("leases.yaml", text).expect("sound").spelled(7);
        let again = Story::read("again.yaml", &story.write()).expect("what is written is sound");
        assert_eq!(
            (again.faults.len(), again.drawn, again.links),
            (4, 0, story.links)
        );
        for (fault, other) in story.faults.iter().zip(&again.faults) {
            assert_eq!((fault.what, fault.whom), (other.what, other.whom));
            assert!(
                fault.at.abs_diff(other.at) < Duration::from_millis(5),
                "{fault:?} and {other:?}"
            );
        }
    }
}
