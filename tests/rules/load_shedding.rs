//! Load shedding and concurrency limits follow the lateness of answers.

use crate::common::*;
use quartzcleat::api::*;

#[test]
fn late_answers_lower_admission_ratio_and_prompt_ones_restore_it() {
    let mut rig = Rig::new(
        settings_with(|settings| {
            settings.counter.is_available = false;
        }),
        40,
    );
    let mut run = |elapsed: u64| {
        let mut refusals = 0;
        for customer in 0..100 {
            rig.now += 100 * MS;
            let (id, actions) = rig.request(0, customer, 1.0);
            refusals += usize::from(rejected(&actions, id).is_some());
            if let Some((id, host)) = attempt(&actions) {
                rig.ended(
                    id,
                    host,
                    Ended {
                        elapsed,
                        ..Ended::default()
                    },
                );
            }
        }
        refusals
    };
    assert_eq!(run(100 * MS), 0);
    assert!(
        run(900 * MS) > 50,
        "most are rejected while answers take 0.9 of the objective"
    );
    let recovering: Vec<usize> = (0..4).map(|_| run(100 * MS)).collect();
    assert!(recovering[0] > recovering[3]);
    assert_eq!(run(100 * MS), 0, "all are admitted again");
}

#[test]
fn shed_request_gets_retry_after_within_its_latency_objective() {
    let mut set = settings();
    set.plans[0].rate = 0.0;
    let mut rig = Rig::new(set, 4);
    let mut shed = 0;
    for customer in 0..40 {
        rig.now += 100 * MS;
        let (id, actions) = rig.request(0, customer, 1.0);
        if let Some(retry_after) = rejected(&actions, id) {
            assert!(
                retry_after > 0 && retry_after <= S / 2,
                "{retry_after} of an objective of a second"
            );
            shed += 1;
        }
        if let Some((id, host)) = attempt(&actions) {
            // Every answer is late: the next requests are shed.
            rig.ended(
                id,
                host,
                Ended {
                    elapsed: S - MS,
                    ..Ended::default()
                },
            );
        }
    }
    assert!(shed > 10, "{shed} shed");
}

#[test]
fn lost_answers_shed_little_while_others_are_prompt() {
    // Four in ten answers never come; the others take a twentieth of their objective, or four tenths.
    for (elapsed, sheds) in [(S / 20, false), (S * 2 / 5, true)] {
        let mut set = settings();
        set.plans[0].rate = 0.0;
        let mut rig = Rig::new(set, 20);
        let (mut shed, mut out) = (0, Vec::<(u64, RequestId, HostId, bool)>::new());
        for customer in 0..400 {
            rig.now += 20 * MS;
            let (done, rest): (Vec<_>, Vec<_>) =
                out.into_iter().partition(|(due, ..)| *due <= rig.now);
            out = rest;
            for (_, id, host, answered) in done {
                if answered {
                    rig.ended(
                        id,
                        host,
                        Ended {
                            elapsed,
                            ..Ended::default()
                        },
                    );
                } else {
                    rig.timer(Timer::LatencyObjective { id });
                    rig.done(id, 0, host, Outcome::Cancelled, true);
                }
            }
            let (id, actions) = rig.request(0, customer, 1.0);
            shed += usize::from(rejected(&actions, id).is_some());
            if let Some((id, host)) = attempt(&actions) {
                let answered = customer % 5 > 1;
                out.push((
                    rig.now + if answered { elapsed } else { S },
                    id,
                    host,
                    answered,
                ));
            }
        }
        assert_eq!(shed > 100, sheds, "{shed} of 400 shed");
    }
}

#[test]
fn limiter_starts_with_its_share_of_concurrency() {
    // Each host gets six attempts at the start from all limiters together: hundreds of them cannot overload the hosts.
    for (limiter_count, share) in [(2, 30), (20, 3), (340, 1)] {
        let mut set = settings();
        set.limiters.count = limiter_count;
        set.plans[0].rate = 0.0;
        let mut rig = Rig::new(set, 10);
        let mut sent = Vec::new();
        for customer in 0..60 {
            let (_, actions) = rig.request(0, customer, 1.0);
            sent.extend(attempt(&actions));
        }
        assert!(
            sent.len() <= share && sent.len() * 2 >= share,
            "{} sent by one of {limiter_count}",
            sent.len()
        );
        // Each prompt answer gives capacity to a queued request, and a little more.
        for _ in 0..20 {
            rig.now += MS;
            let (id, host) = sent.remove(0);
            sent.extend(
                rig.done(id, 0, host, Outcome::Good, true)
                    .iter()
                    .filter_map(as_attempt),
            );
            assert!(!sent.is_empty());
        }
        assert!(
            sent.len() > share.min(15),
            "{} in flight after prompt answers, {share} at the start",
            sent.len()
        );
    }
}

#[test]
fn concurrency_limit_follows_listed_hosts() {
    let mut set = settings();
    set.limiters.count = 20;
    set.plans[0].rate = 0.0;
    let mut rig = Rig::new(set, 40);
    // Two thirds of the hosts are removed: the limit falls at once, not with later answers.
    for (hosts, share) in [(40, 12), (13, 4)] {
        rig.hosts(ListMode::Replace, (1..=hosts).map(paired).collect());
        let mut sent = Vec::new();
        for customer in 0..60 {
            sent.extend(attempt(&rig.request(0, customer, 1.0).1));
        }
        assert_eq!(sent.len(), share);
        // Neither prompt nor late: the limit stays as it is, and queued requests are rejected in time.
        rig.now += 300 * MS;
        rig.timer(Timer::ReleaseQueue);
        for (id, host) in sent {
            rig.ended(
                id,
                host,
                Ended {
                    elapsed: 300 * MS,
                    ..Ended::default()
                },
            );
        }
    }
}
