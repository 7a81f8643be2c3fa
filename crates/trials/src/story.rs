//! A story in YAML: how many limiters, how leases are set, how links behave, and which faults come when. What the file
//! does not name is drawn from the seed, so that a seed says all.

use quartzcleat_settings::reader::{list, one_of, text, Reader};
use quartzcleat_settings::{fault::Faults, quantity, tree, Node};
use std::sync::Arc;
use std::time::Duration;

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    /// The limiter whose act was accepted last.
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
}

const WORDS: [(&str, What); 6] = [
    ("pause", What::Pause),
    ("kill", What::Kill),
    ("end", What::End),
    ("cut", What::Cut),
    ("mute", What::Mute),
    ("deaf", What::Deaf),
];

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
        let limiters = map.need("limiters", &mut faults, |node| quantity::count(node, 1..=300)).unwrap_or(1);
        let voters = map.take("voters", &mut faults, |node| quantity::count(node, 1..=limiters)).unwrap_or(1);
        let length = map.take("lease", &mut faults, span).unwrap_or(Duration::from_millis(600));
        let every = map.take("every", &mut faults, span).unwrap_or(Duration::from_millis(20));
        let longest = map.take("longest", &mut faults, span).unwrap_or(Duration::from_millis(100));
        let loss = map.take("loss", &mut faults, quantity::share).unwrap_or(0.0);
        let twice = map.take("twice", &mut faults, quantity::share).unwrap_or(0.0);
        let delay = map.take("delay", &mut faults, span).unwrap_or_default();
        let drawn = map.take("drawn", &mut faults, |node| quantity::count(node, 0..=100)).unwrap_or(0);
        let end = map.need("end", &mut faults, span).unwrap_or_default();
        let changes = map.take("changes", &mut faults, |node| quantity::count(node, 0..=1_000)).unwrap_or(1);
        let named = map.node("faults").map(list).unwrap_or_default();
        let named = named.iter().filter_map(|node| fault(&file, node, &mut faults)).collect();
        if voters.is_multiple_of(2) {
            map.fault("voters", "even; an odd number has a majority on one side of any split", &mut faults);
        }
        map.end(&mut faults);
        let links = Links { loss, twice, delay };
        faults.or(Story {
            limiters: limiters as usize,
            voters: voters as usize,
            length,
            every,
            longest,
            links,
            faults: named,
            drawn: drawn as usize,
            end,
            changes: changes as usize,
        })
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
                // Guards against trials in which nothing changes hands: one strikes the holder, and each outlasts a lease.
                whom: if number == 0 || rng.f64() < 0.7 { Whom::Holder } else { Whom::Any },
                what: WORDS[rng.usize(..WORDS.len())].1,
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
    let whom = [("holder", Whom::Holder), ("any", Whom::Any), ("all", Whom::All)];
    let whom = map.take("whom", faults, |node| one_of(&text(node)?, &whom)).unwrap_or(Whom::Holder);
    let what = map.need("what", faults, |node| one_of(&text(node)?, &WORDS));
    let lasts = map.need("lasts", faults, span);
    map.end(faults);
    Some(Fault { at: at?, whom, what: what?, lasts: lasts? })
}
