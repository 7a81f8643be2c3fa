//! Model checking of leases with three acceptors, two proposers and a target.
//!
//! `search::exhaustive` explores every order of events up to a depth; `search::random_walks` explores longer orders at
//! random. The model covers these conditions:
//!
//! - Requests are lost, delayed, repeated and reordered, as none is ever removed from the network.
//! - Responses arrive at once or are lost. Late responses are covered by the tests with processes.
//! - An acceptor or a proposer restarts and loses its state.
//! - Operations are delayed on their way to the target.
//! - Clock rates differ within the configured bound.
//!
//! The search must find a violation for each injected fault.

mod initial;
mod model;
mod search;
mod state;

use search::{exhaustive, random_walks};
use state::InjectedFault;

#[test]
fn no_order_of_events_admits_two_holders_or_a_stale_token() {
    let result = exhaustive(InjectedFault::None, 7);
    println!("{} states", result.states);
    assert!(!result.violated);
    // The depth suffices for a proposal to be accepted twice, which is possible without the silence after a restart.
    assert!(exhaustive(InjectedFault::NoRestartSilence, 7).violated);
}

#[test]
fn random_walks_find_each_injected_fault_and_no_violation_without_one() {
    for fault in [
        InjectedFault::NoRestartSilence,
        InjectedFault::NoDriftBound,
        InjectedFault::SmallQuorum,
        InjectedFault::TokenUnchecked,
        InjectedFault::OperationWithoutGuard,
        InjectedFault::HolderValidityTooLong,
        InjectedFault::AcceptedProposalNotStored,
        InjectedFault::PromiseIgnored,
        InjectedFault::ClockSetBack,
        InjectedFault::OperationsAfterRelease,
    ] {
        let result = random_walks(fault, 40_000);
        println!("{fault:?}: {:?}", result.violation);
        assert!(
            result.violation.is_some(),
            "{fault:?}: no violation was found"
        );
    }
    let result = random_walks(InjectedFault::None, 40_000);
    assert_eq!(result.violation, None);
    let takeovers = result.takeovers;
    println!("{takeovers} of 40000 walks had a takeover");
    assert!(
        takeovers >= 50,
        "only {takeovers} of 40,000 walks had a takeover after an operation"
    );
}
