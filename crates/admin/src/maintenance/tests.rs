//! Tests of orders that override discovery, of their merging, and of the bound on recorded names.

use super::*;
use quartzcleat_decision::api::HostId;

fn entry(state: HostState, started: Nanos) -> HostEntry {
    HostEntry {
        host: HostId(1),
        state,
        started,
        ..HostEntry::default()
    }
}

#[test]
fn maintenance_overrides_discovery_until_the_host_is_enabled() {
    let mut registry = MaintenanceRegistry::default();
    assert_eq!(registry.disable("s", 10), Err(UnknownHost));
    assert_eq!(registry.enable("s", 10), Err(UnknownHost));
    registry.record_listed("s");
    assert_eq!(
        (registry.disable("s", 10), registry.disable("s", 11)),
        (
            Ok(MaintenanceChange::Changed),
            Ok(MaintenanceChange::Unchanged)
        )
    );
    for (listed, expected) in [
        (HostState::Ready, HostState::Draining),
        (HostState::Draining, HostState::Draining),
        (HostState::Gone, HostState::Gone),
        (HostState::Ready, HostState::Draining),
    ] {
        assert_eq!(registry.apply("s", &entry(listed, 12)).state, expected);
    }
    assert_eq!(
        (registry.enable("s", 20), registry.enable("s", 21)),
        (
            Ok(MaintenanceChange::Changed),
            Ok(MaintenanceChange::Unchanged)
        )
    );
    assert_eq!(
        registry.apply("s", &entry(HostState::Ready, 12)),
        entry(HostState::Ready, 12)
    );
    // Until discovery lists the host's restart, the host counts as started when it was enabled.
    assert_eq!(registry.apply("s", &entry(HostState::Ready, 5)).started, 20);
}

#[test]
fn later_order_of_two_processes_holds_whichever_arrives_first() {
    let mut one = MaintenanceRegistry::default();
    let mut two = MaintenanceRegistry::default();
    one.record_listed("s");
    one.disable("s", 10).expect("listed");
    assert_eq!(two.merge(one.orders()), ["s"]);
    two.enable("s", 20).expect("known by the order");
    let old = one.orders().clone();
    let new = two.orders().clone();
    assert!(two.merge(&old).is_empty() && !two.is_disabled("s"));
    assert_eq!(one.merge(&new), ["s"]);
    assert!(!one.is_disabled("s") && one.orders() == two.orders());
}

#[test]
fn listed_names_are_bounded() {
    let mut registry = MaintenanceRegistry::default();
    (0..MAX_LISTED_NAMES + 10).for_each(|n| registry.record_listed(&n.to_string()));
    assert_eq!(
        (registry.listed_names().count(), registry.disable("3", 1)),
        (MAX_LISTED_NAMES, Err(UnknownHost))
    );
}
