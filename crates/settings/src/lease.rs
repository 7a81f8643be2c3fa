//! The section `lease` of our own file: who votes on fleet-wide tasks, who may bid, and how long a lease lasts. Left
//! out, a limiter neither listens to others nor calls them.

use crate::fault::Faults;
use crate::quantity;
use crate::reader::{list, text, Reader};
use crate::tree::{Content, Node};
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

/// A task that one limiter at a time does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its name.
    pub name: String,
    /// Where its acts go: over TCP, a line for each.
    pub target: SocketAddr,
    /// How often it acts.
    pub every: Duration,
    /// How long one act may take.
    pub longest: Duration,
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
}

/// Reads the section; `None` where it has faults.
pub(crate) fn read(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<Lease> {
    let mut map = Reader::new(file, "lease", node, faults);
    let me = map.need("me", faults, text);
    let key = map.need("key", faults, text);
    let length = map.take("length", faults, span).unwrap_or(Duration::from_secs(3));
    let drift = map.take("drift", faults, quantity::share).unwrap_or(0.01);
    let limiters = map.need("limiters", faults, addresses);
    let voters =
        map.need("voters", faults, |node| list(node).iter().map(text).collect::<Result<Vec<_>, _>>());
    let tasks = map.node("tasks").map(list).unwrap_or_default();
    let tasks: Vec<Task> = tasks.iter().filter_map(|node| task(file, node, faults)).collect();

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
    let known = |name: &String| limiters.as_ref().is_none_or(|limiters| limiters.contains_key(name));
    if let Some(me) = me.as_ref().filter(|me| !known(me)) {
        map.fault("me", format!("{me:?} is not one of lease.limiters"), faults);
    }
    let voters = voters.unwrap_or_default();
    if voters.len().is_multiple_of(2) {
        let problem =
            format!("{} voters; an odd number has a majority on one side of any split", voters.len());
        map.fault("voters", problem, faults);
    }
    for (index, voter) in voters.iter().enumerate() {
        if voters[..index].contains(voter) {
            map.fault("voters", format!("{voter:?} is named twice"), faults);
        }
        if !known(voter) {
            map.fault("voters", format!("{voter:?} is not one of lease.limiters"), faults);
        }
    }
    for (index, task) in tasks.iter().enumerate() {
        if tasks[..index].iter().any(|other| other.name == task.name) {
            map.fault("tasks", format!("{:?} is named twice", task.name), faults);
        }
        if task.longest * 2 > length {
            let problem = format!("an act of {:?} may take more than half of the lease", task.name);
            map.fault("tasks", problem, faults);
        }
    }
    map.end(faults);
    let drift = (drift * 1_000.0).ceil() as u64;
    Some(Lease { me: me?, key: key?.into(), length, drift, limiters: limiters?, voters, tasks })
}

fn span(node: &Node) -> Result<Duration, String> {
    quantity::time(node).map(Duration::from_nanos)
}

fn address(node: &Node) -> Result<SocketAddr, String> {
    let text = text(node)?;
    text.parse().map_err(|_| format!("{text:?} is no address; write one such as 10.1.0.7:7201"))
}

fn addresses(node: &Node) -> Result<BTreeMap<String, SocketAddr>, String> {
    let Content::Map(members) = &node.content else {
        return Err("not a map; write name: address lines".to_owned());
    };
    let mut read = BTreeMap::new();
    for (name, place, node) in members.iter().take(MOST) {
        let at = address(node).map_err(|problem| format!("{name} (line {}): {problem}", place.line))?;
        if read.values().any(|other| *other == at) {
            return Err(format!("{name} (line {}): {at} is another limiter's too", place.line));
        }
        read.insert(name.clone(), at);
    }
    Ok(read)
}

fn task(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<Task> {
    let mut map = Reader::new(file, "lease.tasks", node, faults);
    let name = map.need("name", faults, |node| {
        let name = text(node)?;
        let sound = (1..=64).contains(&name.len()) && name.bytes().all(|byte| byte.is_ascii_graphic());
        sound.then_some(name).ok_or_else(|| "a name has 1 to 64 letters without spaces".to_owned())
    });
    let target = map.need("target", faults, address);
    let every = map.take("every", faults, span).unwrap_or(Duration::from_secs(1));
    let longest = map.take("longest", faults, span).unwrap_or(Duration::from_millis(250));
    if every.is_zero() || longest.is_zero() {
        map.fault("every", "0; an act takes some time, and so does the pause before the next", faults);
    }
    map.end(faults);
    Some(Task { name: name?, target: target?, every, longest })
}

#[cfg(test)]
mod tests {
    use crate::Product;

    const SOUND: &str = "lease:\n  me: a\n  key: k\n  length: 2s\n  drift: 1%\n  limiters:\n    a: 127.0.0.1:1\n    b: 127.0.0.1:2\n    c: 127.0.0.1:3\n  voters: [a, b, c]\n  tasks:\n    - name: beat\n      target: 127.0.0.1:9\n";

    #[test]
    fn a_sound_section_is_read_and_without_it_there_is_none() {
        let lease = Product::read("q.yaml", SOUND).expect("sound").lease.expect("there is one");
        assert_eq!((lease.voters.len(), lease.drift, lease.tasks[0].name.as_str()), (3, 10, "beat"));
        assert_eq!(Product::read("q.yaml", "tally: 1s\n").expect("sound").lease, None);
    }

    #[test]
    fn what_cannot_hold_is_refused_with_its_line() {
        for (from, to, told) in [
            ("[a, b, c]", "[a, b]", "q.yaml:10: lease.voters: 2 voters; an odd number"),
            ("[a, b, c]", "[]", "q.yaml:10: lease.voters: 0 voters"),
            ("[a, b, c]", "[a, b, b]", "q.yaml:10: lease.voters: \"b\" is named twice"),
            ("[a, b, c]", "[a, b, x]", "q.yaml:10: lease.voters: \"x\" is not one of lease.limiters"),
            ("me: a", "me: z", "q.yaml:2: lease.me: \"z\" is not one of lease.limiters"),
            ("2s", "20ms", "q.yaml:4: lease.length: a lease lasts from 100ms"),
            ("1%", "30%", "q.yaml:5: lease.drift: clocks that may run apart"),
            ("0.1:2", "0.1:1", "q.yaml:7: lease.limiters: b (line 8): 127.0.0.1:1 is another limiter's too"),
            ("0.1:9", "0.1", "q.yaml:13: lease.tasks.target: \"127.0.0.1\" is no address"),
            ("me: a", "mee: a", "q.yaml:2: lease.mee: unknown key; did you mean me?"),
        ] {
            assert!(SOUND.contains(from));
            let faults = Product::read("q.yaml", &SOUND.replace(from, to)).expect_err("faulty").to_string();
            assert!(faults.contains(told), "{told}\nnot in\n{faults}");
        }
    }
}
