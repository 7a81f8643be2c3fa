//! The names by which formulas refer to settings: `plans.guide.burst`, `classes.bed-hold.latency_objective`,
//! `limits.max_attempts`, `safety.drain_grace`.

use super::Deployment;
use crate::fault::nearest;
use crate::formula::{SettingValue, UnknownSetting};
use crate::reader::{present_name, Alias};
use quartzcleat_decision::api::{Class, Plan, Settings};

/// The value of a setting.
enum Value {
    Number(f64),
    /// A duration in nanoseconds.
    Time(u64),
}

/// A setting that formulas can name.
struct Field<T> {
    /// Its name in a formula.
    name: &'static str,
    /// Its key in the file, within the object that has it.
    key: &'static str,
    value: fn(&T) -> Value,
}

const fn field<T>(name: &'static str, key: &'static str, value: fn(&T) -> Value) -> Field<T> {
    Field { name, key, value }
}

const SECTIONS: [&str; 7] = [
    "plans", "classes", "limits", "safety", "counter", "units", "limiters",
];

const PLAN_FIELDS: &[Field<Plan>] = &[
    field("rate", "refill", |plan| Value::Number(plan.rate)),
    field("burst", "peakUnits", |plan| Value::Number(plan.burst)),
    field("max_concurrent_attempts", "concurrency", |plan| {
        Value::Number(plan.max_concurrent_attempts.into())
    }),
    field("weight", "worthFactor", |plan| {
        Value::Number(plan.weight_factor)
    }),
    field("over_quota_cost", "overrunCost", |plan| {
        Value::Number(plan.over_quota_cost)
    }),
    field("over_quota_weight", "extraWorth", |plan| {
        Value::Number(plan.over_quota_weight)
    }),
];
/// The former names of these fields.
const PLAN_ALIASES: &[Alias] = &[
    Alias::new("open", "max_concurrent_attempts"),
    Alias::new("worth", "weight"),
    Alias::new("overrun", "over_quota_cost"),
    Alias::new("extra", "over_quota_weight"),
];

const CLASS_FIELDS: &[Field<Class>] = &[
    field("latency_objective", "onTimeNs", |class| {
        Value::Time(class.latency_objective)
    }),
    field("deadline", "hardLimitNs", |class| {
        Value::Time(class.deadline)
    }),
    field("dedup_window", "dedupWindowNs", |class| {
        Value::Time(class.dedup_window)
    }),
    field("weight", "importance", |class| {
        Value::Number(class.priority_weight)
    }),
    field("late_weight", "lateWorth", |class| {
        Value::Number(class.late_weight)
    }),
];
/// The former names of these fields.
const CLASS_ALIASES: &[Alias] = &[
    Alias::new("aim", "latency_objective"),
    Alias::new("window", "dedup_window"),
    Alias::new("worth", "weight"),
    Alias::new("late", "late_weight"),
];

const LIMIT_FIELDS: &[Field<Settings>] = &[
    field("max_attempts", "limits.sendCap", |settings| {
        Value::Number(settings.attempts.max_per_request.into())
    }),
    field("max_requests_in_progress", "limits.openCap", |settings| {
        Value::Number(settings.attempts.max_requests_in_progress.into())
    }),
    field("max_retry_after", "limits.maxRetryAfterNs", |settings| {
        Value::Time(settings.backoff.longest_retry_after)
    }),
    field("connect_timeout", "limits.connectTimeoutNs", |settings| {
        Value::Time(settings.attempts.connect_timeout)
    }),
];
/// The former names of these fields.
const LIMIT_ALIASES: &[Alias] = &[
    Alias::new("attempts", "max_attempts"),
    Alias::new("open", "max_requests_in_progress"),
    Alias::new("come-back", "max_retry_after"),
    Alias::new("connect", "connect_timeout"),
];

const SAFETY_FIELDS: &[Field<Settings>] = &[
    field("drain_grace", "safety.drainGraceNs", |settings| {
        Value::Time(settings.grace.drain)
    }),
    field("slow_start_duration", "safety.warmAfterNs", |settings| {
        Value::Time(settings.slow_start.duration)
    }),
    field("overload_duration", "safety.tipAfterNs", |settings| {
        Value::Time(settings.slow_start.overload_duration)
    }),
    field("initial_capacity", "safety.coldFrom", |settings| {
        Value::Number(settings.slow_start.initial_capacity)
    }),
    field("overload_factor", "safety.overloadFactor", |settings| {
        Value::Number(settings.slow_start.overload_factor)
    }),
];
/// The former names of these fields.
const SAFETY_ALIASES: &[Alias] = &[
    Alias::new("drain", "drain_grace"),
    Alias::new("warm", "slow_start_duration"),
    Alias::new("tip", "overload_duration"),
    Alias::new("cold", "initial_capacity"),
    Alias::new("overload", "overload_factor"),
];

const COUNTER_TIMEOUT: Field<Settings> =
    field("timeout", "familyInfo.counterTimeoutNs", |settings| {
        Value::Time(settings.counter.timeout)
    });
const LARGEST_REQUEST: Field<Settings> = field("max", "familyInfo.unitsTop", |settings| {
    Value::Number(settings.units.largest_request)
});
const LIMITER_COUNT: Field<Settings> = field("limiters", "balancers", |settings| {
    Value::Number(settings.limiters.count.into())
});

/// A part of a name that is unknown, with the parts that are known in its position.
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

    fn of_name(self, name: &str) -> UnknownSetting {
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
    /// The setting that a name stands for.
    ///
    /// # Errors
    /// A part of the name is unknown.
    pub fn resolve(&self, name: &str) -> Result<SettingValue, UnknownSetting> {
        let settings = &self.settings;
        let parts: Vec<&str> = name.split('.').collect();
        let resolved = match parts.as_slice() {
            ["plans", plan, field] => plan_value(settings, plan, field),
            ["classes", class, field] => class_value(settings, class, field),
            ["limits", field] => field_value(
                LIMIT_FIELDS,
                present_name(field, LIMIT_ALIASES),
                settings,
                "",
            ),
            ["safety", field] => field_value(
                SAFETY_FIELDS,
                present_name(field, SAFETY_ALIASES),
                settings,
                "",
            ),
            ["counter", "timeout"] => Ok(COUNTER_TIMEOUT.read(settings, "")),
            ["units", "max" | "top"] => Ok(LARGEST_REQUEST.read(settings, "")),
            ["limiters"] => Ok(LIMITER_COUNT.read(settings, "")),
            _ => Err(UnknownPart::new(parts[0], &SECTIONS)),
        };
        resolved.map_err(|unknown| unknown.of_name(name))
    }
}

fn plan_value(settings: &Settings, plan: &str, field: &str) -> Result<SettingValue, UnknownPart> {
    let names: Vec<_> = settings.plans.iter().map(|plan| &*plan.name).collect();
    let index = position(&names, plan)?;
    let prefix = format!("contracts.{index}.");
    field_value(
        PLAN_FIELDS,
        present_name(field, PLAN_ALIASES),
        &settings.plans[index],
        &prefix,
    )
}

fn class_value(settings: &Settings, class: &str, field: &str) -> Result<SettingValue, UnknownPart> {
    let names: Vec<_> = settings.classes.iter().map(|class| &*class.name).collect();
    let index = position(&names, class)?;
    let prefix = format!("categories.{index}.");
    field_value(
        CLASS_FIELDS,
        present_name(field, CLASS_ALIASES),
        &settings.classes[index],
        &prefix,
    )
}

fn position(names: &[&str], name: &str) -> Result<usize, UnknownPart> {
    names
        .iter()
        .position(|known| *known == name)
        .ok_or_else(|| UnknownPart::new(name, names))
}

fn field_value<T>(
    fields: &[Field<T>],
    name: &str,
    object: &T,
    key_prefix: &str,
) -> Result<SettingValue, UnknownPart> {
    if let Some(field) = fields.iter().find(|field| field.name == name) {
        Ok(field.read(object, key_prefix))
    } else {
        let known: Vec<_> = fields.iter().map(|field| field.name).collect();
        Err(UnknownPart::new(name, &known))
    }
}

impl<T> Field<T> {
    fn read(&self, object: &T, key_prefix: &str) -> SettingValue {
        let (value, is_time) = match (self.value)(object) {
            Value::Number(number) => (number, false),
            Value::Time(nanos) => (nanos as f64, true),
        };
        SettingValue {
            value,
            is_time,
            key: format!("{key_prefix}{}", self.key),
        }
    }
}
