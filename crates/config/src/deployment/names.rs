//! The names by which formulas refer to settings: `plans.guide.burst`, `classes.bed-hold.aim`, `limits.attempts`,
//! `safety.drain`.

use super::Deployment;
use crate::fault::nearest;
use crate::formula::{SettingValue, UnknownSetting};
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
    field("open", "concurrency", |plan| {
        Value::Number(plan.max_concurrent_attempts.into())
    }),
    field("worth", "worthFactor", |plan| {
        Value::Number(plan.weight_factor)
    }),
    field("overrun", "overrunCost", |plan| {
        Value::Number(plan.over_quota_cost)
    }),
    field("extra", "extraWorth", |plan| {
        Value::Number(plan.over_quota_weight)
    }),
];

const CLASS_FIELDS: &[Field<Class>] = &[
    field("aim", "onTimeNs", |class| {
        Value::Time(class.latency_objective)
    }),
    field("deadline", "hardLimitNs", |class| {
        Value::Time(class.deadline)
    }),
    field("window", "dedupWindowNs", |class| {
        Value::Time(class.dedup_window)
    }),
    field("worth", "importance", |class| {
        Value::Number(class.priority_weight)
    }),
    field("late", "lateWorth", |class| {
        Value::Number(class.late_weight)
    }),
];

const LIMIT_FIELDS: &[Field<Settings>] = &[
    field("attempts", "limits.sendCap", |settings| {
        Value::Number(settings.attempts.max_per_request.into())
    }),
    field("open", "limits.openCap", |settings| {
        Value::Number(settings.attempts.max_requests_in_progress.into())
    }),
    field("come-back", "limits.maxRetryAfterNs", |settings| {
        Value::Time(settings.backoff.longest_retry_after)
    }),
    field("connect", "limits.connectTimeoutNs", |settings| {
        Value::Time(settings.attempts.connect_timeout)
    }),
];

const SAFETY_FIELDS: &[Field<Settings>] = &[
    field("drain", "safety.drainGraceNs", |settings| {
        Value::Time(settings.grace.drain)
    }),
    field("warm", "safety.warmAfterNs", |settings| {
        Value::Time(settings.slow_start.duration)
    }),
    field("tip", "safety.tipAfterNs", |settings| {
        Value::Time(settings.slow_start.overload_duration)
    }),
    field("cold", "safety.coldFrom", |settings| {
        Value::Number(settings.slow_start.initial_capacity)
    }),
    field("overload", "safety.overloadFactor", |settings| {
        Value::Number(settings.slow_start.overload_factor)
    }),
];

const COUNTER_TIMEOUT: Field<Settings> =
    field("timeout", "familyInfo.counterTimeoutNs", |settings| {
        Value::Time(settings.counter.timeout)
    });
const LARGEST_REQUEST: Field<Settings> = field("top", "familyInfo.unitsTop", |settings| {
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
            ["limits", field] => field_value(LIMIT_FIELDS, field, settings, ""),
            ["safety", field] => field_value(SAFETY_FIELDS, field, settings, ""),
            ["counter", "timeout"] => Ok(COUNTER_TIMEOUT.read(settings, "")),
            ["units", "top"] => Ok(LARGEST_REQUEST.read(settings, "")),
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
    field_value(PLAN_FIELDS, field, &settings.plans[index], &prefix)
}

fn class_value(settings: &Settings, class: &str, field: &str) -> Result<SettingValue, UnknownPart> {
    let names: Vec<_> = settings.classes.iter().map(|class| &*class.name).collect();
    let index = position(&names, class)?;
    let prefix = format!("categories.{index}.");
    field_value(CLASS_FIELDS, field, &settings.classes[index], &prefix)
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
    match fields.iter().find(|field| field.name == name) {
        Some(field) => Ok(field.read(object, key_prefix)),
        None => {
            let known: Vec<_> = fields.iter().map(|field| field.name).collect();
            Err(UnknownPart::new(name, &known))
        }
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
