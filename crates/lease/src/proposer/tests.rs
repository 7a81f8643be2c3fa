//! Tests of the proposer.

use super::*;

const TIMING: LeaseTiming = LeaseTiming {
    duration: 1_000_000,
    drift_per_mille: 10,
};

fn proposer(stagger_delay: Nanos) -> Proposer {
    let config = ProposerConfig {
        timing: TIMING,
        task: "t".to_owned(),
        node_id: 0,
        incarnation: 1,
        acceptor_count: 3,
        initial_round: 5,
    };
    let mut proposer = Proposer::new(config, 0);
    proposer.set_stagger_delay(0, stagger_delay);
    proposer
}

fn response(request: &Message, body: Body) -> Message {
    Message {
        body,
        ..request.clone()
    }
}

fn reject(remaining: Nanos) -> Body {
    Body::Reject {
        promised: Ballot::default(),
        remaining,
    }
}

#[test]
fn one_rejecting_acceptor_does_not_stop_a_majority() {
    let mut proposer = proposer(0);
    let prepare = proposer.tick(0).expect("a round is due");
    assert_eq!(
        proposer.handle_response(1, 0, &response(&prepare, reject(900_000))),
        None
    );
    assert_eq!(
        proposer.handle_response(1, 1, &response(&prepare, Body::Promise)),
        None
    );
    let propose = proposer
        .handle_response(1, 2, &response(&prepare, Body::Promise))
        .expect("two of three have promised");
    assert_eq!(
        proposer.handle_response(2, 1, &response(&propose, Body::Accepted)),
        None
    );
    proposer.handle_response(2, 2, &response(&propose, Body::Accepted));
    assert!(proposer.guard(3).is_some());
}

#[test]
fn round_rejected_by_a_majority_waits_for_the_first_lease_to_expire() {
    let mut proposer = proposer(7_000);
    let prepare = proposer.tick(7_000).expect("a round is due");
    proposer.handle_response(8_000, 0, &response(&prepare, reject(900_000)));
    proposer.handle_response(8_000, 0, &response(&prepare, reject(900_000)));
    assert_ne!(
        proposer.phase,
        Phase::Idle,
        "one acceptor counts once, however often it responds"
    );
    proposer.handle_response(8_000, 1, &response(&prepare, reject(400_000)));
    assert_eq!(
        (&proposer.phase, proposer.next_deadline()),
        (&Phase::Idle, 8_000 + 400_000 + 7_000)
    );
}

#[test]
fn round_after_a_release_waits_for_the_stagger_delay_and_not_for_the_expiry() {
    let mut proposer = proposer(7_000);
    let prepare = proposer.tick(7_000).expect("a round is due");
    for acceptor in 0..2 {
        proposer.handle_response(8_000, acceptor, &response(&prepare, reject(900_000)));
    }
    let release = |task: &str, proposer| Message {
        task: task.into(),
        ballot: Ballot {
            round: 9,
            proposer,
            incarnation: 1,
        },
        body: Body::Release,
    };
    for ignored in [release("another", 2), release("t", 0)] {
        proposer.handle_release(10_000, &ignored);
        assert_eq!(
            proposer.next_deadline(),
            915_000,
            "a release of another task or of its own has no effect"
        );
    }
    proposer.handle_release(10_000, &release("t", 2));
    assert!(
        proposer.next_deadline() < 10_000 + 7_000 + TIMING.holder_validity() / 10,
        "{}",
        proposer.next_deadline()
    );
    assert!(proposer.tick(proposer.next_deadline()).is_some());
}
