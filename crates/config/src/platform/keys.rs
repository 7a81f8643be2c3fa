//! The table of the platform's keys, and the keywords that their values accept.

use quartzcleat_decision::api::{DedupScope, Effect, ReportSource};

/// The type of a key's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A duration in nanoseconds.
    Duration,
    /// A number, including counts.
    Number,
    /// `true` or `false`.
    Flag,
    /// One of these keywords.
    Keyword(&'static [&'static str]),
    /// Free text that names a class or plan.
    Name,
}

/// A key of the platform's settings that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingKey {
    /// The path of the key, with `N` in place of list indices.
    pub pattern: &'static str,
    /// The type of the value.
    pub kind: Kind,
    /// The value of an absent key, as text.
    pub default: &'static str,
}

const fn key(pattern: &'static str, kind: Kind, default: &'static str) -> SettingKey {
    SettingKey {
        pattern,
        kind,
        default,
    }
}

pub(super) const EFFECTS: [(&str, Effect); 3] = [
    ("fragile", Effect::Unsafe),
    ("retryable", Effect::Idempotent),
    ("dedup", Effect::IdempotentWithKey),
];
pub(super) const DEDUP_SCOPES: [(&str, DedupScope); 3] = [
    ("cell", DedupScope::Cell),
    ("all", DedupScope::All),
    ("zone", DedupScope::Zone),
];
pub(super) const REPORT_SOURCES: [(&str, ReportSource); 3] = [
    ("none", ReportSource::None),
    ("answers", ReportSource::Answers),
    ("probe", ReportSource::HealthChecks),
];
/// The keywords of the discovery modes, and whether the mode polls.
pub(super) const DISCOVERY_MODES: [(&str, bool); 2] = [("push", false), ("ask", true)];

const EFFECT_KEYWORDS: [&str; 3] = keywords_of(&EFFECTS);
const DEDUP_SCOPE_KEYWORDS: [&str; 3] = keywords_of(&DEDUP_SCOPES);
const REPORT_SOURCE_KEYWORDS: [&str; 3] = keywords_of(&REPORT_SOURCES);
const DISCOVERY_MODE_KEYWORDS: [&str; 2] = keywords_of(&DISCOVERY_MODES);

const fn keywords_of<T, const COUNT: usize>(
    table: &[(&'static str, T); COUNT],
) -> [&'static str; COUNT] {
    let mut keywords = [""; COUNT];
    let mut index = 0;
    while index < COUNT {
        keywords[index] = table[index].0;
        index += 1;
    }
    keywords
}

/// All keys of the platform's settings that are read.
pub const KEYS: &[SettingKey] = &[
    key("categories.N.name", Kind::Name, ""),
    key(
        "categories.N.effect",
        Kind::Keyword(&EFFECT_KEYWORDS),
        "fragile",
    ),
    key(
        "categories.N.group",
        Kind::Keyword(&DEDUP_SCOPE_KEYWORDS),
        "cell",
    ),
    key("categories.N.dedupWindowNs", Kind::Duration, "0"),
    key("categories.N.onTimeNs", Kind::Duration, "0"),
    key("categories.N.aimStretch", Kind::Number, "0"),
    key("categories.N.hardLimitNs", Kind::Duration, "0"),
    key("categories.N.importance", Kind::Number, "0"),
    key("categories.N.lateWorth", Kind::Number, "0"),
    key("categories.N.stream", Kind::Flag, "false"),
    key("contracts.N.name", Kind::Name, ""),
    key("contracts.N.refill", Kind::Number, "0"),
    key("contracts.N.peakUnits", Kind::Number, "0"),
    key("contracts.N.concurrency", Kind::Number, "0"),
    key("contracts.N.worthFactor", Kind::Number, "0"),
    key("contracts.N.extraWorth", Kind::Number, "0"),
    key("contracts.N.overrunCost", Kind::Number, "0"),
    key("contracts.N.ceilingRate", Kind::Number, "0"),
    key("contracts.N.capDepth", Kind::Number, "0"),
    key("contracts.N.capSlack", Kind::Number, "0"),
    key("balancers", Kind::Number, "0"),
    key("me", Kind::Number, "0"),
    key("zone", Kind::Number, "0"),
    key("quantumNs", Kind::Duration, "0"),
    key(
        "registryMode",
        Kind::Keyword(&DISCOVERY_MODE_KEYWORDS),
        "push",
    ),
    key("stats.how", Kind::Keyword(&REPORT_SOURCE_KEYWORDS), "none"),
    key("familyInfo.counter", Kind::Flag, "false"),
    key("familyInfo.counterTimeoutNs", Kind::Duration, "0"),
    key("familyInfo.callPrice", Kind::Number, "0"),
    key("familyInfo.costAfter", Kind::Flag, "false"),
    key("familyInfo.unitsTop", Kind::Number, "0"),
    key("limits.mayCancel", Kind::Flag, "false"),
    key("limits.probing", Kind::Flag, "false"),
    key("limits.peers", Kind::Flag, "false"),
    key("limits.secondCopies", Kind::Flag, "false"),
    key("limits.retryAfter", Kind::Flag, "false"),
    key("limits.maxRetryAfterNs", Kind::Duration, "0"),
    key("limits.sendCap", Kind::Number, "0"),
    key("limits.openCap", Kind::Number, "0"),
    key("limits.connectTimeoutNs", Kind::Duration, "0"),
    key("safety.graceToAnswerNs", Kind::Duration, "0"),
    key("safety.drainGraceNs", Kind::Duration, "0"),
    key("safety.coldFrom", Kind::Number, "0"),
    key("safety.warmAfterNs", Kind::Duration, "0"),
    key("safety.overloadFactor", Kind::Number, "0"),
    key("safety.tipAfterNs", Kind::Duration, "0"),
    key("charges.crossZone", Kind::Number, "0"),
    key("charges.waste", Kind::Number, "0"),
    key("charges.lateFail", Kind::Number, "0"),
    key("charges.probe", Kind::Number, "0"),
];

/// Returns the key whose pattern matches a path with indices, or `None` if the key is not read.
#[must_use]
pub fn key_of(path: &str) -> Option<&'static SettingKey> {
    let pattern = pattern_of(path);
    KEYS.iter().find(|key| key.pattern == pattern)
}

/// Returns the path with its indices replaced by `N`.
fn pattern_of(path: &str) -> String {
    let parts: Vec<&str> = path
        .split('.')
        .map(|part| {
            if part.bytes().all(|byte| byte.is_ascii_digit()) {
                "N"
            } else {
                part
            }
        })
        .collect();
    parts.join(".")
}
