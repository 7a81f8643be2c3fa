//! The damages to a day's settings, one key each.

/// A value that a damage puts in a key's place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum DamagedValue {
    /// A number, in the key's own unit.
    Number(f64),
    /// A flag.
    Flag(bool),
    /// One of the key's words.
    Keyword(&'static str),
}

/// A single change to a day's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SettingDamage {
    /// The path of the key.
    pub key: &'static str,
    /// Its value then.
    pub value: DamagedValue,
    /// The mistake of an operator that it stands for.
    pub description: &'static str,
}

const fn number(key: &'static str, value: f64, description: &'static str) -> SettingDamage {
    SettingDamage {
        key,
        value: DamagedValue::Number(value),
        description,
    }
}

const fn flag(key: &'static str, value: bool, description: &'static str) -> SettingDamage {
    SettingDamage {
        key,
        value: DamagedValue::Flag(value),
        description,
    }
}

const fn keyword(
    key: &'static str,
    value: &'static str,
    description: &'static str,
) -> SettingDamage {
    SettingDamage {
        key,
        value: DamagedValue::Keyword(value),
        description,
    }
}

/// All damages, in the order of the report.
pub(super) const DAMAGES: &[SettingDamage] = &[
    keyword(
        "categories.0.effect",
        "fragile",
        "a bed-check may not be repeated",
    ),
    number("categories.0.onTimeNs", 200e6, "a tenth of the aim"),
    number(
        "categories.0.onTimeNs",
        7e9,
        "an aim of nearly the whole time",
    ),
    number(
        "categories.0.hardLimitNs",
        2.1e9,
        "clients wait no longer than the aim",
    ),
    keyword(
        "categories.1.effect",
        "retryable",
        "a bed-hold is taken for safe to repeat",
    ),
    keyword(
        "categories.1.effect",
        "fragile",
        "a bed-hold may not be repeated",
    ),
    keyword("categories.1.group", "cell", "only a cell drops repeats"),
    keyword("categories.1.group", "zone", "only a room drops repeats"),
    number("categories.1.dedupWindowNs", 1e6, "repeats drop for 1 ms"),
    number("categories.1.dedupWindowNs", 0.0, "repeats never drop"),
    number(
        "categories.1.dedupWindowNs",
        60e9,
        "repeats drop for a minute",
    ),
    number("categories.1.onTimeNs", 100e6, "a tenth of the aim"),
    number(
        "categories.1.onTimeNs",
        3.9e9,
        "an aim of nearly the whole time",
    ),
    number("categories.1.hardLimitNs", 500e6, "less time than the aim"),
    number("contracts.0.refill", 8.0, "five times the guides' rate"),
    number("contracts.0.refill", 0.2, "an eighth of the guides' rate"),
    number("contracts.0.refill", 0.0, "guides without a quota"),
    number(
        "contracts.0.peakUnits",
        40.0,
        "five times the guides' burst",
    ),
    number("contracts.0.peakUnits", 2.0, "a burst below one request"),
    number("contracts.1.refill", 23.0, "five times the agencies' rate"),
    number("contracts.1.refill", 0.5, "a ninth of the agencies' rate"),
    number("contracts.1.refill", 0.0, "agencies without a quota"),
    number(
        "contracts.1.peakUnits",
        110.0,
        "five times the agencies' burst",
    ),
    number(
        "contracts.1.peakUnits",
        6.0,
        "a quarter of the agencies' burst",
    ),
    number(
        "contracts.2.refill",
        100.0,
        "five times the operators' rate",
    ),
    number("contracts.2.refill", 1.9, "a tenth of the operators' rate"),
    number("contracts.2.refill", 0.0, "operators without a quota"),
    number(
        "contracts.2.peakUnits",
        180.0,
        "five times the operators' burst",
    ),
    number(
        "contracts.2.peakUnits",
        6.0,
        "a sixth of the operators' burst",
    ),
    number("contracts.2.concurrency", 1.0, "one attempt at once"),
    number("contracts.2.concurrency", 0.0, "no cap on attempts at once"),
    flag("familyInfo.counter", false, "no counter"),
    number("familyInfo.counterTimeoutNs", 1e6, "1 ms for a call"),
    number("familyInfo.counterTimeoutNs", 2e9, "2 s for a call"),
    number("familyInfo.unitsTop", 1.0, "the largest request counts 1"),
    number("familyInfo.unitsTop", 60.0, "the largest request counts 60"),
    flag(
        "limits.retryAfter",
        false,
        "nobody is told when to come back",
    ),
    number(
        "limits.maxRetryAfterNs",
        60e9,
        "to come back after a minute",
    ),
    number("limits.maxRetryAfterNs", 0.0, "no time to come back"),
    number("limits.sendCap", 1.0, "one attempt"),
    number("limits.sendCap", 0.0, "no attempt"),
    number("limits.sendCap", 6.0, "six attempts"),
    number("safety.coldFrom", 1.0, "a new node is taken for warm"),
    number("safety.coldFrom", 15.0, "a part of 15 instead of 0.15"),
    number("safety.warmAfterNs", 0.0, "warm at once"),
    number("safety.warmAfterNs", 180e9, "cold for three minutes"),
    number(
        "safety.overloadFactor",
        1.0,
        "no margin: nothing to a cold node",
    ),
    number(
        "safety.overloadFactor",
        60.0,
        "sixty times too much would not tip",
    ),
];
