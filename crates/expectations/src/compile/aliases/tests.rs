//! Tests that the documentation lists every renamed key and keyword.

use super::*;

const CHANGELOG: &str = include_str!("../../../../../CHANGELOG.md");
const PAGE: &str = include_str!("../../../../../docs/expectations.md");

/// The tables of aliases, except [`REQUEST_EVENTS`].
const TABLES: [&[Alias]; 17] = [
    INSTALLATION_KEYS,
    GIVEN_KEYS,
    NETWORK_KEYS,
    HOST_KEYS,
    FACT_KEYS,
    SLOW_START_KEYS,
    CLASS_FACT_KEYS,
    REPEATS,
    COUNTER_KEYS,
    COUNTER_MODES,
    COUNTER_CALL_OUTCOMES,
    ATTEMPT_OUTCOMES,
    RETRY_KEYS,
    STEP_KEYS,
    DISCOVERY_MODES,
    REQUIREMENT_KEYS,
    REQUEST_KINDS,
];

#[test]
fn pages_list_every_former_and_present_name() {
    let tables = TABLES.into_iter().chain([REQUEST_EVENTS]);
    for Alias { former, present } in tables.flatten() {
        for name in [former, present] {
            assert!(
                CHANGELOG.contains(&format!("`{name}`")),
                "CHANGELOG.md: {name}"
            );
        }
        assert!(PAGE.contains(present), "docs/expectations.md: {present}");
    }
}
