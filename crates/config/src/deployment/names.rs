//! Resolution of the setting names that formulas use: `plans.guide.burst`, `classes.bed-hold.latency_objective`,
//! `limits.max_attempts`, `safety.drain_grace`.

use super::Deployment;
use crate::fault::nearest;
use crate::formula::{SettingValue, UnknownSetting};
use crate::reader::{present_name, Alias};
use quartzcleat_decision::api::{Class, Plan, Settings};

/// The function that returns a setting's value from its object.
enum Getter<T> {
    Number(fn(&T) -> f64),
    /// A duration in nanoseconds.
    Duration(fn(&T) -> u64),
}

/// A setting that formulas can refer to.
struct Field<T> {
    /// The name in formulas.
    name: &'static str,
    /// The key in the file, relative to the object.
    key: &'static str,
    getter: Getter<T>,
}

const fn number<T>(name: &'static str, key: &'static str, get: fn(&T) -> f64) -> Field<T> {
    Field {
        name,
        key,
        getter: Getter::Number(get),
    }
}

const fn duration<T>(name: &'static str, key: &'static str, get: fn(&T) -> u64) -> Field<T> {
    Field {
        name,
        key,
        getter: Getter::Duration(get),
    }
}

/// The settings of one type of object, and their former names.
struct Section<T: 'static> {
    fields: &'static [Field<T>],
    aliases: &'static [Alias],
}

const SECTIONS: [&str; 7] = [
    "plans", "classes", "limits", "safety", "counter", "units", "limiters",
];

const PLAN: Section<Plan> = Section {
    fields: &[
        number("rate", "refill", |plan| plan.rate),
        number("burst", "peakUnits", |plan| plan.burst),
        number("max_concurrent_attempts", "concurrency", |plan| {
            plan.max_concurrent_attempts.into()
        }),
        number("weight", "worthFactor", |plan| plan.weight_factor),
        number("over_quota_cost", "overrunCost", |plan| {
            plan.over_quota_cost
        }),
        number("over_quota_weight", "extraWorth", |plan| {
            plan.over_quota_weight
        }),
    ],
    aliases: &[
        Alias::new("open", "max_concurrent_attempts"),
        Alias::new("worth", "weight"),
        Alias::new("overrun", "over_quota_cost"),
        Alias::new("extra", "over_quota_weight"),
    ],
};

const CLASS: Section<Class> = Section {
    fields: &[
        duration("latency_objective", "onTimeNs", |class| {
            class.latency_objective
        }),
        duration("deadline", "hardLimitNs", |class| class.deadline),
        duration("dedup_window", "dedupWindowNs", |class| class.dedup_window),
        number("weight", "importance", |class| class.priority_weight),
        number("late_weight", "lateWorth", |class| class.late_weight),
    ],
    aliases: &[
        Alias::new("aim", "latency_objective"),
        Alias::new("window", "dedup_window"),
        Alias::new("worth", "weight"),
        Alias::new("late", "late_weight"),
    ],
};

const LIMITS: Section<Settings> = Section {
    fields: &[
        number("max_attempts", "limits.sendCap", |settings| {
            settings.attempts.max_per_request.into()
        }),
        number("max_requests_in_progress", "limits.openCap", |settings| {
            settings.attempts.max_requests_in_progress.into()
        }),
        duration("max_retry_after", "limits.maxRetryAfterNs", |settings| {
            settings.backoff.longest_retry_after
        }),
        duration("connect_timeout", "limits.connectTimeoutNs", |settings| {
            settings.attempts.connect_timeout
        }),
    ],
    aliases: &[
        Alias::new("attempts", "max_attempts"),
        Alias::new("open", "max_requests_in_progress"),
        Alias::new("come-back", "max_retry_after"),
        Alias::new("connect", "connect_timeout"),
    ],
};

const SAFETY: Section<Settings> = Section {
    fields: &[
        duration("drain_grace", "safety.drainGraceNs", |settings| {
            settings.grace.drain
        }),
        duration("slow_start_duration", "safety.warmAfterNs", |settings| {
            settings.slow_start.duration
        }),
        duration("overload_duration", "safety.tipAfterNs", |settings| {
            settings.slow_start.overload_duration
        }),
        number("initial_capacity", "safety.coldFrom", |settings| {
            settings.slow_start.initial_capacity
        }),
        number("overload_factor", "safety.overloadFactor", |settings| {
            settings.slow_start.overload_factor
        }),
    ],
    aliases: &[
        Alias::new("drain", "drain_grace"),
        Alias::new("warm", "slow_start_duration"),
        Alias::new("tip", "overload_duration"),
        Alias::new("cold", "initial_capacity"),
        Alias::new("overload", "overload_factor"),
    ],
};

const COUNTER_TIMEOUT: Field<Settings> =
    duration("timeout", "familyInfo.counterTimeoutNs", |settings| {
        settings.counter.timeout
    });
const LARGEST_REQUEST: Field<Settings> = number("max", "familyInfo.unitsTop", |settings| {
    settings.units.largest_request
});
const LIMITER_COUNT: Field<Settings> = number("limiters", "balancers", |settings| {
    settings.limiters.count.into()
});

/// An unknown part of a name, with the parts that are valid in its position.
struct UnknownPart {
    part: String,
    known: Vec<String>,
}

impl UnknownPart {
    fn new(part: &str, known: &[&str]) -> Self {
        UnknownPart {
            part: part.to_owned(),
            known: known.iter().map(ToString::to_string).collect(),
        }
    }

    fn into_error(self, name: &str) -> UnknownSetting {
        let nearest = nearest(&self.part, self.known.iter().map(String::as_str)).map(str::to_owned);
        let name = name.to_owned();
        match nearest {
            Some(nearest) => UnknownSetting::Misspelled {
                name,
                part: self.part,
                nearest,
            },
            None => UnknownSetting::Unknown {
                name,
                part: self.part,
                known: self.known,
            },
        }
    }
}

impl Deployment {
    /// Returns the setting that a name refers to.
    ///
    /// # Errors
    /// Returns an error if a part of the name is unknown.
    pub fn resolve(&self, name: &str) -> Result<SettingValue, UnknownSetting> {
        let settings = &self.settings;
        let parts: Vec<&str> = name.split('.').collect();
        let resolved = match parts.as_slice() {
            ["plans", plan, field] => plan_value(settings, plan, field),
            ["classes", class, field] => class_value(settings, class, field),
            ["limits", field] => LIMITS.value(field, settings, ""),
            ["safety", field] => SAFETY.value(field, settings, ""),
            ["counter", "timeout"] => Ok(COUNTER_TIMEOUT.value(settings, "")),
            ["units", "max" | "top"] => Ok(LARGEST_REQUEST.value(settings, "")),
            ["limiters"] => Ok(LIMITER_COUNT.value(settings, "")),
            _ => Err(UnknownPart::new(parts[0], &SECTIONS)),
        };
        resolved.map_err(|unknown| unknown.into_error(name))
    }
}

fn plan_value(settings: &Settings, plan: &str, field: &str) -> Result<SettingValue, UnknownPart> {
    let names: Vec<_> = settings.plans.iter().map(|plan| &*plan.name).collect();
    let index = position(&names, plan)?;
    let prefix = format!("contracts.{index}.");
    PLAN.value(field, &settings.plans[index], &prefix)
}

fn class_value(settings: &Settings, class: &str, field: &str) -> Result<SettingValue, UnknownPart> {
    let names: Vec<_> = settings.classes.iter().map(|class| &*class.name).collect();
    let index = position(&names, class)?;
    let prefix = format!("categories.{index}.");
    CLASS.value(field, &settings.classes[index], &prefix)
}

fn position(names: &[&str], name: &str) -> Result<usize, UnknownPart> {
    names
        .iter()
        .position(|known| *known == name)
        .ok_or_else(|| UnknownPart::new(name, names))
}

impl<T> Section<T> {
    /// Returns the value of the field with this present or former name. `key_prefix` is the path of the object in the
    /// file, with a trailing dot.
    fn value(&self, name: &str, object: &T, key_prefix: &str) -> Result<SettingValue, UnknownPart> {
        let name = present_name(name, self.aliases);
        let names: Vec<_> = self.fields.iter().map(|field| field.name).collect();
        let index = position(&names, name)?;
        Ok(self.fields[index].value(object, key_prefix))
    }
}

impl<T> Field<T> {
    fn value(&self, object: &T, key_prefix: &str) -> SettingValue {
        let (value, is_duration) = match self.getter {
            Getter::Number(get) => (get(object), false),
            Getter::Duration(get) => (get(object) as f64, true),
        };
        SettingValue {
            value,
            is_duration,
            key: format!("{key_prefix}{}", self.key),
        }
    }
}
