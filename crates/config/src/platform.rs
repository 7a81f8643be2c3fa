//! The platform's settings, as path=value pairs or as nested JSON, to what the decision module is told.

use quartzcleat_decision::api::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// A pair that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PairFault {
    /// The pair's path.
    pub path: String,
    /// What is wrong with it.
    pub problem: String,
}

/// What a pair's value is, for those who change one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A time in nanoseconds.
    Time,
    /// A number, a count among them.
    Number,
    /// `true` or `false`.
    Flag,
    /// One of some words.
    Word(&'static [&'static str]),
    /// A name.
    Name,
}

const EFFECTS: &[&str] = &["fragile", "retryable", "dedup"];
const GROUPS: &[&str] = &["cell", "all", "zone"];
const REPORTS: &[&str] = &["none", "answers", "probe"];
const REGISTRY: &[&str] = &["push", "ask"];

/// Every key that is read, `N` standing for a number in a list: its kind and the value that counts where it is
/// not told.
pub const KEYS: &[(&str, Kind, &str)] = &[
    ("categories.N.name", Kind::Name, ""),
    ("categories.N.effect", Kind::Word(EFFECTS), "fragile"),
    ("categories.N.group", Kind::Word(GROUPS), "cell"),
    ("categories.N.dedupWindowNs", Kind::Time, "0"),
    ("categories.N.onTimeNs", Kind::Time, "0"),
    ("categories.N.aimStretch", Kind::Number, "0"),
    ("categories.N.hardLimitNs", Kind::Time, "0"),
    ("categories.N.importance", Kind::Number, "0"),
    ("categories.N.lateWorth", Kind::Number, "0"),
    ("categories.N.stream", Kind::Flag, "false"),
    ("contracts.N.name", Kind::Name, ""),
    ("contracts.N.refill", Kind::Number, "0"),
    ("contracts.N.peakUnits", Kind::Number, "0"),
    ("contracts.N.concurrency", Kind::Number, "0"),
    ("contracts.N.worthFactor", Kind::Number, "0"),
    ("contracts.N.extraWorth", Kind::Number, "0"),
    ("contracts.N.overrunCost", Kind::Number, "0"),
    ("contracts.N.ceilingRate", Kind::Number, "0"),
    ("contracts.N.capDepth", Kind::Number, "0"),
    ("contracts.N.capSlack", Kind::Number, "0"),
    ("balancers", Kind::Number, "0"),
    ("me", Kind::Number, "0"),
    ("zone", Kind::Number, "0"),
    ("quantumNs", Kind::Time, "0"),
    ("registryMode", Kind::Word(REGISTRY), "push"),
    ("stats.how", Kind::Word(REPORTS), "none"),
    ("familyInfo.counter", Kind::Flag, "false"),
    ("familyInfo.counterTimeoutNs", Kind::Time, "0"),
    ("familyInfo.callPrice", Kind::Number, "0"),
    ("familyInfo.costAfter", Kind::Flag, "false"),
    ("familyInfo.unitsTop", Kind::Number, "0"),
    ("limits.mayCancel", Kind::Flag, "false"),
    ("limits.probing", Kind::Flag, "false"),
    ("limits.peers", Kind::Flag, "false"),
    ("limits.secondCopies", Kind::Flag, "false"),
    ("limits.retryAfter", Kind::Flag, "false"),
    ("limits.maxRetryAfterNs", Kind::Time, "0"),
    ("limits.sendCap", Kind::Number, "0"),
    ("limits.openCap", Kind::Number, "0"),
    ("limits.connectTimeoutNs", Kind::Time, "0"),
    ("safety.graceToAnswerNs", Kind::Time, "0"),
    ("safety.drainGraceNs", Kind::Time, "0"),
    ("safety.coldFrom", Kind::Number, "0"),
    ("safety.warmAfterNs", Kind::Time, "0"),
    ("safety.overloadFactor", Kind::Number, "0"),
    ("safety.tipAfterNs", Kind::Time, "0"),
    ("charges.crossZone", Kind::Number, "0"),
    ("charges.waste", Kind::Number, "0"),
    ("charges.lateFail", Kind::Number, "0"),
    ("charges.probe", Kind::Number, "0"),
];

/// The row of [`KEYS`] that a path falls under.
pub fn key_of(path: &str) -> Option<&'static (&'static str, Kind, &'static str)> {
    let mut pattern = String::new();
    for part in path.split('.') {
        let part = if part.bytes().all(|b| b.is_ascii_digit()) {
            "N"
        } else {
            part
        };
        let _ = write!(
            pattern,
            "{}{part}",
            if pattern.is_empty() { "" } else { "." }
        );
    }
    KEYS.iter().find(|(known, ..)| *known == pattern)
}

struct Pairs<'a> {
    pairs: BTreeMap<&'a str, &'a str>,
    faults: Vec<PairFault>,
}

impl<'a> Pairs<'a> {
    fn told(&self, key: &str) -> Option<&'a str> {
        self.pairs
            .get(key)
            .copied()
            .filter(|text| !matches!(*text, "-" | ""))
    }

    fn fault(&mut self, key: &str, problem: impl Into<String>) {
        self.faults.push(PairFault {
            path: key.to_owned(),
            problem: problem.into(),
        });
    }

    /// The value of a key, its type's empty value where the key is absent.
    fn get<T: std::str::FromStr + Default>(&mut self, key: &str) -> T {
        let Some(text) = self.told(key) else {
            return T::default();
        };
        text.parse().unwrap_or_else(|_| {
            self.fault(key, format!("cannot read {text:?}"));
            T::default()
        })
    }

    fn real(&mut self, key: &str) -> f64 {
        let value: f64 = self.get(key);
        if value.is_finite() {
            return value;
        }
        self.fault(key, "not a finite number");
        0.0
    }

    fn text(&self, key: &str) -> String {
        self.pairs
            .get(key)
            .map(|text| (*text).to_owned())
            .unwrap_or_default()
    }

    fn word<T: Copy + Default>(&mut self, key: &str, words: &[(&str, T)]) -> T {
        let Some(text) = self.told(key) else {
            return T::default();
        };
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return *value;
        }
        self.fault(key, format!("unknown word {text:?}"));
        T::default()
    }
}

/// More classes or plans than this nobody has; a count beyond it is a fault, not an allocation.
const MOST_LISTED: u32 = 4096;

/// Settings from path=value pairs. What is not told has its type's empty value.
///
/// # Errors
/// Every pair that cannot be read, in the order of reading.
pub fn decode(pairs: BTreeMap<&str, &str>) -> Result<Settings, Vec<PairFault>> {
    let mut p = Pairs {
        pairs,
        faults: Vec::new(),
    };
    let listed = |key: &str, p: &mut Pairs| {
        let count: u32 = p.get(key);
        if count > MOST_LISTED {
            p.fault(key, format!("more than {MOST_LISTED}"));
        }
        count.min(MOST_LISTED)
    };
    let mut classes = Vec::new();
    for i in 0..listed("categories.count", &mut p) {
        let key = |name: &str| format!("categories.{i}.{name}");
        let effects = [
            ("retryable", Effect::Retryable),
            ("dedup", Effect::Keyed),
            ("fragile", Effect::Unsafe),
        ];
        classes.push(Class {
            name: p.text(&key("name")),
            effect: p.word(&key("effect"), &effects),
            group: p.word(
                &key("group"),
                &[
                    ("all", Group::All),
                    ("zone", Group::Zone),
                    ("cell", Group::Cell),
                ],
            ),
            dedup_window: p.get(&key("dedupWindowNs")),
            latency_objective: p.get(&key("onTimeNs")),
            latency_objective_stretch: p.real(&key("aimStretch")),
            deadline: p.get(&key("hardLimitNs")),
            priority_weight: p.real(&key("importance")),
            late_weight: p.real(&key("lateWorth")),
            stream: p.get(&key("stream")),
        });
    }
    let mut plans = Vec::new();
    for i in 0..listed("contracts.count", &mut p) {
        let key = |name: &str| format!("contracts.{i}.{name}");
        plans.push(Plan {
            name: p.text(&key("name")),
            rate: p.real(&key("refill")),
            burst: p.real(&key("peakUnits")),
            open: p.real(&key("concurrency")) as u32,
            weight_factor: p.real(&key("worthFactor")),
            over_quota_weight: p.real(&key("extraWorth")),
            over_quota_cost: p.real(&key("overrunCost")),
            ceiling_rate: p.real(&key("ceilingRate")),
            ceiling_burst: p.real(&key("capDepth")),
            ceiling_slack: p.real(&key("capSlack")),
        });
    }
    let reports = [
        ("answers", ReportSource::Answers),
        ("probe", ReportSource::Probes),
        ("none", ReportSource::Nowhere),
    ];
    let settings = Settings {
        classes,
        plans,
        limiter_count: p.get("balancers"),
        me: p.get("me"),
        zone: p.get("zone"),
        tick: p.get("quantumNs"),
        discovery_by_polling: p.word("registryMode", &[("push", false), ("ask", true)]),
        reports: p.word("stats.how", &reports),
        counter: p.get("familyInfo.counter"),
        counter_timeout: p.get("familyInfo.counterTimeoutNs"),
        counter_price: p.real("familyInfo.callPrice"),
        settled_later: p.get("familyInfo.costAfter"),
        largest_request: p.real("familyInfo.unitsTop"),
        may_cancel: p.get("limits.mayCancel"),
        may_health_check: p.get("limits.probing"),
        may_message_peers: p.get("limits.peers"),
        hedged_requests: p.get("limits.secondCopies"),
        retry_after: p.get("limits.retryAfter"),
        longest_retry_after: p.get("limits.maxRetryAfterNs"),
        max_attempts: p.get("limits.sendCap"),
        max_open: p.get("limits.openCap"),
        connect_timeout: p.get("limits.connectTimeoutNs"),
        answer_grace: p.get("safety.graceToAnswerNs"),
        drain_grace: p.get("safety.drainGraceNs"),
        slow_start_floor: p.real("safety.coldFrom"),
        slow_start_duration: p.get("safety.warmAfterNs"),
        overload_factor: p.real("safety.overloadFactor"),
        overload_duration: p.get("safety.tipAfterNs"),
        cross_zone_price: p.real("charges.crossZone"),
        waste_price: p.real("charges.waste"),
        late_failure_price: p.real("charges.lateFail"),
        health_check_price: p.real("charges.probe"),
    };
    if p.faults.is_empty() {
        Ok(settings)
    } else {
        Err(p.faults)
    }
}

/// Settings as the platform's nested JSON, the reverse of [`flatten`] and [`decode`].
pub fn encode(settings: &Settings, rooms: &[String]) -> Value {
    let word = |words: &'static [&'static str], index: usize| words[index];
    let class = |class: &Class| {
        json!({
            "name": class.name,
            "effect": word(EFFECTS, match class.effect { Effect::Unsafe => 0, Effect::Retryable => 1, Effect::Keyed => 2 }),
            "group": word(GROUPS, match class.group { Group::Cell => 0, Group::All => 1, Group::Zone => 2 }),
            "dedupWindowNs": class.dedup_window,
            "onTimeNs": class.latency_objective,
            "aimStretch": class.latency_objective_stretch,
            "hardLimitNs": class.deadline,
            "importance": class.priority_weight,
            "lateWorth": class.late_weight,
            "stream": class.stream,
        })
    };
    let plan = |plan: &Plan| {
        json!({
            "name": plan.name,
            "refill": plan.rate,
            "peakUnits": plan.burst,
            "concurrency": plan.open,
            "worthFactor": plan.weight_factor,
            "extraWorth": plan.over_quota_weight,
            "overrunCost": plan.over_quota_cost,
            "ceilingRate": plan.ceiling_rate,
            "capDepth": plan.ceiling_burst,
            "capSlack": plan.ceiling_slack,
        })
    };
    let reports = match settings.reports {
        ReportSource::Nowhere => 0,
        ReportSource::Answers => 1,
        ReportSource::Probes => 2,
    };
    json!({
        "categories": settings.classes.iter().map(class).collect::<Vec<_>>(),
        "contracts": settings.plans.iter().map(plan).collect::<Vec<_>>(),
        "balancers": settings.limiter_count,
        "me": settings.me,
        "zone": settings.zone,
        "zones": rooms,
        "quantumNs": settings.tick,
        "registryMode": word(REGISTRY, usize::from(settings.discovery_by_polling)),
        "stats": { "how": word(REPORTS, reports) },
        "familyInfo": {
            "counter": settings.counter,
            "counterTimeoutNs": settings.counter_timeout,
            "callPrice": settings.counter_price,
            "costAfter": settings.settled_later,
            "unitsTop": settings.largest_request,
        },
        "limits": {
            "mayCancel": settings.may_cancel,
            "probing": settings.may_health_check,
            "peers": settings.may_message_peers,
            "secondCopies": settings.hedged_requests,
            "retryAfter": settings.retry_after,
            "maxRetryAfterNs": settings.longest_retry_after,
            "sendCap": settings.max_attempts,
            "openCap": settings.max_open,
            "connectTimeoutNs": settings.connect_timeout,
        },
        "safety": {
            "graceToAnswerNs": settings.answer_grace,
            "drainGraceNs": settings.drain_grace,
            "coldFrom": settings.slow_start_floor,
            "warmAfterNs": settings.slow_start_duration,
            "overloadFactor": settings.overload_factor,
            "tipAfterNs": settings.overload_duration,
        },
        "charges": {
            "crossZone": settings.cross_zone_price,
            "waste": settings.waste_price,
            "lateFail": settings.late_failure_price,
            "probe": settings.health_check_price,
        },
    })
}

/// Lays nested JSON out as path=value pairs.
///
/// # Errors
/// What has no such form: lists within lists, or anything but an object at the top.
pub fn flatten(settings: &Value) -> Result<BTreeMap<String, String>, String> {
    let mut pairs = BTreeMap::new();
    below("", settings, &mut pairs)?;
    Ok(pairs)
}

fn below(path: &str, value: &Value, pairs: &mut BTreeMap<String, String>) -> Result<(), String> {
    let under = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(members) => members
            .iter()
            .try_for_each(|(name, value)| below(&under(name), value, pairs)),
        Value::Array(list) if list.iter().any(Value::is_object) => {
            pairs.insert(under("count"), list.len().to_string());
            list.iter()
                .enumerate()
                .try_for_each(|(i, value)| below(&under(&i.to_string()), value, pairs))
        }
        Value::Array(list) => {
            let texts: Result<Vec<_>, _> = list.iter().map(|value| plain(path, value)).collect();
            pairs.insert(path.to_owned(), texts?.join(","));
            Ok(())
        }
        _ if path.is_empty() => Err("settings: not an object".to_owned()),
        _ => {
            pairs.insert(path.to_owned(), plain(path, value)?);
            Ok(())
        }
    }
}

fn plain(path: &str, value: &Value) -> Result<String, String> {
    Ok(match value {
        Value::Null => "-".to_owned(),
        Value::Bool(flag) => flag.to_string(),
        Value::String(text) => text.clone(),
        // A whole number may be written as 3.0 or 5e9, and is still one.
        Value::Number(number) => match number.as_f64() {
            Some(real) if number.is_f64() && real.fract() == 0.0 && real.abs() < 9e15 => {
                (real as i64).to_string()
            }
            _ => number.to_string(),
        },
        _ => {
            return Err(format!(
                "settings.{path}: lists within lists are not known here"
            ))
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_fault_is_found_at_once() {
        let pairs = [
            ("balancers", "many"),
            ("limits.sendCap", "-1"),
            ("stats.how", "often"),
            ("me", "0"),
        ];
        let faults = decode(pairs.into_iter().collect()).expect_err("three faults");
        let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
        assert_eq!(paths, ["balancers", "stats.how", "limits.sendCap"]);
        assert!(decode([("categories.count", "4000000000")].into_iter().collect()).is_err());
    }

    /// The table says of each key what the reader does with it: its default is read as if it were not told.
    #[test]
    fn the_table_and_the_reader_agree() {
        let counts = [("categories.count", "1"), ("contracts.count", "1")];
        let silent = decode(counts.into_iter().collect()).expect("sound");
        for (pattern, kind, default) in KEYS {
            let path = pattern.replace(".N.", ".0.");
            assert_eq!(key_of(&path).map(|row| row.0), Some(*pattern));
            let told = |value: &str| {
                decode(counts.into_iter().chain([(path.as_str(), value)]).collect())
                    .unwrap_or_else(|faults| panic!("{path}: {faults:?}"))
            };
            assert_eq!(told(default), silent, "{path}");
            let other = match kind {
                Kind::Time | Kind::Number => "7",
                Kind::Flag => "true",
                Kind::Word(words) => words[1],
                Kind::Name => "x",
            };
            let other = told(other);
            assert_ne!(other, silent, "{path} is read");
            // What is encoded is read back as it was.
            let pairs = flatten(&encode(&other, &[])).expect("it has a flat form");
            let again = decode(
                pairs
                    .iter()
                    .map(|(key, value)| (key.as_str(), value.as_str()))
                    .collect(),
            );
            assert_eq!(again, Ok(other), "{path} is written");
        }
    }
}
