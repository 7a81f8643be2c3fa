//! Reads a scenario from YAML.

use super::{
    ClockFaults, Fault, FaultTarget, LinkFaults, Scenario, KIND_KEYWORDS, TARGET_KEYWORDS,
};
use quartzcleat_config::quantity;
use quartzcleat_config::reader::{list, one_of, text, Alias, Reader};
use quartzcleat_config::{fault::Faults, tree, Node, ValueError};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

const DEFAULT_LEASE_LENGTH: Duration = Duration::from_millis(600);
const DEFAULT_ACTION_INTERVAL: Duration = Duration::from_millis(20);
const DEFAULT_MAX_ACTION_TIME: Duration = Duration::from_millis(100);
const DEFAULT_CONFIGURED_DRIFT: f64 = 0.01;
const DEFAULT_REQUIRED_CHANGES: usize = 1;

/// The former names of a scenario's keys.
const ALIASES: &[Alias] = &[
    Alias::new("voters", "acceptors"),
    Alias::new("lease", "lease_duration"),
    Alias::new("longest", "max_operation_duration"),
    Alias::new("twice", "duplication"),
    Alias::new("apart", "clock_drift"),
    Alias::new("off", "clock_offset"),
    Alias::new("drawn", "generated_faults"),
    Alias::new("changes", "required_holder_changes"),
];

/// The former names of a fault's keys.
const FAULT_ALIASES: &[Alias] = &[
    Alias::new("whom", "target"),
    Alias::new("what", "fault"),
    Alias::new("lasts", "duration"),
];

impl Scenario {
    /// Reads a scenario from YAML. Faults of the text name `file`.
    ///
    /// # Errors
    /// Returns all faults of the text, each with file, line and key.
    pub fn read(file: &str, contents: &str) -> Result<Scenario, Faults> {
        let file: Arc<str> = file.into();
        let tree = tree::parse(&file, contents)?;
        let mut faults = Faults::default();
        let scenario = read_scenario(&file, &tree, &mut faults);
        faults.into_result(scenario)
    }
}

/// Reads the keys of a map and collects their faults.
struct Keys<'a, 'f> {
    map: Reader<'a>,
    faults: &'f mut Faults,
}

impl<'a, 'f> Keys<'a, 'f> {
    fn new(map: Reader<'a>, faults: &'f mut Faults) -> Self {
        Keys { map, faults }
    }

    fn duration(&mut self, key: &'static str) -> Option<Duration> {
        self.map.take(key, self.faults, duration)
    }

    fn required_duration(&mut self, key: &'static str) -> Option<Duration> {
        self.map.need(key, self.faults, duration)
    }

    fn share(&mut self, key: &'static str) -> Option<f64> {
        self.map.take(key, self.faults, quantity::share)
    }

    fn count(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Option<usize> {
        let rule = |node: &Node| quantity::count(node, range);
        let count = self.map.take(key, self.faults, rule)?;
        Some(count as usize)
    }

    fn required_count(&mut self, key: &'static str, range: RangeInclusive<u64>) -> Option<usize> {
        let rule = |node: &Node| quantity::count(node, range);
        let count = self.map.need(key, self.faults, rule)?;
        Some(count as usize)
    }
}

fn duration(node: &Node) -> Result<Duration, ValueError> {
    quantity::duration(node).map(Duration::from_nanos)
}

/// Reads the keys in the order in which their faults are reported.
fn read_scenario(file: &Arc<str>, tree: &Node, faults: &mut Faults) -> Scenario {
    let map = Reader::new(file, "", tree, faults).with_aliases(ALIASES);
    let mut keys = Keys::new(map, faults);
    let limiters = keys.required_count("limiters", 1..=300).unwrap_or(1);
    let acceptors = keys.count("acceptors", 1..=limiters as u64).unwrap_or(1);
    let scenario = Scenario {
        limiters,
        acceptors,
        lease_length: keys
            .duration("lease_duration")
            .unwrap_or(DEFAULT_LEASE_LENGTH),
        action_interval: keys.duration("every").unwrap_or(DEFAULT_ACTION_INTERVAL),
        max_action_time: keys
            .duration("max_operation_duration")
            .unwrap_or(DEFAULT_MAX_ACTION_TIME),
        links: LinkFaults {
            loss: keys.share("loss").unwrap_or(0.0),
            duplication: keys.share("duplication").unwrap_or(0.0),
            max_delay: keys.duration("delay").unwrap_or_default(),
        },
        configured_drift: keys.share("drift").unwrap_or(DEFAULT_CONFIGURED_DRIFT),
        clocks: ClockFaults {
            rate_spread: keys.share("clock_drift").unwrap_or(0.0),
            max_wall_offset: keys.duration("clock_offset").unwrap_or_default(),
        },
        random_faults: keys.count("generated_faults", 0..=100).unwrap_or(0),
        duration: keys.required_duration("end").unwrap_or_default(),
        required_changes: keys
            .count("required_holder_changes", 0..=1_000)
            .unwrap_or(DEFAULT_REQUIRED_CHANGES),
        faults: read_faults(file, &mut keys),
    };
    if acceptors.is_multiple_of(2) {
        keys.map.fault(
            "acceptors",
            "even; an odd number has a majority on one side of any split",
            keys.faults,
        );
    }
    keys.map.end(keys.faults);
    scenario
}

fn read_faults(file: &Arc<str>, keys: &mut Keys<'_, '_>) -> Vec<Fault> {
    let nodes = keys.map.node("faults").map(list).unwrap_or_default();
    nodes
        .iter()
        .filter_map(|node| read_fault(file, node, keys.faults))
        .collect()
}

fn read_fault(file: &Arc<str>, node: &Node, faults: &mut Faults) -> Option<Fault> {
    let map = Reader::new(file, "faults", node, faults).with_aliases(FAULT_ALIASES);
    let mut keys = Keys::new(map, faults);
    let at = keys.required_duration("at");
    let target = keys.map.take("target", keys.faults, |node| {
        one_of(&text(node)?, &TARGET_KEYWORDS)
    });
    let kind = keys.map.need("fault", keys.faults, |node| {
        one_of(&text(node)?, &KIND_KEYWORDS)
    });
    let duration = keys.required_duration("duration");
    keys.map.end(keys.faults);
    Some(Fault {
        at: at?,
        target: target.unwrap_or(FaultTarget::LeaseHolder),
        kind: kind?,
        duration: duration?,
    })
}
