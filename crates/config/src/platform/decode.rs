//! Decoder of settings from `path=value` pairs.

use super::keys::{DEDUP_SCOPES, DISCOVERY_MODES, EFFECTS, REPORT_SOURCES};
use quartzcleat_decision::api::{
    AttemptSettings, BackoffSettings, Capabilities, Class, CounterSettings, DiscoverySettings,
    GraceSettings, LimiterIndex, LimiterSettings, Plan, PriceSettings, Settings, SlowStartSettings,
    UnitSettings, ZoneId,
};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Maximum number of classes or plans. A higher count is a fault, so that a corrupt one causes no large allocation.
const MAX_LIST_LENGTH: u32 = 4096;

/// A pair with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct PairFault {
    /// The path of the pair's key.
    pub path: String,
    /// Why the value is invalid.
    pub problem: PairProblem,
}

/// The reason why a pair's value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PairProblem {
    /// A value that cannot be parsed as the type of its key.
    #[error("cannot read {text:?}")]
    Unparsable {
        /// The value as text.
        text: String,
    },
    /// A number that is infinite or NaN.
    #[error("not a finite number")]
    NotFinite,
    /// A keyword that its key does not accept.
    #[error("unknown keyword {text:?}")]
    UnknownKeyword {
        /// The unknown keyword.
        text: String,
    },
    /// A count of classes or plans above the maximum.
    #[error("exceeds the maximum of {MAX_LIST_LENGTH}")]
    ListTooLong,
}

/// Decodes settings from `path=value` pairs. An absent key gets the default of its type.
///
/// # Errors
/// Returns every pair with an invalid value, in decoding order.
pub fn decode(pairs: BTreeMap<&str, &str>) -> Result<Settings, Vec<PairFault>> {
    let mut reader = PairReader {
        pairs,
        faults: Vec::new(),
    };
    let class_count = reader.list_length("categories.count");
    let classes = (0..class_count).map(|index| reader.class(index)).collect();
    let plan_count = reader.list_length("contracts.count");
    let plans = (0..plan_count).map(|index| reader.plan(index)).collect();
    let settings = reader.settings(classes, plans);
    if reader.faults.is_empty() {
        Ok(settings)
    } else {
        Err(reader.faults)
    }
}

/// A reader that looks values up by their keys and collects the faults.
struct PairReader<'a> {
    pairs: BTreeMap<&'a str, &'a str>,
    faults: Vec<PairFault>,
}

impl<'a> PairReader<'a> {
    /// Returns the value of a key. `-` and an empty value stand for an absent key.
    fn value(&self, key: &str) -> Option<&'a str> {
        self.pairs
            .get(key)
            .copied()
            .filter(|text| !matches!(*text, "-" | ""))
    }

    fn add_fault(&mut self, key: &str, problem: PairProblem) {
        self.faults.push(PairFault {
            path: key.to_owned(),
            problem,
        });
    }

    fn parse<T: FromStr + Default>(&mut self, key: &str) -> T {
        let Some(text) = self.value(key) else {
            return T::default();
        };
        text.parse().unwrap_or_else(|_| {
            let text = text.to_owned();
            self.add_fault(key, PairProblem::Unparsable { text });
            T::default()
        })
    }

    fn number(&mut self, key: &str) -> f64 {
        let value: f64 = self.parse(key);
        if value.is_finite() {
            return value;
        }
        self.add_fault(key, PairProblem::NotFinite);
        0.0
    }

    /// Returns the name that a key holds, or an empty one if the key is absent. Unlike in [`Self::value`], `-` is
    /// valid.
    fn text(&self, key: &str) -> String {
        self.pairs
            .get(key)
            .map(|text| (*text).to_owned())
            .unwrap_or_default()
    }

    fn keyword<T: Copy + Default>(&mut self, key: &str, keywords: &[(&str, T)]) -> T {
        let Some(text) = self.value(key) else {
            return T::default();
        };
        if let Some((_, value)) = keywords.iter().find(|(keyword, _)| *keyword == text) {
            return *value;
        }
        let text = text.to_owned();
        self.add_fault(key, PairProblem::UnknownKeyword { text });
        T::default()
    }

    fn list_length(&mut self, key: &str) -> u32 {
        let count: u32 = self.parse(key);
        if count > MAX_LIST_LENGTH {
            self.add_fault(key, PairProblem::ListTooLong);
        }
        count.min(MAX_LIST_LENGTH)
    }

    fn class(&mut self, index: u32) -> Class {
        let key = |name: &str| format!("categories.{index}.{name}");
        Class {
            name: self.text(&key("name")),
            effect: self.keyword(&key("effect"), &EFFECTS),
            dedup_scope: self.keyword(&key("group"), &DEDUP_SCOPES),
            dedup_window: self.parse(&key("dedupWindowNs")),
            latency_objective: self.parse(&key("onTimeNs")),
            latency_objective_stretch: self.number(&key("aimStretch")),
            deadline: self.parse(&key("hardLimitNs")),
            priority_weight: self.number(&key("importance")),
            late_weight: self.number(&key("lateWorth")),
            stream: self.parse(&key("stream")),
        }
    }

    fn plan(&mut self, index: u32) -> Plan {
        let key = |name: &str| format!("contracts.{index}.{name}");
        Plan {
            name: self.text(&key("name")),
            rate: self.number(&key("refill")),
            burst: self.number(&key("peakUnits")),
            max_concurrent_attempts: self.number(&key("concurrency")) as u32,
            weight_factor: self.number(&key("worthFactor")),
            over_quota_weight: self.number(&key("extraWorth")),
            over_quota_cost: self.number(&key("overrunCost")),
            ceiling_rate: self.number(&key("ceilingRate")),
            ceiling_burst: self.number(&key("capDepth")),
            ceiling_slack: self.number(&key("capSlack")),
        }
    }

    fn settings(&mut self, classes: Vec<Class>, plans: Vec<Plan>) -> Settings {
        // The order of the fields determines the order in which faults are reported.
        Settings {
            classes,
            plans,
            limiters: self.limiters(),
            discovery: self.discovery(),
            counter: self.counter(),
            units: self.units(),
            capabilities: self.capabilities(),
            backoff: self.backoff(),
            attempts: self.attempts(),
            grace: self.grace(),
            slow_start: self.slow_start(),
            prices: self.prices(),
        }
    }

    fn limiters(&mut self) -> LimiterSettings {
        LimiterSettings {
            count: self.parse("balancers"),
            own_index: LimiterIndex(self.parse("me")),
            own_zone: ZoneId(self.parse("zone")),
            tick: self.parse("quantumNs"),
        }
    }

    fn discovery(&mut self) -> DiscoverySettings {
        DiscoverySettings {
            is_polled: self.keyword("registryMode", &DISCOVERY_MODES),
            report_source: self.keyword("stats.how", &REPORT_SOURCES),
        }
    }

    fn counter(&mut self) -> CounterSettings {
        CounterSettings {
            is_available: self.parse("familyInfo.counter"),
            timeout: self.parse("familyInfo.counterTimeoutNs"),
            call_price: self.number("familyInfo.callPrice"),
        }
    }

    fn units(&mut self) -> UnitSettings {
        UnitSettings {
            are_estimates: self.parse("familyInfo.costAfter"),
            largest_request: self.number("familyInfo.unitsTop"),
        }
    }

    fn capabilities(&mut self) -> Capabilities {
        Capabilities {
            cancel: self.parse("limits.mayCancel"),
            health_checks: self.parse("limits.probing"),
            peer_messages: self.parse("limits.peers"),
            hedged_requests: self.parse("limits.secondCopies"),
        }
    }

    fn backoff(&mut self) -> BackoffSettings {
        BackoffSettings {
            sends_retry_after: self.parse("limits.retryAfter"),
            longest_retry_after: self.parse("limits.maxRetryAfterNs"),
        }
    }

    fn attempts(&mut self) -> AttemptSettings {
        AttemptSettings {
            max_per_request: self.parse("limits.sendCap"),
            max_requests_in_progress: self.parse("limits.openCap"),
            connect_timeout: self.parse("limits.connectTimeoutNs"),
        }
    }

    fn grace(&mut self) -> GraceSettings {
        GraceSettings {
            answer: self.parse("safety.graceToAnswerNs"),
            drain: self.parse("safety.drainGraceNs"),
        }
    }

    fn slow_start(&mut self) -> SlowStartSettings {
        SlowStartSettings {
            initial_capacity: self.number("safety.coldFrom"),
            duration: self.parse("safety.warmAfterNs"),
            overload_factor: self.number("safety.overloadFactor"),
            overload_duration: self.parse("safety.tipAfterNs"),
        }
    }

    fn prices(&mut self) -> PriceSettings {
        PriceSettings {
            cross_zone: self.number("charges.crossZone"),
            waste: self.number("charges.waste"),
            late_failure: self.number("charges.lateFail"),
            health_check: self.number("charges.probe"),
        }
    }
}
