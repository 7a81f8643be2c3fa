//! The section `lease` of our own file: who votes on fleet-wide tasks, who may bid, and how long a lease lasts. Left
//! out, a limiter neither listens to others nor calls them.

use crate::fault::Faults;
use crate::quantity;
use crate::reader::{list, one_of, text, Reader};
use crate::tree::{Content, Entry, Node};
use crate::value::ValueError;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// A lease shorter than this ends before its renewal can be heard of on a busy machine.
const SHORTEST: Duration = Duration::from_millis(100);
const LONGEST: Duration = Duration::from_secs(600);
/// The most limiters, voters and tasks that are read.
const MOST: usize = 1024;

/// What a task does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Does {
    /// Tells a target that it lives: over TCP, a line for each act.
    Beat(SocketAddr),
    /// Writes each customer's use to a sink.
    Export {
        /// This limiter's own folder, for what is not in the sink yet.
        spool: PathBuf,
        /// The folder that all limiters share.
        sink: PathBuf,
    },
}

/// A task that one limiter at a time does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its name.
    pub name: String,
    /// What it does.
    pub does: Does,
    /// How often it acts.
    pub every: Duration,
    /// How long one act may take.
    pub longest: Duration,
}

/// A clock that is set wrong on purpose, for trials: what a machine's may do by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// By how many thousandths the monotonic clock runs fast; below 0, slow.
    pub fast: i64,
    /// How far the wall clock is ahead, in nanoseconds; below 0, behind.
    pub ahead: i64,
}

/// The section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// This limiter's name among `limiters`.
    pub me: String,
    /// The file with the key that all share.
    pub key: PathBuf,
    /// How long a voter stands by its vote.
    pub length: Duration,
    /// By how many thousandths two clocks may run apart.
    pub drift: u64,
    /// Where each limiter hears the others; a limiter's number is its place in this order.
    pub limiters: BTreeMap<String, SocketAddr>,
    /// Who votes; an odd number.
    pub voters: Vec<String>,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// How this process's clocks are wrong; all right without.
    pub clock: Clock,
    /// Where this process ends itself, and how often it comes there before; for trials.
    pub die: Option<(Point, u64)>,
}

/// A point in the export of use at which a trial may end a process as a kill would.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// An attempt is written down and not sent yet.
    AttemptNoted,
    /// An attempt has ended, which is not written down yet.
    AttemptEnded,
    /// A batch has its number.
    BatchCut,
    /// The exporter has a batch, and has not written it.
    BatchHeard,
    /// It has written it, and told nobody.
    BatchWritten,
    /// A source has heard so, and has not written that down.
    HaveHeard,
    /// It has.
    HaveNoted,
}

/// The points by their words.
pub const POINTS: [(&str, Point); 7] = [
    ("attempt-noted", Point::AttemptNoted),
    ("attempt-ended", Point::AttemptEnded),
    ("batch-cut", Point::BatchCut),
    ("batch-heard", Point::BatchHeard),
    ("batch-written", Point::BatchWritten),
    ("have-heard", Point::HaveHeard),
    ("have-noted", Point::HaveNoted),
];

/// Reads the section; `None` where it has faults.
pub(crate) fn read(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<Lease> {
    let mut map = Reader::new(file, "lease", node, faults);
    let me = map.need("me", faults, text);
    let key = map.need("key", faults, text);
    let length = map
        .take("length", faults, span)
        .unwrap_or(Duration::from_secs(3));
    let drift = map.take("drift", faults, quantity::share).unwrap_or(0.01);
    let die = map
        .node("die")
        .and_then(|node| self::die(file, node, faults));
    let limiters = map.need("limiters", faults, addresses);
    let voters = map.need("voters", faults, |node| {
        list(node).iter().map(text).collect::<Result<Vec<_>, _>>()
    });
    let tasks = map.node("tasks").map(list).unwrap_or_default();
    let tasks: Vec<Task> = tasks
        .iter()
        .filter_map(|node| task(file, node, faults))
        .collect();
    let clock = map
        .node("clock")
        .map(|node| self::clock(file, node, faults))
        .unwrap_or_default();

    if !(SHORTEST..=LONGEST).contains(&length) {
        map.fault("length", "a lease lasts from 100ms to 10m", faults);
    }
    // What clocks may differ by comes off both ends of what a holder may do.
    if !(0.0..=0.2).contains(&drift) {
        map.fault(
            "drift",
            "clocks that may run apart by more than 20% leave no lease; write a share such as 1%",
            faults,
        );
    }
    // Where the addresses are faulty, that is told, and not that everybody is missing.
    let known = |name: &String| {
        limiters
            .as_ref()
            .is_none_or(|limiters| limiters.contains_key(name))
    };
    if let Some(me) = me.as_ref().filter(|me| !known(me)) {
        map.fault("me", format!("{me:?} is not one of lease.limiters"), faults);
    }
    let voters = voters.unwrap_or_default();
    if voters.len().is_multiple_of(2) {
        let problem = format!(
            "{} voters; an odd number has a majority on one side of any split",
            voters.len()
        );
        map.fault("voters", problem, faults);
    }
    for (index, voter) in voters.iter().enumerate() {
        if voters[..index].contains(voter) {
            map.fault("voters", format!("{voter:?} is named twice"), faults);
        }
        if !known(voter) {
            map.fault(
                "voters",
                format!("{voter:?} is not one of lease.limiters"),
                faults,
            );
        }
    }
    for (index, task) in tasks.iter().enumerate() {
        if tasks[..index].iter().any(|other| other.name == task.name) {
            map.fault("tasks", format!("{:?} is named twice", task.name), faults);
        }
        if task.longest * 2 > length {
            let problem = format!(
                "an act of {:?} may take more than half of the lease",
                task.name
            );
            map.fault("tasks", problem, faults);
        }
    }
    map.end(faults);
    let drift = (drift * 1_000.0).ceil() as u64;
    Some(Lease {
        me: me?,
        key: key?.into(),
        length,
        drift,
        limiters: limiters?,
        voters,
        tasks,
        clock,
        die,
    })
}

fn export(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<Does> {
    let mut map = Reader::new(file, "lease.tasks.export", node, faults);
    let (spool, sink) = (
        map.need("spool", faults, text),
        map.need("sink", faults, text),
    );
    map.end(faults);
    Some(Does::Export {
        spool: spool?.into(),
        sink: sink?.into(),
    })
}

fn die(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<(Point, u64)> {
    let mut map = Reader::new(file, "lease.die", node, faults);
    let at = map.need("at", faults, |node| one_of(&text(node)?, &POINTS));
    let after = map
        .take("after", faults, |node| quantity::count(node, 0..=1_000_000))
        .unwrap_or(0);
    map.end(faults);
    Some((at?, after))
}

fn clock(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Clock {
    let mut map = Reader::new(file, "lease.clock", node, faults);
    let mut share = |key| map.take(key, faults, quantity::share).unwrap_or(0.0);
    let (fast, slow) = (share("fast"), share("slow"));
    let mut time = |key| map.take(key, faults, quantity::time).unwrap_or(0) as i64;
    let (ahead, behind) = (time("ahead"), time("behind"));
    if fast > 0.2 || slow > 0.2 {
        map.fault(
            "fast",
            "a clock in a trial runs wrong by 20% at most",
            faults,
        );
    }
    map.end(faults);
    Clock {
        fast: ((fast - slow) * 1_000.0).round() as i64,
        ahead: ahead.saturating_sub(behind),
    }
}

fn span(node: &Node) -> Result<Duration, ValueError> {
    quantity::time(node).map(Duration::from_nanos)
}

fn address(node: &Node) -> Result<SocketAddr, String> {
    let text = text(node)?;
    text.parse()
        .map_err(|_| format!("{text:?} is no address; write one such as 10.1.0.7:7201"))
}

fn addresses(node: &Node) -> Result<BTreeMap<String, SocketAddr>, String> {
    let Content::Map(members) = &node.content else {
        return Err("not a map; write name: address lines".to_owned());
    };
    let mut read = BTreeMap::new();
    for Entry {
        key: name,
        place,
        value: node,
    } in members.iter().take(MOST)
    {
        let at =
            address(node).map_err(|problem| format!("{name} (line {}): {problem}", place.line))?;
        if read.values().any(|other| *other == at) {
            return Err(format!(
                "{name} (line {}): {at} is another limiter's too",
                place.line
            ));
        }
        read.insert(name.clone(), at);
    }
    Ok(read)
}

fn task(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<Task> {
    let mut map = Reader::new(file, "lease.tasks", node, faults);
    let name = map.need("name", faults, |node| {
        let name = text(node)?;
        let sound =
            (1..=64).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic());
        sound
            .then_some(name)
            .ok_or_else(|| "a name has 1 to 64 letters without spaces".to_owned())
    });
    let target = map.take("target", faults, address);
    let export = map.node("export").map(|node| export(file, node, faults));
    let does = match (target, export) {
        (Some(target), None) => Some(Does::Beat(target)),
        (None, Some(export)) => export,
        (None, None) => None,
        (Some(_), Some(_)) => {
            map.fault(
                "export",
                "a task has a target or an export, not both",
                faults,
            );
            None
        }
    };
    if does.is_none() && faults.0.is_empty() {
        map.fault(
            "name",
            "a task needs a target (address:port) or an export (spool and sink)",
            faults,
        );
    }
    let every = map
        .take("every", faults, span)
        .unwrap_or(Duration::from_secs(1));
    let longest = map
        .take("longest", faults, span)
        .unwrap_or(Duration::from_millis(250));
    if every.is_zero() || longest.is_zero() {
        map.fault(
            "every",
            "0; an act takes some time, and so does the pause before the next",
            faults,
        );
    }
    map.end(faults);
    Some(Task {
        name: name?,
        does: does?,
        every,
        longest,
    })
}

#[cfg(test)]
mod tests {
    use crate::Product;

    const SOUND: &str = "lease:\n  me: a\n  key: k\n  length: 2s\n  drift: 1%\n  limiters:\n    a: 127.0.0.1:1\n    b: 127.0.0.1:2\n    c: 127.0.0.1:3\n  voters: [a, b, c]\n  tasks:\n    - name: beat\n      target: 127.0.0.1:9\n";

    #[test]
    fn a_sound_section_is_read_and_without_it_there_is_none() {
        let lease = Product::read("q.yaml", SOUND)
            .expect("sound")
            .lease
            .expect("there is one");
        assert_eq!(
            (
                lease.voters.len(),
                lease.drift,
                lease.tasks[0].name.as_str()
            ),
            (3, 10, "beat")
        );
        assert_eq!(
            Product::read("q.yaml", "tally: 1s\n").expect("sound").lease,
            None
        );
        let export = SOUND.replace("target: 127.0.0.1:9", "export: {spool: /s, sink: /k}");
        let lease = Product::read("q.yaml", &export)
            .expect("sound")
            .lease
            .expect("there is one");
        assert_eq!(
            lease.tasks[0].does,
            super::Does::Export {
                spool: "/s".into(),
                sink: "/k".into()
            }
        );
        let wrong = SOUND.replace("2s", "2s\n  clock: {slow: 1.2%, ahead: 1s, behind: 3s}");
        let clock = Product::read("q.yaml", &wrong)
            .expect("sound")
            .lease
            .expect("there is one")
            .clock;
        assert_eq!((clock.fast, clock.ahead), (-12, -2_000_000_000));
    }

    #[test]
    fn what_cannot_hold_is_refused_with_its_line() {
        for (from, to, told) in [
            (
                "[a, b, c]",
                "[a, b]",
                "q.yaml:10: lease.voters: 2 voters; an odd number",
            ),
            ("[a, b, c]", "[]", "q.yaml:10: lease.voters: 0 voters"),
            (
                "[a, b, c]",
                "[a, b, b]",
                "q.yaml:10: lease.voters: \"b\" is named twice",
            ),
            (
                "[a, b, c]",
                "[a, b, x]",
                "q.yaml:10: lease.voters: \"x\" is not one of lease.limiters",
            ),
            (
                "me: a",
                "me: z",
                "q.yaml:2: lease.me: \"z\" is not one of lease.limiters",
            ),
            (
                "2s",
                "20ms",
                "q.yaml:4: lease.length: a lease lasts from 100ms",
            ),
            (
                "1%",
                "30%",
                "q.yaml:5: lease.drift: clocks that may run apart",
            ),
            (
                "0.1:2",
                "0.1:1",
                "q.yaml:7: lease.limiters: b (line 8): 127.0.0.1:1 is another limiter's too",
            ),
            (
                "target: 127.0.0.1:9",
                "every: 1s",
                "q.yaml:12: lease.tasks.name: a task needs a target",
            ),
            (
                "0.1:9",
                "0.1:9\n      export: {spool: s, sink: k}",
                "lease.tasks.export: a task has a target or an export",
            ),
            (
                "target: 127.0.0.1:9",
                "export: {spool: s}",
                "lease.tasks.export.sink",
            ),
            (
                "2s",
                "2s\n  die: {at: noon}",
                "q.yaml:5: lease.die.at: \"noon\" is not known",
            ),
            (
                "0.1:9",
                "0.1",
                "q.yaml:13: lease.tasks.target: \"127.0.0.1\" is no address",
            ),
            (
                "me: a",
                "mee: a",
                "q.yaml:2: lease.mee: unknown key; did you mean me?",
            ),
            (
                "2s",
                "2s\n  clock: {fast: 30%}",
                "q.yaml:5: lease.clock.fast: a clock in a trial runs wrong by 20%",
            ),
        ] {
            assert!(SOUND.contains(from));
            let faults = Product::read("q.yaml", &SOUND.replace(from, to))
                .expect_err("faulty")
                .to_string();
            assert!(faults.contains(told), "{told}\nnot in\n{faults}");
        }
    }
}
