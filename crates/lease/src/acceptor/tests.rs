//! Tests of the acceptor.

use super::*;

fn message(round: u64, proposer: u32, body: Body) -> Message {
    Message {
        task: "t".into(),
        ballot: Ballot {
            round,
            proposer,
            incarnation: 1,
        },
        body,
    }
}

#[test]
fn rejected_ballot_does_not_prevent_the_holder_from_renewing() {
    let timing = LeaseTiming {
        duration: 1_000,
        drift_per_mille: 10,
    };
    let mut acceptor = Acceptor::new(timing, 0);
    assert_eq!(
        acceptor.handle(0, &message(1, 0, Body::Prepare)),
        None,
        "an acceptor is silent after its start"
    );
    let now = timing.restart_silence();
    assert_eq!(
        acceptor.handle(now, &message(1, 0, Body::Prepare)),
        Some(Body::Promise)
    );
    assert_eq!(
        acceptor.handle(now, &message(1, 0, Body::Propose)),
        Some(Body::Accepted)
    );
    let rejection = acceptor.handle(now, &message(9, 1, Body::Prepare));
    assert!(
        matches!(
            rejection,
            Some(Body::Reject {
                remaining: 1_000,
                ..
            })
        ),
        "{rejection:?}"
    );
    assert_eq!(
        acceptor.handle(now, &message(2, 0, Body::Prepare)),
        Some(Body::Promise),
        "the holder can renew"
    );
}
